#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/common/hash.h"
#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

// Share of an engine's KV capacity that is assumed to hold cached parts;
// running requests take the rest.
constexpr double kCacheShare = 0.6;
// Weight of engine time taken from other requests, relative to the latency of
// this request.
constexpr double kEngineTimeWeight = 0.5;
// The same for the time that fetches occupy the links, which is twice as long
// between zones.
constexpr double kLinkTimeWeight = 1;
// Share of the prefill time that the first and second choice of rendezvous
// hashing save on average, because other hosts send the same session there.
constexpr double kFirstAffinitySaving = 0.35;
constexpr double kSecondAffinitySaving = 0.12;
constexpr double kCrossZonePenaltyMs = 1.5;
// Requests on old weights are worth less, and soon nothing.
constexpr double kOldVersionPenaltyMs = 60;
// Weight of the pending prefill on the engine of a long run. Prefill lengthens
// the pauses in the stream, even for prompts that are less urgent.
constexpr double kPendingPrefillWeight = 0.5;
// Target utilization of the slots and of the prefill time on engines for long
// runs. The rest is headroom for bursts.
constexpr double kLongRunSlotUtilization = 0.5;
constexpr double kLongRunPrefillUtilization = 0.35;
// The other prompts need the majority of the engines.
constexpr double kMaxLongRunShare = 0.4;
// Penalty for a long run on an engine that prefills long prompts: the pauses in
// its stream often make it late.
constexpr double kMisplacedLongRunMs = 150;
// Penalty for prefilling other prompts on an engine for long runs: the delay of
// these runs, per prefill time and as a constant.
constexpr double kMisplacedPrefillWeight = 1.5;
constexpr double kMisplacedPrefillMs = 30;
constexpr double kOutputTimeSmoothing = 0.02;
// Bytes that this host received from an endpoint within this time outweigh
// reports of other hosts that the endpoint is unreachable.
constexpr common::Duration kLocalEvidenceLifetime =
    std::chrono::milliseconds(500);
constexpr double kMemoryOverflowPenaltyMs = 400;
constexpr double kFailureSmoothing = 0.02;
constexpr double kPlainPriorLatencyMs = 20;
constexpr double kFailurePenaltyMs = 200;
// Margin for errors of the predicted first token where a late one is not
// acceptable.
constexpr double kStartPredictionFactor = 2;

uint64_t RendezvousWeight(std::string_view key, std::string_view endpoint) {
  return common::Hash64(endpoint, common::Hash64(key));
}

bool TakesRequestsAt(const EndpointRecord& record,
                     const std::string& software) {
  return !record.endpoint().leaving && !record.removed &&
         record.endpoint().software == software;
}

// Id of the part that identifies the session: the second to last one, because
// the last one belongs to the request alone; the only one if there is just one.
std::string_view SessionKey(const Prompt& prompt) {
  const size_t count = prompt.parts.size();
  if (count == 0)
    return {};
  return prompt.parts[count >= 2 ? count - 2 : 0].id;
}

}  // namespace

void ServicePool::Update(const catalog::Service& service,
                         const std::vector<catalog::Endpoint>& registered) {
  this->properties = service.engine;
  std::map<std::string, std::shared_ptr<EndpointRecord>> next;
  for (const catalog::Endpoint& endpoint : registered) {
    const auto known = this->endpoints.find(endpoint.id);
    if (known != this->endpoints.end() &&
        known->second->endpoint().started_at_ms == endpoint.started_at_ms &&
        known->second->endpoint().address == endpoint.address) {
      known->second->Update(endpoint);
      next.emplace(endpoint.id, known->second);
      continue;
    }
    if (auto record = this->TakeRemembered(endpoint)) {
      next.emplace(endpoint.id, std::move(record));
      continue;
    }
    const double capacity =
        this->properties
            ? kCacheShare *
                  static_cast<double>(this->properties->kv_capacity_tokens)
            : 0;
    next.emplace(endpoint.id, std::make_shared<EndpointRecord>(
                                  endpoint, static_cast<int64_t>(capacity)));
  }
  for (const auto& [id, record] : this->endpoints) {
    const auto kept = next.find(id);
    if (kept != next.end() && kept->second == record)
      continue;
    record->removed = true;
    if (record->backoff_until != common::TimePoint() &&
        this->remembered.size() < kMaxRemembered)
      this->remembered.insert_or_assign(id, record);
  }
  this->endpoints = std::move(next);
}

