#include "core/routing/router.h"

#include <algorithm>
#include <utility>

namespace jujuberock::routing {

namespace {

// Weight of the newest observation in an endpoint's confidence.
constexpr double kConfidenceSmoothing = 0.05;

// Lower bound of the confidence. Below it an endpoint's entries would never be
// used, and the confidence could not recover.
constexpr double kMinConfidence = 0.1;

// A restore is late if the first token comes later than predicted by more than
// this and by more than the predicted restore time.
constexpr common::Duration kLateTolerance = std::chrono::milliseconds(150);

// A store's link counts as slow above this share of late restores.
constexpr double kSlowLinkLateShare = 0.4;
constexpr double kLateSmoothing = 0.2;

// Factor applied to the late share with each report of a store, so that a link
// that is no longer used because it was slow is tried again.
constexpr double kLateDecay = 0.97;

}  // namespace

Router::Router(std::string zone, RouterSettings settings)
    : Router(std::move(zone), settings, MakeRestoringPolicy()) {}

Router::Router(std::string zone,
               RouterSettings settings,
               std::unique_ptr<ChoicePolicy> policy)
    : zone(std::move(zone)),
      settings(settings),
      policy(std::move(policy)),
      random(settings.seed),
      index(settings.max_index_blocks) {}

Router::~Router() = default;

void Router::OnEndpointState(const EndpointInfo& info,
                             EndpointState state,
                             common::TimePoint) {
  Endpoint* known = this->FindEndpoint(info.name);
  if (state != EndpointState::kGone) {
    if (!known) {
      auto& added = this->endpoints[info.name];
      added = std::make_unique<Endpoint>();
      known = added.get();
      known->info = info;
      known->confidence[1] = this->settings.stale_confidence;
      known->holder = this->RegisterHolder(info.name, false);
      this->holders[known->holder].endpoint = known;
      this->services[info.service].push_back(known);
    }
    known->state = state;
    return;
  }
  if (!known)
    return;
  for (auto it = this->in_flight.begin(); it != this->in_flight.end();) {
    if (it->second.endpoint != known) {
      ++it;
      continue;
    }
    it = this->in_flight.erase(it);
  }
  std::erase_if(this->reserved,
                [&](const auto& item) { return item.second == known; });
  const HolderId holder = known->holder;
  std::erase_if(this->pending_exports, [&](const PendingExport& pending) {
    return pending.endpoint == holder;
  });
  std::erase(this->services[known->info.service], known);
  this->index.Invalidate(holder);
  this->holder_ids.erase(info.name);
  this->holders[holder] = {};
  this->free_holder_ids.push_back(holder);
  this->endpoints.erase(info.name);
}

void Router::OnStoreState(std::string_view name,
                          bool live,
                          common::TimePoint now) {
  Store* known = this->FindStore(name);
  if (live) {
    if (!known) {
      const LinkBudget budget(this->settings.link_budget_share,
                              this->settings.link_burst);
      auto& added = this->stores[std::string(name)];
      added = std::make_unique<Store>(
          Store{std::string(name), true, budget, budget, 0, 0, now, now});
      added->read.SetHostCount(this->hosts);
      added->write.SetHostCount(this->hosts);
      const HolderId holder = this->RegisterHolder(added->name, true);
      this->holders[holder].store = added.get();
    }
    return;
  }
  if (!known)
    return;
  const HolderId holder = this->holder_ids.find(name)->second;
  std::erase_if(this->sent_exports,
                [&](const auto& item) { return item.second.store == holder; });
  for (auto& [id, request] : this->in_flight)
    std::erase(request.restored_from, holder);
  this->index.Invalidate(holder);
  this->holder_ids.erase(this->holders[holder].name);
  this->holders[holder] = {};
  this->free_holder_ids.push_back(holder);
  this->stores.erase(this->stores.find(name));
}

void Router::OnLoadReport(std::string_view endpoint,
                          const LoadReport& report,
                          common::TimePoint now) {
  Endpoint* known = this->FindEndpoint(endpoint);
  if (!known)
    return;
  known->load.OnReport(report, now);
}

void Router::OnLinkReport(std::string_view store,
                          const LinkReport& report,
                          common::TimePoint now) {
  Store* known = this->FindStore(store);
  if (!known)
    return;
  const bool late = this->settings.weights.learn_link_speed &&
                    known->late_share > kSlowLinkLateShare &&
                    known->late_share > 2 * this->baseline_late_share;
  known->late_share *= kLateDecay;
  known->read.OnReport(report.link_bytes_per_s, report.sent_bytes, late, now);
  known->write.OnReport(report.link_bytes_per_s, report.received_bytes,
                        this->settings.weights.learn_link_speed &&
                            this->ExportsOverdue(*known, now),
                        now);
}

void Router::OnCacheEvents(std::string_view holder,
                           uint64_t first_sequence,
                           std::span<const CacheEvent> events,
                           common::TimePoint) {
  auto found = this->holder_ids.find(holder);
  if (found == this->holder_ids.end())
    return;
  const HolderId id = found->second;
  HolderRecord& record = this->holders[id];
  if (record.sequence_known && first_sequence > record.next_sequence)
    this->index.MarkStale(id);
  for (size_t i = 0; i < events.size(); ++i) {
    const uint64_t sequence = first_sequence + i;
    if (record.sequence_known && sequence < record.next_sequence)
      continue;
    const CacheEvent& event = events[i];
    if (event.op == CacheEvent::Op::kRemove) {
      this->index.Remove(event.key, id);
      continue;
    }
    this->index.Add(event.key, id);
    if (record.store)
      this->ConfirmExport(event.key, id);
  }
  record.next_sequence =
      std::max(record.next_sequence, first_sequence + events.size());
  record.sequence_known = true;
}

void Router::OnHolderRestarted(std::string_view holder) {
  auto found = this->holder_ids.find(holder);
  if (found == this->holder_ids.end())
    return;
  this->index.Invalidate(found->second);
  this->holders[found->second].next_sequence = 0;
  this->holders[found->second].sequence_known = false;
}

void Router::SetHostCount(size_t hosts) {
  this->hosts = std::max<size_t>(1, hosts);
  for (auto& [name, store] : this->stores) {
    store->read.SetHostCount(this->hosts);
    store->write.SetHostCount(this->hosts);
  }
}

uint64_t Router::NextSequence(std::string_view holder) const {
  auto found = this->holder_ids.find(holder);
  return found == this->holder_ids.end()
             ? 0
             : this->holders[found->second].next_sequence;
}

void Router::OnDispatched(const RouteRequest& request,
                          const RouteDecision& decision,
                          common::TimePoint now) {
  Endpoint* endpoint = this->FindEndpoint(decision.endpoint);
  if (!endpoint)
    return;
  InFlight& entry = this->in_flight[request.id];
  entry = {};
  entry.endpoint = endpoint;
  entry.team = request.team;
  entry.keys = request.block_keys;
  entry.predicted_cached_tokens = decision.cached_tokens;
  entry.stale = decision.stale;
  entry.dispatched_at = now;
  entry.predicted_first_token = decision.predicted_first_token;
  entry.predicted_restore = decision.predicted_restore;
  entry.restore_blocks = static_cast<uint32_t>(decision.restores.size());
  entry.restore_from =
      static_cast<uint32_t>(decision.cached_tokens / kBlockTokens);
  for (const Restore& restore : decision.restores) {
    Store* store = this->FindStore(restore.store);
    if (!store)
      continue;
    store->read.Charge(this->settings.block_bytes, now);
    const HolderId holder = this->holder_ids.find(restore.store)->second;
    if (std::find(entry.restored_from.begin(), entry.restored_from.end(),
                  holder) == entry.restored_from.end())
      entry.restored_from.push_back(holder);
  }
  const uint64_t reused =
      decision.cached_tokens + decision.restores.size() * kBlockTokens;
  const uint64_t computed =
      request.prompt_tokens > reused ? request.prompt_tokens - reused : 0;
  endpoint->load.OnDispatched(request.id, computed, now);
  // The endpoint will hold the prompt's blocks; its own events confirm it.
  for (const BlockKey& key : request.block_keys)
    this->index.Add(key, endpoint->holder);
}

void Router::OnFirstToken(RequestId id,
                          uint64_t cached_tokens,
                          uint64_t restored_tokens,
                          common::TimePoint now) {
  auto found = this->in_flight.find(id);
  if (found == this->in_flight.end() || found->second.first_token)
    return;
  InFlight& request = found->second;
  request.first_token = true;
  request.endpoint->load.OnFirstToken(id, now);
  this->UpdateLateShares(request, now);
  this->UpdateConfidence(request, cached_tokens, restored_tokens);
}

void Router::OnFinished(RequestId id, bool succeeded, common::TimePoint now) {
  this->ReleaseReservation(id);
  auto found = this->in_flight.find(id);
  if (found == this->in_flight.end())
    return;
  InFlight& request = found->second;
  request.endpoint->load.OnFinished(id, now);
  if (!succeeded && !request.first_token) {
    for (const BlockKey& key : request.keys)
      this->index.Remove(key, request.endpoint->holder);
  }
  const bool exports =
      this->policy->uses_stores() && this->settings.weights.exports;
  if (succeeded && exports && !request.keys.empty()) {
    if (this->pending_exports.size() >= this->settings.max_pending_exports)
      this->pending_exports.pop_front();
    this->pending_exports.push_back({request.endpoint->holder,
                                     std::move(request.team),
                                     std::move(request.keys)});
  }
  this->in_flight.erase(found);
}

IndexReply Router::AnswerQuery(const IndexQuery& query) {
  IndexReply reply;
  this->index.Find(query.keys, this->match);
  for (const PrefixIndex::HeldPrefix& prefix : this->match.prefixes) {
    reply.endpoints.push_back(
        {this->holders[prefix.holder].name, prefix.blocks, prefix.stale});
  }
  std::map<HolderId, std::vector<uint32_t>> stored;
  for (const PrefixIndex::StoredBlock& block : this->match.stored)
    stored[block.holder].push_back(block.position);
  for (auto& [holder, positions] : stored) {
    reply.stores.push_back({this->holders[holder].name, std::move(positions)});
  }
  return reply;
}

void Router::ApplyUpdate(const IndexUpdate& update, common::TimePoint) {
  auto found = this->holder_ids.find(update.holder);
  if (found == this->holder_ids.end())
    return;
  for (const CacheEvent& event : update.events) {
    if (event.op == CacheEvent::Op::kAdd)
      this->index.Add(event.key, found->second);
    else
      this->index.Remove(event.key, found->second);
  }
}

IndexUpdate Router::MakeUpdate(const RouteRequest& request,
                               const RouteDecision& decision) const {
  IndexUpdate update{decision.endpoint, false, {}};
  for (const BlockKey& key : request.block_keys)
    update.events.push_back({CacheEvent::Op::kAdd, key});
  return update;
}

std::vector<Reservation> Router::Reservations(common::TimePoint now) const {
  std::vector<Reservation> reservations;
  for (const auto& [id, endpoint] : this->reserved) {
    if (endpoint->reserved_by == id && endpoint->reserved_until > now) {
      reservations.push_back(
          {endpoint->info.name, endpoint->reserved_until - now});
    }
  }
  return reservations;
}

std::vector<Reservation> Router::TakeReservationChanges(common::TimePoint now) {
  std::vector<Reservation> changes;
  for (const std::string& name :
       std::exchange(this->changed_reservations, {})) {
    const Endpoint* endpoint = this->FindEndpoint(name);
    const bool is_reserved =
        endpoint && endpoint->reserved_by && endpoint->reserved_until > now;
    changes.push_back({name, is_reserved ? endpoint->reserved_until - now
                                         : common::Duration::zero()});
  }
  return changes;
}

void Router::OnReservations(std::string_view host,
                            std::span<const Reservation> reservations,
                            common::TimePoint now) {
  for (const Reservation& reservation : reservations) {
    Endpoint* endpoint = this->FindEndpoint(reservation.endpoint);
    if (!endpoint)
      continue;
    if (reservation.remaining <= common::Duration::zero()) {
      if (endpoint->peer_reserved_by == host)
        endpoint->peer_reserved_until = now;
      continue;
    }
    const bool is_held_by_first = endpoint->peer_reserved_until > now &&
                                  endpoint->peer_reserved_by < host;
    if (is_held_by_first || this->KeepsReservation(*endpoint, host, now))
      continue;
    if (endpoint->reserved_by)
      this->ReleaseReservation(*endpoint->reserved_by);
    endpoint->peer_reserved_by = host;
    endpoint->peer_reserved_until =
        now + std::min(reservation.remaining, this->settings.isolation_limit);
  }
}

void Router::Reserve(Endpoint& endpoint, RequestId id, common::TimePoint now) {
  this->ReleaseReservation(id);
  if (endpoint.reserved_by)
    this->reserved.erase(*endpoint.reserved_by);
  this->reserved[id] = &endpoint;
  endpoint.reserved_by = id;
  endpoint.reserved_at = now;
  endpoint.reserved_until = now + this->settings.isolation_limit;
  this->changed_reservations.push_back(endpoint.info.name);
}

void Router::ReleaseReservation(RequestId id) {
  const auto found = this->reserved.find(id);
  if (found == this->reserved.end())
    return;
  found->second->reserved_by.reset();
  this->changed_reservations.push_back(found->second->info.name);
  this->reserved.erase(found);
}

// A suspect that already runs keeps its endpoint.
bool Router::KeepsReservation(const Endpoint& endpoint,
                              std::string_view host,
                              common::TimePoint now) const {
  if (!endpoint.reserved_by || endpoint.reserved_until <= now)
    return false;
  return this->settings.host < host ||
         this->in_flight.contains(*endpoint.reserved_by);
}

size_t Router::index_blocks() const {
  return this->index.blocks();
}

size_t Router::index_bytes() const {
  return this->index.bytes();
}

HolderId Router::RegisterHolder(const std::string& name, bool is_store) {
  HolderId id = 0;
  if (!this->free_holder_ids.empty()) {
    id = this->free_holder_ids.back();
    this->free_holder_ids.pop_back();
  } else {
    id = static_cast<HolderId>(this->holders.size());
    this->holders.emplace_back();
  }
  this->holders[id] = {name, nullptr, nullptr, 0, false};
  this->holder_ids[name] = id;
  this->index.RegisterHolder(id, is_store);
  this->matched_blocks.resize(this->holders.size());
  this->matched_stale.resize(this->holders.size());
  return id;
}

Router::Endpoint* Router::FindEndpoint(std::string_view name) {
  auto found = this->endpoints.find(name);
  return found == this->endpoints.end() ? nullptr : found->second.get();
}

Router::Store* Router::FindStore(std::string_view name) {
  auto found = this->stores.find(name);
  return found == this->stores.end() ? nullptr : found->second.get();
}

void Router::UpdateLateShares(const InFlight& request, common::TimePoint now) {
  const common::Duration late =
      now - request.dispatched_at - request.predicted_first_token;
  const double value =
      late > std::max(kLateTolerance, request.predicted_restore) ? 1 : 0;
  if (request.restore_blocks == 0)
    this->baseline_late_share +=
        kLateSmoothing * (value - this->baseline_late_share);
  for (HolderId holder : request.restored_from) {
    double& share = this->holders[holder].store->late_share;
    share += kLateSmoothing * (value - share);
  }
}

void Router::UpdateConfidence(const InFlight& request,
                              uint64_t cached_tokens,
                              uint64_t restored_tokens) {
  if (request.predicted_cached_tokens > 0) {
    const double share =
        std::min(1.0, static_cast<double>(cached_tokens) /
                          static_cast<double>(request.predicted_cached_tokens));
    double& confidence = request.endpoint->confidence[request.stale ? 1 : 0];
    confidence += kConfidenceSmoothing * (share - confidence);
    confidence = std::max(confidence, kMinConfidence);
  }
  // Blocks that the stores did not deliver are no longer there. If the endpoint
  // lacked blocks before them, it did not request them from the stores.
  if (cached_tokens < request.predicted_cached_tokens)
    return;
  const uint64_t reused = (cached_tokens + restored_tokens) / kBlockTokens;
  const uint64_t end = std::min<uint64_t>(
      uint64_t{request.restore_from} + request.restore_blocks,
      request.keys.size());
  for (uint64_t i = std::max<uint64_t>(request.restore_from, reused); i < end;
       ++i) {
    for (HolderId holder : request.restored_from)
      this->index.Remove(request.keys[i], holder);
  }
}

}  // namespace jujuberock::routing
