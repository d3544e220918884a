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

// Selects endpoints for requests, based on what this host knows: load reports,
// its own dispatches, cache events and store links. All of it may be out of
// date, which costs latency but not correctness.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kRouting. Methods ignore endpoints and stores that the router does
// not know.
class Router {
 public:
  // `zone` is this host's own zone.
  Router(std::string zone,
         RouterSettings settings,
         std::unique_ptr<ChoicePolicy> policy);
  // Uses the restoring policy.
  Router(std::string zone, RouterSettings settings);
  ~Router();

  // Adds an endpoint or changes its state. kLeaving keeps requests in flight
  // but accepts no new ones; kGone removes the endpoint and its index entries.
  void OnEndpointState(const EndpointInfo& endpoint,
                       EndpointState state,
                       common::TimePoint now);
  // Adds a store, or removes it with its index entries.
  void OnStoreState(std::string_view store, bool live, common::TimePoint now);

  void OnLoadReport(std::string_view endpoint,
                    const LoadReport& report,
                    common::TimePoint now);
  void OnLinkReport(std::string_view store,
                    const LinkReport& report,
                    common::TimePoint now);
  // Applies consecutive events of an endpoint or store; `first_sequence` is the
  // sequence number of the first one. A number above the expected one means
  // that events were lost, and the holder's existing entries become stale.
  // Events already seen are skipped.
  void OnCacheEvents(std::string_view holder,
                     uint64_t first_sequence,
                     std::span<const CacheEvent> events,
                     common::TimePoint now);
  // The holder's sequence numbers started over: it restarted with an empty
  // cache.
  void OnHolderRestarted(std::string_view holder);
  // Sets the number of hosts that share the links' budgets, including this one.
  void SetHostCount(size_t hosts);
  // The sequence number to request from the holder next.
  uint64_t NextSequence(std::string_view holder) const;

  // Returns the best endpoint, or nullopt if none can take the request. A
  // decision does not count as load until OnDispatched(). For a request with
  // `isolate`, nullopt may also mean that an endpoint has been reserved but
  // still has requests running: retry shortly.
  std::optional<RouteDecision> Choose(const RouteRequest& request,
                                      common::TimePoint now);
  void OnDispatched(const RouteRequest& request,
                    const RouteDecision& decision,
                    common::TimePoint now);
  // `cached_tokens` and `restored_tokens` are as reported by the endpoint.
  void OnFirstToken(RequestId id,
                    uint64_t cached_tokens,
                    uint64_t restored_tokens,
                    common::TimePoint now);
  // Ends a dispatched request. Only blocks of requests that succeeded are
  // exported.
  void OnFinished(RequestId id, bool succeeded, common::TimePoint now);

  // Returns the exports to start now, within the budgets of the stores' links.
  // Call a few times per second.
  std::vector<Export> TakeExports(common::TimePoint now);

  // For conversations that this host owns.
  IndexReply AnswerQuery(const IndexQuery& query);
  void ApplyUpdate(const IndexUpdate& update, common::TimePoint now);
  // The update to send to the conversation's owner after a dispatch.
  IndexUpdate MakeUpdate(const RouteRequest& request,
                         const RouteDecision& decision) const;

  // Endpoints that this host keeps free for suspects.
  std::vector<Reservation> Reservations(common::TimePoint now) const;
  // Endpoints that this host has reserved or released since the last call. They
  // must be sent to the other hosts at once.
  std::vector<Reservation> TakeReservationChanges(common::TimePoint now);
  // Handles the reservations of another host.
  void OnReservations(std::string_view host,
                      std::span<const Reservation> reservations,
                      common::TimePoint now);
  // Releases the endpoint that was reserved for a request, if any.
  void ReleaseReservation(RequestId id);

  size_t index_blocks() const;
  // Approximate heap use of the index.
  size_t index_bytes() const;

