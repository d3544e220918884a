#ifndef CORE_ROUTING_ENDPOINT_LOAD_H_
#define CORE_ROUTING_ENDPOINT_LOAD_H_

#include <optional>
#include <unordered_map>

#include "core/common/time.h"
#include "core/routing/types.h"

namespace jujuberock::routing {

// Estimates an endpoint's queue from its last load report and from what this
// host has sent to it since that report was made.
class EndpointLoad {
 public:
  void OnReport(const LoadReport& report, common::TimePoint now);
  void OnDispatched(RequestId id, uint64_t tokens, common::TimePoint now);
  void OnFirstToken(RequestId id, common::TimePoint now);
  void OnFinished(RequestId id, common::TimePoint now);

  // Seconds until the endpoint would begin the prefill of a new request.
  double WaitSeconds(common::TimePoint now,
                     common::Duration report_lifetime,
                     bool count_own) const;
  // Requests per slot, reported and own.
  double Occupancy(bool count_own) const;

  // Tokens per second; zero when the endpoint does no prefill.
  double prefill_rate() const;
  // Requests of this host in flight.
  size_t own() const { return this->in_flight.size(); }
  // Requests that the endpoint reported beyond those of this host.
  bool others_running() const;
  const std::optional<LoadReport>& report() const { return this->last; }

 private:
  struct InFlight {
    common::TimePoint at;
    uint64_t tokens = 0;
    bool first_token = false;
  };

  bool InReport(const InFlight& request) const {
    return request.at <= this->reported_at;
  }

  std::optional<LoadReport> last;
  // When the last report was made, on this host's clock.
  common::TimePoint reported_at;
  // Smallest difference seen between the two clocks, which is the difference
  // plus the shortest delay of a report.
  std::optional<common::Duration> clock_offset;
  std::unordered_map<RequestId, InFlight> in_flight;
  // Not yet in the last report.
  uint64_t own_queued_tokens = 0;
  int own_new_requests = 0;
  int own_finished_requests = 0;
  // Smoothed seconds from dispatch to end, and prefill tokens, of a request.
  double hold_seconds = 0;
  double request_tokens = 0;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_ENDPOINT_LOAD_H_