std::shared_ptr<EndpointRecord> ServicePool::TakeRemembered(
    const catalog::Endpoint& endpoint) {
  const auto found = this->remembered.find(endpoint.id);
  if (found == this->remembered.end())
    return nullptr;
  const std::shared_ptr<EndpointRecord> record = found->second;
  this->remembered.erase(found);
  if (record->endpoint().started_at_ms != endpoint.started_at_ms ||
      record->endpoint().address != endpoint.address)
    return nullptr;
  record->Update(endpoint);
  record->removed = false;
  return record;
}

std::shared_ptr<EndpointRecord> ServicePool::Find(std::string_view id) const {
  const auto found = this->endpoints.find(std::string(id));
  return found == this->endpoints.end() ? nullptr : found->second;
}

Exclusion ServicePool::ExclusionOf(const EndpointRecord& record,
                                   const SendRequirements& requirements,
                                   common::TimePoint now) {
  if (record.endpoint().leaving || record.removed)
    return Exclusion::kLeaving;
  if (requirements.software &&
      record.endpoint().software != *requirements.software)
    return Exclusion::kOtherSoftware;
  if (requirements.certain_only && !record.process().IsCertain())
    return Exclusion::kUncertain;
  if (requirements.tried && requirements.tried->contains(record.endpoint().id))
    return Exclusion::kTried;
  if (requirements.prompt && requirements.required_version != 0 &&
      record.VersionOf(requirements.prompt->model) <
          requirements.required_version)
    return Exclusion::kOutdated;
  if (record.IsReserved(now))
    return Exclusion::kReserved;
  if (now < record.paused_until || now < record.backoff_until)
    return Exclusion::kPaused;
  return Exclusion::kNone;
}

std::optional<common::Duration> ServicePool::PauseLeft(
    const SendRequirements& requirements,
    common::TimePoint now) const {
  std::optional<common::Duration> left;
  for (const auto& [id, record] : this->endpoints) {
    const Exclusion exclusion = ExclusionOf(*record, requirements, now);
    if (exclusion == Exclusion::kLeaving || exclusion == Exclusion::kTried ||
        exclusion == Exclusion::kOtherSoftware ||
        exclusion == Exclusion::kUncertain)
      continue;
    if (now >= record->backoff_until)
      return std::nullopt;
    const common::Duration own = record->backoff_until - now;
    left = std::min(left.value_or(own), own);
  }
  return left;
}

bool ServicePool::HasSoftware(const std::string& software) const {
  return std::any_of(this->endpoints.begin(), this->endpoints.end(),
                     [&](const auto& entry) {
                       return TakesRequestsAt(*entry.second, software);
                     });
}

bool ServicePool::HasCertainSoftware(
    const std::string& software,
    const std::set<std::string>& except) const {
  return std::any_of(
      this->endpoints.begin(), this->endpoints.end(), [&](const auto& entry) {
        const EndpointRecord& record = *entry.second;
        return TakesRequestsAt(record, software) &&
               record.process().IsCertain() && !except.contains(entry.first);
      });
}

ExclusionCounts ServicePool::CountExclusions(
    const SendRequirements& requirements,
    common::TimePoint now) const {
  ExclusionCounts counts{};
  for (const auto& [id, record] : this->endpoints) {
    const Exclusion exclusion = ExclusionOf(*record, requirements, now);
    ++counts[static_cast<size_t>(exclusion)];
  }
  return counts;
}

ServicePool::Eligibility ServicePool::EligibilityOf(
    const EndpointRecord& record,
    const SendRequirements& requirements,
    common::TimePoint now) {
  if (ExclusionOf(record, requirements, now) != Exclusion::kNone)
    return Eligibility::kNo;
  const Eligibility eligibility = EligibilityByHealth(record, now);
  if (!requirements.ready_only)
    return eligibility;
  const bool is_ready =
      eligibility == Eligibility::kYes && !record.HasJustRefused(now);
  return is_ready ? Eligibility::kYes : Eligibility::kNo;
}

