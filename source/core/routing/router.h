#ifndef CORE_ROUTING_ROUTER_H_
#define CORE_ROUTING_ROUTER_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/routing/choice_policy.h"
#include "core/routing/endpoint_load.h"
#include "core/routing/link_budget.h"
#include "core/routing/prefix_index.h"
#include "core/routing/restore_planner.h"
#include "core/routing/settings.h"
#include "core/routing/types.h"

namespace jujuberock::routing {

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
  // The holder's sequence numbers went back: it restarted with an empty cache.
  void OnHolderRestarted(std::string_view holder);
  // Hosts that share the links' budgets, this one included.
  void OnHostCount(size_t hosts);
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
  IndexAnswer Answer(const IndexQuery& query);
  void Apply(const IndexUpdate& update, common::TimePoint now);
  // What the owner of a conversation should be told about a dispatch.
  IndexUpdate UpdateFor(const RouteRequest& request,
                        const RouteDecision& decision) const;

  // Endpoints that this host keeps free for suspects, and those of other hosts.
  std::vector<Reservation> Reservations(common::TimePoint now) const;
  void OnReservations(std::span<const Reservation> reservations,
                      common::TimePoint now);

  size_t index_blocks() const;
  // Approximate heap use of the index.
  size_t index_bytes() const;

 private:
  struct Endpoint {
    EndpointInfo info;
    EndpointState state = EndpointState::kLive;
    HolderId holder = 0;
    EndpointLoad load;
    // Smoothed share of predicted cached tokens that were found, for entries
    // that are not doubtful and for those that are.
    std::array<double, 2> confidence{1, 1};
    std::optional<RequestId> reserved_by;
    common::TimePoint reserved_until;
    // Another host keeps it free for a suspect.
    common::TimePoint foreign_reserved_until;
  };
  struct Store {
    std::string name;
    bool live = true;
    LinkBudget read;
    LinkBudget write;
    // Smoothed share of restores whose first token came later than predicted.
    double late_share = 0;
    // Exports sent and not yet confirmed, and since when none was.
    size_t unconfirmed = 0;
    common::TimePoint unconfirmed_since;
    common::TimePoint blocked_until;
  };
  // What a holder number stands for; exactly one of the pointers is set while
  // the holder is known.
  struct HolderRecord {
    std::string name;
    Endpoint* endpoint = nullptr;
    Store* store = nullptr;
    uint64_t next_sequence = 0;
    bool sequence_known = false;
  };
  struct InFlight {
    Endpoint* endpoint = nullptr;
    std::string team;
    std::vector<BlockKey> keys;
    uint64_t predicted_cached_tokens = 0;
    bool doubtful = false;
    common::TimePoint dispatched_at;
    common::Duration predicted_first_token{0};
    common::Duration predicted_restore{0};
    // Stores of the restored blocks, and the blocks' positions in `keys`.
    std::vector<HolderId> restored_from;
    uint32_t restore_from = 0;
    uint32_t restore_blocks = 0;
    bool first_token = false;
  };
  struct PendingExport {
    HolderId endpoint = 0;
    std::string team;
    std::vector<BlockKey> keys;
  };
  struct SentExport {
    HolderId store = 0;
    common::TimePoint at;
  };

  HolderId DeclareHolder(const std::string& name, bool is_store);
  HolderRecord* FindHolder(std::string_view name);
  Endpoint* FindEndpoint(std::string_view name);
  Store* FindStore(std::string_view name);

  bool Available(const Endpoint& endpoint,
                 const RouteRequest& request,
                 common::TimePoint now) const;
  void CollectMatch(const RouteRequest& request);
  void MergeOwnerAnswer(const IndexAnswer& answer, uint32_t prompt_blocks);
  void PreparePlanner(uint32_t prompt_blocks, common::TimePoint now);
  Candidate Evaluate(const Endpoint& endpoint,
                     const RouteRequest& request,
                     uint32_t known_blocks,
                     common::TimePoint now) const;
  uint32_t MatchedBlocks(const Endpoint& endpoint) const;
  RouteDecision DecisionFor(const Endpoint& endpoint,
                            const Candidate& candidate,
                            const RouteRequest& request) const;
  Endpoint* EndpointForSuspect(const RouteRequest& request,
                               common::TimePoint now);
  bool Reserved(const Endpoint& endpoint,
                RequestId request,
                common::TimePoint now) const;
  void ObserveLateness(const InFlight& request, common::TimePoint now);
  void ObserveCached(const InFlight& request,
                     uint64_t cached_tokens,
                     uint64_t restored_tokens);

  bool NearEviction(HolderId endpoint) const;
  Store* StoreForExport(const BlockKey& key, common::TimePoint now);
  void ConfirmExport(const BlockKey& key, HolderId store);
  void ExpireExports(common::TimePoint now);
  // Whether most exports to the store should have been confirmed by now.
  bool ExportsLate(const Store& store, common::TimePoint now) const;
  bool TakeExport(const PendingExport& pending,
                  std::vector<Export>& exports,
                  common::TimePoint now);

  std::string zone;
  RouterSettings settings;
  std::unique_ptr<ChoicePolicy> policy;
  common::Random random;
  size_t hosts = 1;

  PrefixIndex index;
  std::map<std::string, std::unique_ptr<Endpoint>, std::less<>> endpoints;
  std::map<std::string, std::unique_ptr<Store>, std::less<>> stores;
  std::map<std::string, std::vector<Endpoint*>, std::less<>> services;
  // By holder number.
  std::vector<HolderRecord> holders;
  std::map<std::string, HolderId, std::less<>> holder_ids;
  std::vector<HolderId> free_holder_ids;

  std::unordered_map<RequestId, InFlight> in_flight;
  // As Store::late_share, of requests without restores.
  double other_late_share = 0;
  // Endpoints kept free for suspects. An entry whose time is over stays until
  // the suspect has finished or another takes the endpoint.
  std::unordered_map<RequestId, Endpoint*> reserved;
  std::deque<PendingExport> pending_exports;
  std::unordered_map<BlockKey, SentExport, BlockKeyHash> sent_exports;

  // Reused by Choose() to avoid allocations.
  PrefixIndex::Match match;
  RestorePlanner planner;
  std::vector<uint32_t> matched_blocks;
  std::vector<uint8_t> matched_doubtful;
  std::vector<Candidate> candidates;
  std::vector<Endpoint*> candidate_endpoints;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_ROUTER_H_
