#ifndef CORE_DISPATCH_SERVICE_POOL_H_
#define CORE_DISPATCH_SERVICE_POOL_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/random.h"
#include "core/dispatch/endpoint_choice.h"
#include "core/dispatch/endpoint_filter.h"
#include "core/dispatch/endpoint_record.h"
#include "core/dispatch/placement_cost.h"
#include "core/dispatch/send_requirements.h"
#include "core/dispatch/service_reach.h"

namespace jujuberock::dispatch {

// The endpoints of one service as this host sees them. Chooses the endpoint for
// each request: of those that the filter admits, the one of the lowest cost.
// Not thread-safe.
class ServicePool {
 public:
  ServicePool(std::string zone,
              size_t hosts,
              uint64_t seed,
              const FilterInputs& inputs = {})
      : hosts(hosts), filter(inputs), cost(std::move(zone), seed) {}

  // Sets the endpoints that are registered for the service. Known endpoints
  // keep their records; an endpoint that has restarted gets a new one.
  void Update(const catalog::Service& service,
              const std::vector<catalog::Endpoint>& endpoints);
  void SetHostCount(size_t count) { this->hosts = count == 0 ? 1 : count; }

  // Returns the best endpoint for the request, or nothing if none may take it.
  std::optional<EndpointChoice> Choose(const SendRequirements& requirements,
                                       common::TimePoint now);

  // Returns the time until the first endpoint takes the request again; nothing
  // unless all that may take it have asked for a pause or are cold.
  std::optional<common::Duration> PauseLeft(
      const SendRequirements& requirements,
      common::TimePoint now) const;
  // Whether an endpoint of this software version takes new requests.
  bool HasSoftware(const std::string& software) const;
  // The same for an endpoint whose process is certain and that is not among
  // those in `except`.
  bool HasCertainSoftware(const std::string& software,
                          const std::set<std::string>& except) const;
  // Counts the endpoints that may take the request and those that may not.
  ExclusionCounts CountExclusions(const SendRequirements& requirements,
                                  common::TimePoint now) const;

  // Whether the endpoints crash if they get many requests while they are cold.
  bool has_cold_limit() const { return this->filter.has_cold_limit(); }
  // How long an endpoint is cold after its start.
  common::Duration endpoint_cold_time() const {
    return this->filter.cold_time();
  }
  ColdState ColdStateOf(const EndpointRecord& endpoint,
                        common::TimePoint now) const {
    return this->filter.ColdStateOf(endpoint, now);
  }
  // An endpoint says how many refusals in a second it survives, or no longer
  // says so. What one endpoint says is assumed of those that have not answered.
  void OnBrittle(EndpointRecord& endpoint,
                 std::optional<int64_t> limit,
                 common::TimePoint now);
  bool IsBrittle(common::TimePoint now) const {
    return this->filter.brittle().LimitAt(now).has_value();
  }
  // The zone is no longer evacuated. Its endpoints may have turned cold before,
  // and their entries may tell so only until `told_by`.
  void OnZoneReturned(uint64_t zone_hash, common::TimePoint told_by);
  // Records which endpoints may be cold; called periodically.
  void Tick(common::TimePoint now);

  // Records a send of this host or one that another host announced.
  void OnSent(const PeerPrompt& prompt, common::TimePoint now) {
    this->cost.OnSent(prompt, now);
  }
  void OnFirstToken(const SendTicket& ticket, common::TimePoint now) {
    this->cost.OnFirstToken(ticket, now);
  }
  // Records a run that ended successfully.
  void OnFinished(const SendTicket& ticket, common::TimePoint now) {
    this->cost.OnFinished(ticket, now);
  }
  // Returns whether this outcome ejected the endpoint.
  bool OnOutcome(EndpointRecord& endpoint,
                 SendOutcome outcome,
                 common::TimePoint now);

  // Another host could not reach the endpoint. Returns whether the endpoint was
  // ejected; it is not if it has just answered this host.
  static bool OnPeerUnreachable(EndpointRecord& endpoint,
                                common::TimePoint now);

  // The endpoint has sent something or accepted a connection.
  void OnReached(const EndpointRecord& endpoint, common::TimePoint now);
  // No connection to the endpoint could be opened.
  void OnUnreached(const EndpointRecord& endpoint, common::TimePoint now);
  // Whether this host does not reach the endpoints, or most of them.
  bool IsImpaired() const {
    return this->reach.IsImpaired(this->endpoints.size());
  }
  size_t unreached_count() const { return this->reach.unreached_count(); }
  // Returns endpoints to try, to find out whether this host is impaired: one
  // that it may reach if it has heard of none for `quiet`, and while it is
  // impaired up to `count` that it did not reach.
  std::vector<std::shared_ptr<EndpointRecord>> ToProbe(
      size_t count,
      common::Duration quiet,
      common::TimePoint now,
      common::Random& random) const;

  const std::map<std::string, std::shared_ptr<EndpointRecord>>& records()
      const {
    return this->endpoints;
  }
  std::shared_ptr<EndpointRecord> Find(std::string_view id) const;
  const FirstTokenModel& first_token() const {
    return this->cost.first_token();
  }
  const std::optional<catalog::EngineProperties>& engine_properties() const {
    return this->properties;
  }
  bool is_engine() const { return this->properties.has_value(); }

 private:
  // Removed endpoints that are remembered because they asked for a pause.
  static constexpr size_t kMaxRemembered = 256;

  // Returns the record of an instance that is registered again, if it is
  // remembered.
  std::shared_ptr<EndpointRecord> TakeRemembered(
      const catalog::Endpoint& endpoint);

  // Takes over what the endpoint's entry tells of its cold time.
  void UpdateColdTime(EndpointRecord& record, bool is_new) const;

  // Whether a run on the chosen engine is likely to begin in time.
  static bool BeginsInTime(const EndpointChoice& choice,
                           const SendRequirements& requirements,
                           common::TimePoint now);

  size_t hosts;
  std::optional<catalog::EngineProperties> properties;
  std::map<std::string, std::shared_ptr<EndpointRecord>> endpoints;
  std::map<std::string, std::shared_ptr<EndpointRecord>> remembered;
  EndpointFilter filter;
  PlacementCost cost;
  ServiceReach reach;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SERVICE_POOL_H_