 private:
  struct Endpoint {
    EndpointInfo info;
    EndpointState state = EndpointState::kLive;
    HolderId holder = 0;
    EndpointLoad load;
    // Moving average of the fraction of predicted cached tokens that the
    // endpoint actually reused: [0] for fresh entries, [1] for stale ones.
    std::array<double, 2> confidence{1, 1};
    std::optional<RequestId> reserved_by;
    common::TimePoint reserved_at;
    common::TimePoint reserved_until;
    // The other host that keeps the endpoint free for a suspect, and until
    // when.
    std::string peer_reserved_by;
    common::TimePoint peer_reserved_until;
  };
  struct Store {
    std::string name;
    bool live = true;
    LinkBudget read;
    LinkBudget write;
    // Moving average of the fraction of restores whose first token came later
    // than predicted.
    double late_share = 0;
    // Exports sent but not yet confirmed, and the time since which none was
    // confirmed.
    size_t unconfirmed = 0;
    common::TimePoint unconfirmed_since;
    common::TimePoint blocked_until;
  };
  // An endpoint or a store; exactly one of the pointers is set while the holder
  // is known.
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
    bool stale = false;
    common::TimePoint dispatched_at;
    common::Duration predicted_first_token{0};
    common::Duration predicted_restore{0};
    // Stores that blocks are restored from, and the range of restored blocks in
    // `keys`.
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

  HolderId RegisterHolder(const std::string& name, bool is_store);
  HolderRecord* FindHolder(std::string_view name);
  void Reserve(Endpoint& endpoint, RequestId id, common::TimePoint now);
  // Whether this host's reservation of the endpoint goes before that of another
  // host.
  bool KeepsReservation(const Endpoint& endpoint,
                        std::string_view host,
                        common::TimePoint now) const;
  Endpoint* FindEndpoint(std::string_view name);
  Store* FindStore(std::string_view name);

  bool IsAvailable(const Endpoint& endpoint,
                   const RouteRequest& request,
                   common::TimePoint now) const;
  void FindMatch(const RouteRequest& request);
  void MergeOwnerReply(const IndexReply& reply, uint32_t prompt_blocks);
  void PreparePlanner(uint32_t prompt_blocks, common::TimePoint now);
  Candidate Evaluate(const Endpoint& endpoint,
                     const RouteRequest& request,
                     uint32_t known_blocks,
                     common::TimePoint now) const;
  uint32_t MatchedBlocks(const Endpoint& endpoint) const;
  RouteDecision MakeDecision(const Endpoint& endpoint,
                             const Candidate& candidate,
                             const RouteRequest& request) const;
  Endpoint* EndpointForSuspect(const RouteRequest& request,
                               common::TimePoint now);
  bool IsReserved(const Endpoint& endpoint,
                  RequestId request,
                  common::TimePoint now) const;
  void UpdateLateShares(const InFlight& request, common::TimePoint now);
  void UpdateConfidence(const InFlight& request,
                        uint64_t cached_tokens,
                        uint64_t restored_tokens);

  bool NearEviction(HolderId endpoint) const;
  Store* StoreForExport(const BlockKey& key, common::TimePoint now);
  void ConfirmExport(const BlockKey& key, HolderId store);
  void ExpireExports(common::TimePoint now);
  // Whether more than half of the store's unconfirmed exports are overdue.
  bool ExportsOverdue(const Store& store, common::TimePoint now) const;
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
  // Indexed by HolderId.
  std::vector<HolderRecord> holders;
  std::map<std::string, HolderId, std::less<>> holder_ids;
  std::vector<HolderId> free_holder_ids;

  std::unordered_map<RequestId, InFlight> in_flight;
  // Like Store::late_share, for requests without restores.
  double baseline_late_share = 0;
  // Endpoints reserved for suspects. An expired entry stays until its suspect
  // has finished or the endpoint is reserved for another one.
  std::unordered_map<RequestId, Endpoint*> reserved;
  // Names of the endpoints for TakeReservationChanges().
  std::vector<std::string> changed_reservations;
  std::deque<PendingExport> pending_exports;
  std::unordered_map<BlockKey, SentExport, BlockKeyHash> sent_exports;

  // Reused by Choose() to avoid allocations.
  PrefixIndex::Match match;
  RestorePlanner planner;
  std::vector<uint32_t> matched_blocks;
  std::vector<uint8_t> matched_stale;
  std::vector<Candidate> candidates;
  std::vector<Endpoint*> candidate_endpoints;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_ROUTER_H_
