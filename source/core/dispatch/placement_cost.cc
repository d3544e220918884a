#include "core/dispatch/placement_cost.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

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
// Smoothing of the means over requests and over first tokens.
constexpr double kOutputShareSmoothing = 0.02;
// Excess over the mean from which a run counts as long. Keeps runs that are all
// alike from being divided.
constexpr double kLongShareMargin = 0.05;
constexpr double kUncachedSmoothing = 0.05;
constexpr double kMemorySmoothing = 0.02;
constexpr double kOutputTimeSmoothing = 0.02;
constexpr double kMemoryOverflowPenaltyMs = 400;
constexpr double kFailureSmoothing = 0.02;
constexpr double kPlainPriorLatencyMs = 20;
constexpr double kFailurePenaltyMs = 200;

uint64_t RendezvousWeight(std::string_view key, std::string_view endpoint) {
  return common::Hash64(endpoint, common::Hash64(key));
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

PlacementCost::Preparation PlacementCost::Prepare(
    const SendRequirements& requirements,
    const Endpoints& endpoints,
    common::TimePoint now) {
  Preparation preparation;
  // A request that looks for a ready endpoint was counted before.
  if (requirements.prompt && !requirements.ready_only)
    this->CountOutputShare(*requirements.prompt);
  this->long_runs.UpdateShare(endpoints, this->model.token_ms(), now);
  if (!requirements.prompt)
    return preparation;
  preparation.is_long = this->IsLong(*requirements.prompt);
  this->FindAffinity(preparation, *requirements.prompt, endpoints);
  preparation.parts = CachedPartsOf(requirements.salt, *requirements.prompt);
  return preparation;
}

void PlacementCost::FindAffinity(Preparation& preparation,
                                 const Prompt& prompt,
                                 const Endpoints& endpoints) const {
  const std::string_view key = SessionKey(prompt);
  if (key.empty())
    return;
  const bool among_long_runs =
      preparation.is_long && this->long_runs.AreSeparated();
  uint64_t first = 0;
  uint64_t second = 0;
  for (const auto& [id, record] : endpoints) {
    if (record->endpoint().leaving ||
        this->long_runs.Contains(id) != among_long_runs)
      continue;
    const uint64_t weight = RendezvousWeight(key, id);
    if (weight > first) {
      second = std::exchange(first, weight);
      preparation.second = std::exchange(preparation.first, record.get());
    } else if (weight > second) {
      second = weight;
      preparation.second = record.get();
    }
  }
}

double PlacementCost::Estimate(EndpointChoice& choice,
                               const SendRequirements& requirements,
                               const Preparation& preparation,
                               common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  double cost = this->properties && requirements.prompt
                    ? this->EngineCost(choice, requirements, preparation, now)
                    : this->PlainCost(choice, now);
  if (record.endpoint().zone != this->zone)
    cost += kCrossZonePenaltyMs;
  const double excess =
      std::max(0.0, record.health().failure_share() - this->mean_failures);
  cost += kFailurePenaltyMs * excess;
  if (requirements.isolate)
    cost += 100.0 * static_cast<double>(record.own_in_flight());
  // Random tie-breaking keeps hosts with the same information from all choosing
  // the same endpoint.
  return cost + 0.5 * this->random.NextDouble();
}

double PlacementCost::EngineCost(EndpointChoice& choice,
                                 const SendRequirements& requirements,
                                 const Preparation& preparation,
                                 common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  const Prompt& prompt = *requirements.prompt;
  choice.cached_tokens =
      std::min(prompt.prompt_tokens,
               record.part_cache().CachedTokens(preparation.parts));
  choice.uncached_tokens = prompt.prompt_tokens - choice.cached_tokens;
  this->ApplyStoredParts(choice, requirements);
  const EngineRoom& room = record.room();
  const double factor = record.work_rate().FactorAt(now);
  const double token_ms = factor * this->model.token_ms();
  const double peer_pending =
      room.PeerPending(requirements.urgency, token_ms, now);
  const double all_peer_pending =
      room.PeerPending(kUrgencyLevels - 1, token_ms, now);
  // Reports do not tell the urgency of what waits, so what they show beyond the
  // announcements counts as ahead.
  const double unannounced_pending = std::max(
      0.0, record.OthersWaiting(now) * this->mean_uncached - all_peer_pending);
  const double pending_ahead =
      static_cast<double>(room.OwnPending(requirements.urgency)) +
      peer_pending + unannounced_pending;
  choice.ahead_tokens = static_cast<int64_t>(pending_ahead);
  // The engine prefills other prompts during the fetch, so the times overlap.
  const double fetch_as_tokens = choice.fetch_ms / token_ms;
  choice.predicted_tokens =
      static_cast<int64_t>(std::max(pending_ahead, fetch_as_tokens)) +
      choice.uncached_tokens;
  choice.usual_time = this->model.Predict(choice.predicted_tokens);
  choice.predicted = common::Scale(choice.usual_time, factor);
  const double prefill_ms =
      token_ms * static_cast<double>(choice.uncached_tokens);
  double cost = common::ToMilliseconds(choice.predicted);
  cost += kEngineTimeWeight * prefill_ms + kLinkTimeWeight * choice.link_ms;
  if (preparation.first == &record)
    cost -= prefill_ms * kFirstAffinitySaving;
  if (preparation.second == &record)
    cost -= prefill_ms * kSecondAffinitySaving;
  const double all_pending =
      static_cast<double>(room.OwnPending(kUrgencyLevels - 1)) +
      all_peer_pending;
  if (choice.is_long)
    cost += kPendingPrefillWeight * token_ms * all_pending;
  cost += this->long_runs.MisplacementCost(record.endpoint().id, choice.is_long,
                                           prefill_ms);
  choice.run_time = this->RunTime(choice, prompt);
  if (requirements.preferred_version != 0 &&
      record.VersionOf(prompt.model) < requirements.preferred_version)
    cost += kOldVersionPenaltyMs;
  return cost + this->RoomCost(choice, requirements, pending_ahead, now);
}

double PlacementCost::RoomCost(EndpointChoice& choice,
                               const SendRequirements& requirements,
                               double pending_ahead,
                               common::TimePoint now) const {
  const EndpointRecord& record = *choice.endpoint;
  const EngineRoom& room = record.room();
  double cost = 0;
  const auto capacity =
      static_cast<double>(this->properties->kv_capacity_tokens);
  const double unannounced =
      record.UnannouncedRuns(now) * this->mean_memory +
      static_cast<double>(requirements.prompt->MemoryTokens());
  const auto memory_up_to = [&](int urgency) {
    return unannounced + static_cast<double>(room.OwnMemory(urgency) +
                                             room.PeerMemory(urgency, now));
  };
  const double memory = memory_up_to(kUrgencyLevels - 1);
  choice.memory_tokens = static_cast<int64_t>(memory);
  const bool fits = capacity <= 0 || memory <= capacity;
  if (!fits) {
    // Some run is preempted and prefilled again.
    cost += kMemoryOverflowPenaltyMs * (memory / capacity);
    // The prompt waits until runs have freed the missing memory. Less urgent
    // runs are preempted for it.
    const double missing =
        std::max(0.0, memory_up_to(requirements.urgency) - capacity);
    choice.predicted += common::Scale(choice.run_time, missing / capacity);
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

void PlacementCost::ApplyStoredParts(
    EndpointChoice& choice,
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
    if (!IsWorthFetching(stored[i], tokens, endpoint.zone, choice.fetch_ms,
                         requirements.fetch_limits))
      return;
    // Fetches take link time rather than engine time.
    choice.uncached_tokens =
        std::max<int64_t>(0, choice.uncached_tokens - tokens);
    choice.fetch_ms = FetchEndMs(stored[i], endpoint.zone, choice.fetch_ms);
    choice.link_ms += TransferMs(stored[i], endpoint.zone);
  }
}

double PlacementCost::OutputShare(const Prompt& prompt) const {
  const double output_ms = this->long_output_token_ms *
                           static_cast<double>(prompt.max_output_tokens);
  const double prefill_ms =
      this->model.token_ms() * static_cast<double>(prompt.prompt_tokens);
  const double total_ms = output_ms + prefill_ms;
  return total_ms > 0 ? output_ms / total_ms : 0;
}

void PlacementCost::CountOutputShare(const Prompt& prompt) {
  const double share = this->OutputShare(prompt);
  const double mean = this->mean_output_share.value_or(share);
  this->mean_output_share = mean + kOutputShareSmoothing * (share - mean);
}

bool PlacementCost::IsLong(const Prompt& prompt) const {
  return this->mean_output_share &&
         this->OutputShare(prompt) >
             *this->mean_output_share + kLongShareMargin;
}

common::Duration PlacementCost::RunTime(const EndpointChoice& choice,
                                        const Prompt& prompt) const {
  const double token_ms =
      choice.is_long ? this->long_output_token_ms : this->short_output_token_ms;
  return choice.predicted +
         common::FromSeconds(token_ms / 1000 *
                             static_cast<double>(prompt.max_output_tokens));
}

double PlacementCost::PlainCost(EndpointChoice& choice,
                                common::TimePoint now) const {
  const EndpointRecord& record = *choice.endpoint;
  const double in_flight =
      static_cast<double>(record.own_in_flight()) + record.OthersInFlight(now);
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, record.endpoint().slots));
  const double latency = record.mean_latency_ms() > 0 ? record.mean_latency_ms()
                                                      : kPlainPriorLatencyMs;
  // Endpoints get slower when nearly all of their slots are in use.
  const double utilization = (in_flight + 1) / slots;
  const double expected = latency * (1 + utilization * utilization) *
                          record.work_rate().FactorAt(now);
  choice.predicted = common::FromSeconds(expected / 1000);
  choice.idle = in_flight < slots;
  return expected + latency * std::max(0.0, in_flight + 1 - slots);
}

