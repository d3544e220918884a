#include <algorithm>

#include "core/routing/router.h"

namespace jujuberock::routing {

std::optional<RouteDecision> Router::Choose(const RouteRequest& request,
                                            common::TimePoint now) {
  auto service = this->services.find(request.service);
  if (service == this->services.end())
    return std::nullopt;
  this->FindMatch(request);
  const auto prompt_blocks = static_cast<uint32_t>(request.block_keys.size());
  this->PreparePlanner(prompt_blocks, now);
  uint32_t known_blocks = this->planner.RestorableBlocks(0);
  for (const PrefixIndex::HeldPrefix& prefix : this->match.prefixes) {
    const uint32_t reusable_blocks =
        prefix.blocks + this->planner.RestorableBlocks(prefix.blocks);
    known_blocks = std::max(known_blocks, reusable_blocks);
  }

  this->candidates.clear();
  this->candidate_endpoints.clear();
  if (request.isolate) {
    if (Endpoint* reserved_endpoint = this->EndpointForSuspect(request, now))
      this->candidate_endpoints.push_back(reserved_endpoint);
  } else {
    for (Endpoint* endpoint : service->second) {
      if (this->IsAvailable(*endpoint, request, now))
        this->candidate_endpoints.push_back(endpoint);
    }
  }
  for (const Endpoint* endpoint : this->candidate_endpoints) {
    this->candidates.push_back(
        this->Evaluate(*endpoint, request, known_blocks, now));
  }

  std::optional<RouteDecision> decision;
  if (!this->candidates.empty()) {
    const ChoiceContext context{this->settings.weights, prompt_blocks,
                                common::ToSeconds(request.deadline - now),
                                this->random};
    const size_t picked = this->policy->Pick(this->candidates, context);
    decision = this->MakeDecision(*this->candidate_endpoints[picked],
                                  this->candidates[picked], request);
  }
  for (const PrefixIndex::HeldPrefix& prefix : this->match.prefixes)
    this->matched_blocks[prefix.holder] = 0;
  return decision;
}

bool Router::IsAvailable(const Endpoint& endpoint,
                         const RouteRequest& request,
                         common::TimePoint now) const {
  if (endpoint.state != EndpointState::kLive ||
      this->IsReserved(endpoint, request.id, now)) {
    return false;
  }
  const auto& report = endpoint.load.report();
  if (report && report->leaving)
    return false;
  if (!request.version.empty() && report && report->version != request.version)
    return false;
  return std::find(request.excluded.begin(), request.excluded.end(),
                   endpoint.info.name) == request.excluded.end();
}

bool Router::IsReserved(const Endpoint& endpoint,
                        RequestId request,
                        common::TimePoint now) const {
  if (endpoint.peer_reserved_until > now)
    return true;
  return endpoint.reserved_by && endpoint.reserved_by != request &&
         endpoint.reserved_until > now;
}

void Router::FindMatch(const RouteRequest& request) {
  this->match.prefixes.clear();
  this->match.stored.clear();
  if (request.load_only)
    return;
  this->index.Find(request.block_keys, this->match);
  if (request.owner_reply) {
    this->MergeOwnerReply(*request.owner_reply,
                          static_cast<uint32_t>(request.block_keys.size()));
  }
  for (const PrefixIndex::HeldPrefix& prefix : this->match.prefixes) {
    this->matched_blocks[prefix.holder] = prefix.blocks;
    this->matched_stale[prefix.holder] = prefix.stale ? 1 : 0;
  }
}

void Router::MergeOwnerReply(const IndexReply& reply, uint32_t prompt_blocks) {
  for (const Holder& holder : reply.endpoints) {
    Endpoint* endpoint = this->FindEndpoint(holder.name);
    if (!endpoint)
      continue;
    const uint32_t blocks = std::min(holder.leading_blocks, prompt_blocks);
    auto known = std::find_if(
        this->match.prefixes.begin(), this->match.prefixes.end(),
        [&](const auto& l) { return l.holder == endpoint->holder; });
    if (known == this->match.prefixes.end()) {
      this->match.prefixes.push_back({endpoint->holder, blocks, holder.stale});
    } else if (known->blocks < blocks) {
      *known = {endpoint->holder, blocks, holder.stale};
    }
  }
  for (const StoredBlocks& stored : reply.stores) {
    if (!this->FindStore(stored.store))
      continue;
    const HolderId holder = this->holder_ids.find(stored.store)->second;
    for (uint32_t position : stored.positions) {
      if (position < prompt_blocks)
        this->match.stored.push_back({holder, position, false});
    }
  }
  std::stable_sort(
      this->match.stored.begin(), this->match.stored.end(),
      [](const auto& a, const auto& b) { return a.position < b.position; });
}

void Router::PreparePlanner(uint32_t prompt_blocks, common::TimePoint now) {
  std::vector<RestorePlanner::Source> sources;
  const PolicyWeights& weights = this->settings.weights;
  if (this->policy->uses_stores() && weights.restore) {
    for (const auto& [name, store] : this->stores) {
      if (!store->read.CanStart(now))
        continue;
      const double queue_seconds =
          weights.link_queue ? store->read.QueueSeconds(now) : 0;
      const double seconds_per_block =
          store->read.TransferSeconds(this->settings.block_bytes);
      sources.push_back({this->holder_ids.find(name)->second, queue_seconds,
                         seconds_per_block});
    }
  }
  this->planner.Reset(prompt_blocks, this->match.stored, sources);
}

Candidate Router::Evaluate(const Endpoint& endpoint,
                           const RouteRequest& request,
                           uint32_t known_blocks,
                           common::TimePoint now) const {
  const PolicyWeights& weights = this->settings.weights;
  Candidate candidate;
  candidate.same_zone =
      endpoint.info.zone == (request.zone.empty() ? this->zone : request.zone);
  candidate.occupancy = endpoint.load.Occupancy(weights.own_dispatches);
  candidate.matched_blocks = this->MatchedBlocks(endpoint);
  candidate.wait_seconds = endpoint.load.WaitSeconds(
      now, this->settings.report_lifetime, weights.own_dispatches);
  candidate.first_token_seconds = candidate.wait_seconds;
  const double rate = endpoint.load.prefill_rate();
  if (rate <= 0)
    return candidate;

  double confidence = 1;
  if (weights.confidence_discount && candidate.matched_blocks > 0) {
    const bool stale = this->matched_stale[endpoint.holder] != 0;
    confidence = endpoint.confidence[stale ? 1 : 0];
  }
  const double block_seconds = kBlockTokens / rate;
  const auto plan = this->planner.PlanFor(
      candidate.matched_blocks, candidate.wait_seconds, block_seconds);
  candidate.restored_blocks = plan.blocks;
  candidate.restore_seconds = plan.seconds;
  candidate.link_seconds = plan.link_seconds;
  const double cached_blocks = confidence * candidate.matched_blocks;
  const double reused = (cached_blocks + plan.blocks) * kBlockTokens;
  const double computed =
      std::max(0.0, static_cast<double>(request.prompt_tokens) - reused);
  candidate.first_token_seconds =
      std::max(candidate.wait_seconds, plan.seconds) + computed / rate;
  candidate.recompute_seconds =
      std::max(0.0, known_blocks - cached_blocks - plan.blocks) * block_seconds;
  return candidate;
}

uint32_t Router::MatchedBlocks(const Endpoint& endpoint) const {
  return this->matched_blocks[endpoint.holder];
}

RouteDecision Router::MakeDecision(const Endpoint& endpoint,
                                   const Candidate& candidate,
                                   const RouteRequest& request) const {
  RouteDecision decision;
  decision.endpoint = endpoint.info.name;
  decision.predicted_first_token =
      common::FromSeconds(candidate.first_token_seconds);
  decision.predicted_wait = common::FromSeconds(candidate.wait_seconds);
  decision.predicted_restore = common::FromSeconds(candidate.restore_seconds);
  decision.stale =
      candidate.matched_blocks > 0 && this->matched_stale[endpoint.holder] != 0;
  decision.cached_tokens = uint64_t{candidate.matched_blocks} * kBlockTokens;
  for (uint32_t i = 0; i < candidate.restored_blocks; ++i) {
    const uint32_t position = candidate.matched_blocks + i;
    const HolderId store = this->planner.StoreOf(position);
    decision.restores.push_back(
        {request.block_keys[position], this->holders[store].name});
  }
  return decision;
}

Router::Endpoint* Router::EndpointForSuspect(const RouteRequest& request,
                                             common::TimePoint now) {
  const auto& members = this->services.find(request.service)->second;
  size_t reserved = 0;
  size_t live = 0;
  Endpoint* selected = nullptr;
  for (Endpoint* endpoint : members) {
    if (endpoint->state != EndpointState::kLive)
      continue;
    ++live;
    if (this->IsReserved(*endpoint, request.id, now)) {
      ++reserved;
      continue;
    }
    if (!this->IsAvailable(*endpoint, request, now))
      continue;
    const bool already_reserved = endpoint->reserved_by == request.id;
    const bool less_loaded = !selected || endpoint->load.Occupancy(true) <
                                              selected->load.Occupancy(true);
    if (already_reserved || less_loaded)
      selected = endpoint;
    if (already_reserved)
      break;
  }
  const auto max_reserved = std::max<size_t>(
      1, static_cast<size_t>(this->settings.max_isolated_share *
                             static_cast<double>(live)));
  if (!selected)
    return nullptr;
  if (selected->reserved_by != request.id && reserved >= max_reserved)
    return nullptr;
  if (selected->reserved_by != request.id)
    this->Reserve(*selected, request.id, now);
  const bool is_settled =
      now - selected->reserved_at >= this->settings.reservation_settle_time;
  const bool is_idle = selected->load.own_in_flight() == 0 &&
                       !selected->load.has_other_requests();
  return is_settled && is_idle ? selected : nullptr;
}

}  // namespace jujuberock::routing
