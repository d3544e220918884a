#ifndef CORE_ROUTING_ENDPOINT_LOAD_H_
#define CORE_ROUTING_ENDPOINT_LOAD_H_

#include <optional>
#include <unordered_map>

#include "core/common/time.h"
#include "core/routing/types.h"

namespace jujuberock::routing {

// Estimates an endpoint's queue from its last load report and from what this
// host has dispatched to it since that report was made.
class EndpointLoad {
 public:
  void OnReport(const LoadReport& report, common::TimePoint now);
  void OnDispatched(RequestId id, uint64_t tokens, common::TimePoint now);
  void OnFirstToken(RequestId id, common::TimePoint now);
  void OnFinished(RequestId id, common::TimePoint now);

  // Seconds until the endpoint would start the prefill of a new request.
  double WaitSeconds(common::TimePoint now,
                     common::Duration report_lifetime,
                     bool count_own) const;
  // Requests per slot, including own requests if `count_own` is set.
  double Occupancy(bool count_own) const;

  // Prefill tokens per second; zero if the endpoint does no prefill.
  double prefill_rate() const;
  // Number of requests from this host in flight.
  size_t own_in_flight() const { return this->in_flight.size(); }
  // Whether the endpoint reported requests other than those from this host.
  bool has_other_requests() const;
  const std::optional<LoadReport>& report() const { return this->last_report; }

 private:
  struct InFlight {
    common::TimePoint dispatched_at;
    uint64_t tokens = 0;
    bool first_token = false;
  };

  bool IsReported(const InFlight& request) const {
    return request.dispatched_at <= this->reported_at;
  }

  std::optional<LoadReport> last_report;
  // When the last report was made, on this host's clock.
  common::TimePoint reported_at;
  // Smallest difference observed between the two clocks, which is the real
  // difference plus the shortest report delay.
  std::optional<common::Duration> clock_offset;
  std::unordered_map<RequestId, InFlight> in_flight;
  // Own requests that are not included in the last report, or that have
  // finished since.
  uint64_t own_queued_tokens = 0;
  int own_new_requests = 0;
  int own_finished_requests = 0;
  // Moving averages per request: seconds from dispatch to completion, and
  // prefill tokens.
  double mean_request_seconds = 0;
  double mean_prefill_tokens = 0;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_ENDPOINT_LOAD_H_