void PlacementCost::OnSent(const PeerPrompt& prompt, common::TimePoint now) {
  this->long_runs.OnSent(prompt, now);
  this->mean_memory +=
      kMemorySmoothing *
      (static_cast<double>(prompt.memory_tokens) - this->mean_memory);
}

void PlacementCost::OnFirstToken(const SendTicket& ticket,
                                 common::TimePoint now) {
  const auto uncached = static_cast<double>(ticket.uncached_tokens);
  this->mean_uncached += kUncachedSmoothing * (uncached - this->mean_uncached);
  this->model.Observe(ticket.tokens_ahead, now - ticket.sent_at);
  if (ticket.endpoint)
    ticket.endpoint->work_rate().OnDuration(now - ticket.sent_at,
                                            ticket.usual_time, now);
}

void PlacementCost::OnFinished(const SendTicket& ticket,
                               common::TimePoint now) {
  if (!ticket.started || ticket.max_output_tokens <= 0)
    return;
  const double ms = common::ToMilliseconds(now - ticket.started_at) /
                    static_cast<double>(ticket.max_output_tokens);
  double& mean =
      ticket.is_long ? this->long_output_token_ms : this->short_output_token_ms;
  mean += kOutputTimeSmoothing * (ms - mean);
}

void PlacementCost::OnOutcome(bool good) {
  this->mean_failures +=
      kFailureSmoothing * ((good ? 0.0 : 1.0) - this->mean_failures);
}

}  // namespace jujuberock::dispatch