ServicePool::Eligibility ServicePool::EligibilityByHealth(
    const EndpointRecord& record,
    common::TimePoint now) {
  switch (record.health().StateAt(now)) {
    case EndpointHealth::State::kHealthy:
      return Eligibility::kYes;
    case EndpointHealth::State::kProbation:
      return record.own_in_flight() == 0 ? Eligibility::kYes
                                         : Eligibility::kLastResort;
    case EndpointHealth::State::kEjected:
      return Eligibility::kLastResort;
  }
  return Eligibility::kNo;
}

std::optional<EndpointChoice> ServicePool::Choose(
    const SendRequirements& requirements,
    common::TimePoint now) {
  std::optional<EndpointChoice> best;
  double lowest_cost = 0;
  Eligibility best_eligibility = Eligibility::kNo;
  // A request that looks for a ready endpoint was counted before.
  if (requirements.prompt && !requirements.ready_only)
    this->mean_output +=
        0.02 * (static_cast<double>(requirements.prompt->max_output_tokens) -
                this->mean_output);
  this->UpdateLongRunShare(now);
  const bool is_long =
      requirements.prompt && this->IsLong(*requirements.prompt);
  Affinity affinity =
      requirements.prompt
          ? this->AffinityOf(*requirements.prompt,
                             is_long && this->long_run_share > 0)
          : Affinity();
  if (requirements.prompt)
    affinity.parts = CachedPartsOf(requirements.salt, *requirements.prompt);
  for (const auto& [id, record] : this->endpoints) {
    const Eligibility eligibility = EligibilityOf(*record, requirements, now);
    if (eligibility == Eligibility::kNo || eligibility < best_eligibility)
      continue;
    EndpointChoice choice{record};
    choice.is_long = is_long;
    const double cost = this->Cost(choice, requirements, affinity, now);
    if (!BeginsInTime(choice, requirements, now))
      continue;
    if (best && eligibility == best_eligibility && cost >= lowest_cost)
      continue;
    best = choice;
    lowest_cost = cost;
    best_eligibility = eligibility;
  }
  return best;
}

bool ServicePool::BeginsInTime(const EndpointChoice& choice,
                               const SendRequirements& requirements,
                               common::TimePoint now) {
  if (!requirements.prompt || !requirements.start_deadline)
    return true;
  const auto deadline = requirements.start_deadline(
      choice.endpoint->VersionOf(requirements.prompt->model));
  return !deadline ||
         now + common::Scale(choice.predicted, kStartPredictionFactor) <
             *deadline;
}

double ServicePool::Cost(EndpointChoice& choice,
                         const SendRequirements& requirements,
                         const Affinity& affinity,
                         common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  double cost = this->properties && requirements.prompt
                    ? this->EngineCost(choice, requirements, affinity, now)
                    : this->PlainCost(choice, now);
  if (record.endpoint().zone != this->zone)
    cost += kCrossZonePenaltyMs;
  const double excess =
      std::max(0.0, record.health().failure_share() - this->failure_share);
  cost += kFailurePenaltyMs * excess;
  if (requirements.isolate)
    cost += 100.0 * static_cast<double>(record.own_in_flight());
  // Random tie-breaking keeps hosts with the same information from all choosing
  // the same endpoint.
  return cost + 0.5 * this->random.NextDouble();
}

