#ifndef CORE_ROUTING_ROUTER_H_
#define CORE_ROUTING_ROUTER_H_

#include <memory>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/routing/settings.h"
#include "core/routing/types.h"

namespace jujuberock::routing {

class ChoicePolicy;

// Chooses endpoints for requests from what this host knows: load reports, its
// own dispatches, cache events and store links. All of it may be stale, which
// costs speed only.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kRouting. Endpoints and stores that a method names but the router
// does not know are ignored.
class Router {
 public:
  // `zone` is this host's own zone.
  Router(std::string zone,
         RouterSettings settings,
         std::unique_ptr<ChoicePolicy> policy);
  // Uses the restoring policy.
  Router(std::string zone, RouterSettings settings);
  ~Router();

  // Adds the endpoint or changes its state. kLeaving keeps requests in flight
  // and accepts no new ones; kGone forgets the endpoint and its entries.
  void OnEndpointState(const EndpointInfo& endpoint,
                       EndpointState state,
                       common::TimePoint now);
  // Adds a store, or forgets it and its entries.
  void OnStoreState(std::string_view store, bool live, common::TimePoint now);

  void OnLoadReport(std::string_view endpoint,
                    const LoadReport& report,
                    common::TimePoint now);
  void OnLinkReport(std::string_view store,
                    const LinkReport& report,
                    common::TimePoint now);
  // Events of an endpoint or a store in order, the first with this sequence
  // number. When it is above the one expected, events were lost and earlier
  // entries of the holder become doubtful. Events seen before are skipped.
  void OnCacheEvents(std::string_view holder,
                     uint64_t first_sequence,
                     std::span<const CacheEvent> events,
                     common::TimePoint now);
  // The sequence number to ask the holder for next.
  uint64_t NextSequence(std::string_view holder) const;

  // The best endpoint, or nothing when none can take the request. A choice
  // does not count as load until OnDispatched. For a request to be isolated,
  // nothing may also mean that an endpoint has been reserved and still drains:
  // ask again shortly.
  std::optional<RouteDecision> Choose(const RouteRequest& request,
                                      common::TimePoint now);
  void OnDispatched(const RouteRequest& request,
                    const RouteDecision& decision,
                    common::TimePoint now);
  // `cached_tokens` and `restored_tokens` as the endpoint reports them.
  void OnFirstToken(RequestId id,
                    uint64_t cached_tokens,
                    uint64_t restored_tokens,
                    common::TimePoint now);
  // Ends a dispatched request. Only a request that finished well leaves blocks
  // worth exporting.
  void OnFinished(RequestId id, bool succeeded, common::TimePoint now);

  // Exports to start now, within the budgets of the stores' links. Call a few
  // times per second.
  std::vector<Export> TakeExports(common::TimePoint now);

  // For conversations that this host owns.
  IndexAnswer Answer(const IndexQuery& query) const;
  void Apply(const IndexUpdate& update, common::TimePoint now);
  // What the owner of a conversation should be told about a dispatch.
  IndexUpdate UpdateFor(const RouteRequest& request,
                        const RouteDecision& decision) const;

  size_t index_blocks() const;
  // Approximate heap use of the index.
  size_t index_bytes() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_ROUTER_H_