double ServicePool::EngineCost(EndpointChoice& choice,
                               const SendRequirements& requirements,
                               const Affinity& affinity,
                               common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  const Prompt& prompt = *requirements.prompt;
  choice.cached_tokens = std::min(
      prompt.prompt_tokens, record.part_cache().CachedTokens(affinity.parts));
  choice.uncached_tokens = prompt.prompt_tokens - choice.cached_tokens;
  this->ApplyStoredParts(choice, requirements);
  const double peer_tokens = record.PeerTokens(this->model.token_ms(), now);
  const double peer_pending =
      std::max(peer_tokens, record.OthersWaiting(now) * this->mean_uncached);
  const double pending_ahead =
      static_cast<double>(record.PendingTokens(requirements.urgency)) +
      peer_pending;
  // The engine prefills other prompts during the fetch, so the times overlap.
  const double fetch_as_tokens = choice.fetch_ms / this->model.token_ms();
  choice.predicted = this->model.Predict(
      static_cast<int64_t>(std::max(pending_ahead, fetch_as_tokens)) +
      choice.uncached_tokens);
  const double prefill_ms =
      this->model.token_ms() * static_cast<double>(choice.uncached_tokens);
  double cost = common::ToMilliseconds(choice.predicted);
  cost += kEngineTimeWeight * prefill_ms + kLinkTimeWeight * choice.link_ms;
  if (affinity.first == &record)
    cost -= prefill_ms * kFirstAffinitySaving;
  if (affinity.second == &record)
    cost -= prefill_ms * kSecondAffinitySaving;
  const double all_pending =
      static_cast<double>(record.PendingTokens(kUrgencies - 1)) + peer_tokens;
  if (choice.is_long)
    cost += kPendingPrefillWeight * this->model.token_ms() * all_pending;
  cost += this->MisplacementCost(choice, prefill_ms);
  choice.run_time = this->RunTime(choice, prompt);
  if (requirements.preferred_version != 0 &&
      record.VersionOf(prompt.model) < requirements.preferred_version)
    cost += kOldVersionPenaltyMs;
  const auto capacity =
      static_cast<double>(this->properties->kv_capacity_tokens);
  const double memory = static_cast<double>(
      record.memory_tokens() + record.PeerMemory(now) + prompt.MemoryTokens());
  const bool fits = capacity <= 0 || memory <= capacity;
  if (!fits) {
    cost += kMemoryOverflowPenaltyMs * (memory / capacity);
    // The prompt waits until runs have freed the missing memory, or preempts
    // one that is then prefilled again.
    choice.predicted +=
        common::Scale(choice.run_time, (memory - capacity) / capacity);
  }
  const double in_flight = static_cast<double>(record.own_in_flight()) +
                           std::max(record.OthersInFlight(now),
                                    static_cast<double>(record.PeerRuns(now)));
  const bool has_free_slot =
      in_flight < static_cast<double>(record.endpoint().slots);
  if (!has_free_slot)
    cost += kMemoryOverflowPenaltyMs;
  choice.idle = fits && has_free_slot && pending_ahead < 1;
  return cost;
}

void ServicePool::ApplyStoredParts(EndpointChoice& choice,
                                   const SendRequirements& requirements) const {
  if (!requirements.stored)
    return;
  const catalog::Endpoint& endpoint = choice.endpoint->endpoint();
  const std::vector<StoredPart>& stored = requirements.stored(
      choice.endpoint->VersionOf(requirements.prompt->model));
  int64_t end = 0;
  for (size_t i = 0; i < stored.size(); ++i) {
    const int64_t tokens = requirements.prompt->parts[i].tokens;
    end += tokens;
    if (end <= choice.cached_tokens)
      continue;
    if (!IsWorthFetching(stored[i], tokens, endpoint.zone,
                         requirements.fetch_limits))
      return;
    // Fetches take link time rather than engine time.
    choice.uncached_tokens =
        std::max<int64_t>(0, choice.uncached_tokens - tokens);
    const double transfer_ms = TransferMs(stored[i], endpoint.zone);
    choice.fetch_ms =
        std::max(choice.fetch_ms, stored[i].wait_ms) + transfer_ms;
    choice.link_ms += transfer_ms;
  }
}

bool ServicePool::IsLong(const Prompt& prompt) const {
  return static_cast<double>(prompt.max_output_tokens) > this->mean_output;
}

common::Duration ServicePool::RunTime(const EndpointChoice& choice,
                                      const Prompt& prompt) const {
  const double token_ms =
      choice.is_long ? this->long_output_token_ms : this->short_output_token_ms;
  return choice.predicted +
         common::FromSeconds(token_ms / 1000 *
                             static_cast<double>(prompt.max_output_tokens));
}

bool ServicePool::IsForLongRuns(const std::string& id) const {
  // Differs from the seed of the rendezvous weights to keep the two selections
  // independent.
  constexpr uint64_t kSeed = 0x6c6f6e67;
  const auto unit =
      static_cast<double>(common::Hash64(id, kSeed) >> 11) * 0x1.0p-53;
  return unit < this->long_run_share;
}

void ServicePool::UpdateLongRunShare(common::TimePoint now) {
  double total_slots = 0;
  double engine_count = 0;
  for (const auto& [id, record] : this->endpoints) {
    if (record->health().StateAt(now) == EndpointHealth::State::kEjected)
      continue;
    total_slots += static_cast<double>(record->endpoint().slots);
    engine_count += 1;
  }
  this->long_run_share = 0;
  if (total_slots <= 0)
    return;
  const double by_slots =
      this->long_run_time.At(now) / (total_slots * kLongRunSlotUtilization);
  const double prefill_load =
      this->long_run_tokens.At(now) * this->model.token_ms() / 1000;
  const double by_prefill =
      prefill_load / (engine_count * kLongRunPrefillUtilization);
  const double share = std::max(by_slots, by_prefill);
  // With less than one engine there is nothing to separate.
  if (share * engine_count >= 1)
    this->long_run_share = std::min(share, kMaxLongRunShare);
}

double ServicePool::MisplacementCost(const EndpointChoice& choice,
                                     double prefill_ms) const {
  if (this->long_run_share <= 0)
    return 0;
  const bool for_long_runs =
      this->IsForLongRuns(choice.endpoint->endpoint().id);
  if (choice.is_long)
    return for_long_runs ? 0 : kMisplacedLongRunMs;
  return for_long_runs
             ? kMisplacedPrefillMs + kMisplacedPrefillWeight * prefill_ms
             : 0;
}

void ServicePool::OnSent(const PeerPrompt& prompt, common::TimePoint now) {
  if (!prompt.is_long)
    return;
  this->long_run_time.Add(common::ToSeconds(prompt.run_time), now);
  this->long_run_tokens.Add(static_cast<double>(prompt.uncached_tokens), now);
}

void ServicePool::OnFinished(const SendTicket& ticket, common::TimePoint now) {
  if (!ticket.started || ticket.max_output_tokens <= 0)
    return;
  const double ms = common::ToMilliseconds(now - ticket.started_at) /
                    static_cast<double>(ticket.max_output_tokens);
  double& mean =
      ticket.is_long ? this->long_output_token_ms : this->short_output_token_ms;
  mean += kOutputTimeSmoothing * (ms - mean);
}

ServicePool::Affinity ServicePool::AffinityOf(const Prompt& prompt,
                                              bool is_long) const {
  Affinity affinity;
  const std::string_view key = SessionKey(prompt);
  if (key.empty())
    return affinity;
  uint64_t first = 0;
  uint64_t second = 0;
  for (const auto& [id, record] : this->endpoints) {
    if (record->endpoint().leaving || this->IsForLongRuns(id) != is_long)
      continue;
    const uint64_t weight = RendezvousWeight(key, id);
    if (weight > first) {
      second = std::exchange(first, weight);
      affinity.second = std::exchange(affinity.first, record.get());
    } else if (weight > second) {
      second = weight;
      affinity.second = record.get();
    }
  }
  return affinity;
}

double ServicePool::PlainCost(EndpointChoice& choice, common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  const double in_flight =
      static_cast<double>(record.own_in_flight()) + record.OthersInFlight(now);
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, record.endpoint().slots));
  const double latency = record.mean_latency_ms() > 0 ? record.mean_latency_ms()
                                                      : kPlainPriorLatencyMs;
  // Endpoints get slower when nearly all of their slots are in use.
  const double utilization = (in_flight + 1) / slots;
  const double expected = latency * (1 + utilization * utilization);
  choice.predicted = common::FromSeconds(expected / 1000);
  choice.idle = in_flight < slots;
  return expected + latency * std::max(0.0, in_flight + 1 - slots);
}

void ServicePool::OnFirstToken(const SendTicket& ticket,
                               common::TimePoint now) {
  const auto uncached = static_cast<double>(ticket.uncached_tokens);
  this->mean_uncached += 0.05 * (uncached - this->mean_uncached);
  this->model.Observe(ticket.tokens_ahead, now - ticket.sent_at);
}

bool ServicePool::OnOutcome(EndpointRecord& endpoint,
                            SendOutcome outcome,
                            common::TimePoint now) {
  const bool good = outcome == SendOutcome::kGood;
  this->failure_share +=
      kFailureSmoothing * ((good ? 0.0 : 1.0) - this->failure_share);
  return endpoint.health().OnOutcome(outcome, this->failure_share, now);
}

bool ServicePool::OnPeerUnreachable(EndpointRecord& endpoint,
                                    common::TimePoint now) {
  const bool healthy =
      endpoint.health().StateAt(now) == EndpointHealth::State::kHealthy;
  if (!healthy || now - endpoint.last_byte_time() < kLocalEvidenceLifetime)
    return false;
  endpoint.health().Eject(now);
  return true;
}

}  // namespace jujuberock::dispatch
