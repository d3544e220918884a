#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::dispatch {

namespace {

// Share of an engine's memory that this host assumes to hold cached parts; the
// rest is taken by running requests.
constexpr double kCacheShare = 0.6;
// Weight of engine time that is taken from others against own waiting time.
constexpr double kEngineTimeWeight = 0.5;
// Reading time that the first and second choice of rendezvous hashing save on
// average, since other hosts send the same session there.
constexpr double kFirstAffinity = 0.35;
constexpr double kSecondAffinity = 0.12;
constexpr double kOtherZoneMs = 1.5;
// Requests on old weights earn less and soon nothing.
constexpr double kOldVersionMs = 60;
// A long run delays the change of weights on its engine.
constexpr double kLongRunMs = 250;
// Prompts that are read on the engine make the pauses of a long run longer,
// also those that are less urgent.
constexpr double kPauseWeight = 0.5;
// Engines for long runs are used to this share of their places and of their
// reading time on average, so that bursts find room.
constexpr double kLongRunPlaces = 0.5;
constexpr double kLongRunReading = 0.35;
// The other prompts need most engines.
constexpr double kMostLongRunShare = 0.4;
// A long run on an engine that reads long prompts is often late by its pauses.
constexpr double kMixedRunMs = 150;
// What reading on an engine for long runs costs these.
constexpr double kMixedReadingWeight = 1.5;
constexpr double kMixedReadingMs = 30;
constexpr double kOutputWeight = 0.02;
// What this host has heard from an endpoint within this time goes before what
// other hosts say.
constexpr common::Duration kOwnEvidence = std::chrono::milliseconds(500);
constexpr double kMemoryOverflowMs = 400;
constexpr double kFailureWeight = 0.02;
constexpr double kPlainPriorLatencyMs = 20;
constexpr double kFailureMs = 200;

uint64_t RendezvousWeight(std::string_view key, std::string_view endpoint) {
  return common::Hash64(endpoint, common::Hash64(key));
}

// The part that identifies the session: the last one belongs to the request
// alone when the prompt has more than two.
std::string_view SessionKey(const Prompt& prompt) {
  const size_t count = prompt.parts.size();
  if (count == 0)
    return {};
  return prompt.parts[count >= 2 ? count - 2 : 0].id;
}

}  // namespace

void ServicePool::Update(const catalog::Service& service,
                         const std::vector<catalog::Endpoint>& registered) {
  this->traits = service.engine;
  std::map<std::string, std::shared_ptr<EndpointRecord>> next;
  for (const catalog::Endpoint& endpoint : registered) {
    const auto known = this->endpoints.find(endpoint.id);
    if (known != this->endpoints.end() &&
        known->second->endpoint().born == endpoint.born &&
        known->second->endpoint().address == endpoint.address) {
      known->second->Update(endpoint);
      next.emplace(endpoint.id, known->second);
      continue;
    }
    const double capacity =
        this->traits ? kCacheShare *
                           static_cast<double>(this->traits->kv_capacity_tokens)
                     : 0;
    next.emplace(endpoint.id, std::make_shared<EndpointRecord>(
                                  endpoint, static_cast<int64_t>(capacity)));
  }
  for (const auto& [id, record] : this->endpoints) {
    const auto kept = next.find(id);
    if (kept == next.end() || kept->second != record)
      record->removed = true;
  }
  this->endpoints = std::move(next);
}

std::shared_ptr<EndpointRecord> ServicePool::Find(std::string_view id) const {
  const auto found = this->endpoints.find(std::string(id));
  return found == this->endpoints.end() ? nullptr : found->second;
}

ServicePool::Eligibility ServicePool::EligibilityOf(
    const EndpointRecord& record,
    const SendNeeds& needs,
    common::TimePoint now) const {
  if (record.endpoint().leaving || record.removed)
    return Eligibility::kNo;
  if (needs.tried && needs.tried->contains(record.endpoint().id))
    return Eligibility::kNo;
  if (needs.prompt && needs.required_version != 0 &&
      record.VersionOf(needs.prompt->model) < needs.required_version)
    return Eligibility::kNo;
  if (now < record.reserved_until)
    return Eligibility::kNo;
  switch (record.health().StateAt(now)) {
    case EndpointHealth::State::kGood:
      return Eligibility::kYes;
    case EndpointHealth::State::kProbation:
      return record.own_in_flight() == 0 ? Eligibility::kYes
                                         : Eligibility::kLastResort;
    case EndpointHealth::State::kEjected:
      return Eligibility::kLastResort;
  }
  return Eligibility::kNo;
}

std::optional<Choice> ServicePool::Choose(const SendNeeds& needs,
                                          common::TimePoint now) {
  std::optional<Choice> best;
  double best_score = 0;
  Eligibility best_eligibility = Eligibility::kNo;
  if (needs.prompt)
    this->mean_output +=
        0.02 * (static_cast<double>(needs.prompt->max_output_tokens) -
                this->mean_output);
  this->SetLongRunShare(now);
  const bool is_long = needs.prompt && this->IsLong(*needs.prompt);
  const Affinity affinity =
      needs.prompt
          ? this->AffinityOf(*needs.prompt, is_long && this->long_run_share > 0)
          : Affinity();
  for (const auto& [id, record] : this->endpoints) {
    const Eligibility eligibility = this->EligibilityOf(*record, needs, now);
    if (eligibility == Eligibility::kNo || eligibility < best_eligibility)
      continue;
    Choice choice{record};
    choice.is_long = is_long;
    const double score = this->Score(choice, needs, affinity, now);
    if (best && eligibility == best_eligibility && score >= best_score)
      continue;
    best = choice;
    best_score = score;
    best_eligibility = eligibility;
  }
  return best;
}

double ServicePool::Score(Choice& choice,
                          const SendNeeds& needs,
                          const Affinity& affinity,
                          common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  double score = this->traits && needs.prompt
                     ? this->ScoreEngine(choice, needs, affinity, now)
                     : this->ScorePlain(choice, now);
  if (record.endpoint().zone != this->zone)
    score += kOtherZoneMs;
  const double excess =
      std::max(0.0, record.health().failure_share() - this->failure_share);
  score += kFailureMs * excess;
  if (needs.isolate)
    score += 100.0 * static_cast<double>(record.own_in_flight());
  // Breaks ties, so that hosts that know the same do not choose the same.
  return score + 0.5 * this->random.Unit();
}

double ServicePool::ScoreEngine(Choice& choice,
                                const SendNeeds& needs,
                                const Affinity& affinity,
                                common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  const Prompt& prompt = *needs.prompt;
  choice.uncached_tokens =
      record.part_cache().UncachedTokens(needs.salt, prompt);
  choice.cached_tokens = prompt.prompt_tokens - choice.uncached_tokens;
  this->TakeStored(choice, needs);
  const double peer_tokens = record.PeerTokens(this->model.token_ms(), now);
  const double others =
      std::max(peer_tokens, record.OthersWaiting(now) * this->mean_uncached);
  const double ahead =
      static_cast<double>(record.PendingTokens(needs.urgency)) + others;
  // The engine reads other prompts while it fetches.
  const double fetching = choice.fetch_ms / this->model.token_ms();
  choice.predicted = this->model.Predict(
      static_cast<int64_t>(std::max(ahead, fetching)) + choice.uncached_tokens);
  const double reading_ms =
      this->model.token_ms() * static_cast<double>(choice.uncached_tokens);
  double score = common::ToMilliseconds(choice.predicted);
  score += kEngineTimeWeight * reading_ms;
  if (affinity.first == &record)
    score -= reading_ms * kFirstAffinity;
  if (affinity.second == &record)
    score -= reading_ms * kSecondAffinity;
  const double all_pending =
      static_cast<double>(record.PendingTokens(kUrgencies - 1)) + peer_tokens;
  if (choice.is_long)
    score += kPauseWeight * this->model.token_ms() * all_pending;
  score += this->SeparationCost(choice, reading_ms);
  choice.run_time = this->RunTime(choice, prompt);
  if (needs.preferred_version != 0 &&
      record.VersionOf(prompt.model) < needs.preferred_version)
    score += kOldVersionMs;
  const auto capacity = static_cast<double>(this->traits->kv_capacity_tokens);
  const double memory = static_cast<double>(
      record.memory_tokens() + record.PeerMemory(now) + prompt.MemoryTokens());
  const bool fits = capacity <= 0 || memory <= capacity;
  if (!fits)
    score += kMemoryOverflowMs * (memory / capacity);
  const double in_flight = static_cast<double>(record.own_in_flight()) +
                           std::max(record.OthersInFlight(now),
                                    static_cast<double>(record.PeerRuns(now)));
  const bool has_place =
      in_flight < static_cast<double>(record.endpoint().slots);
  if (!has_place)
    score += kMemoryOverflowMs;
  choice.idle = fits && has_place && ahead < 1;
  return score;
}

void ServicePool::TakeStored(Choice& choice, const SendNeeds& needs) const {
  if (!needs.stored)
    return;
  const catalog::Endpoint& endpoint = choice.endpoint->endpoint();
  const std::vector<StoredPart>& stored =
      needs.stored(choice.endpoint->VersionOf(needs.prompt->model));
  int64_t end = 0;
  for (size_t i = 0; i < stored.size(); ++i) {
    const int64_t tokens = needs.prompt->parts[i].tokens;
    end += tokens;
    if (end <= choice.cached_tokens)
      continue;
    if (!IsWorthFetching(stored[i], tokens, endpoint.zone, needs.fetch_limits))
      return;
    // Fetches take the time of a link, not the engine's.
    choice.uncached_tokens =
        std::max<int64_t>(0, choice.uncached_tokens - tokens);
    choice.fetch_ms = std::max(choice.fetch_ms, stored[i].wait_ms) +
                      TransferMs(stored[i], endpoint.zone);
  }
}

bool ServicePool::IsLong(const Prompt& prompt) const {
  return static_cast<double>(prompt.max_output_tokens) > this->mean_output;
}

common::Duration ServicePool::RunTime(const Choice& choice,
                                      const Prompt& prompt) const {
  const double token_ms =
      choice.is_long ? this->long_output_token_ms : this->short_output_token_ms;
  return choice.predicted +
         common::FromSeconds(token_ms / 1000 *
                             static_cast<double>(prompt.max_output_tokens));
}

bool ServicePool::IsForLongRuns(const std::string& id) const {
  // Another seed than that of the rendezvous weights.
  constexpr uint64_t kSeed = 0x6c6f6e67;
  const auto unit =
      static_cast<double>(common::Hash64(id, kSeed) >> 11) * 0x1.0p-53;
  return unit < this->long_run_share;
}

void ServicePool::SetLongRunShare(common::TimePoint now) {
  double places = 0;
  double engines = 0;
  for (const auto& [id, record] : this->endpoints) {
    if (record->health().StateAt(now) == EndpointHealth::State::kEjected)
      continue;
    places += static_cast<double>(record->endpoint().slots);
    engines += 1;
  }
  this->long_run_share = 0;
  if (places <= 0)
    return;
  const double by_places =
      this->long_run_time.At(now) / (places * kLongRunPlaces);
  const double reading =
      this->long_run_tokens.At(now) * this->model.token_ms() / 1000;
  const double by_reading = reading / (engines * kLongRunReading);
  const double share = std::max(by_places, by_reading);
  // Less than an engine separates nothing.
  if (share * engines >= 1)
    this->long_run_share = std::min(share, kMostLongRunShare);
}

double ServicePool::SeparationCost(const Choice& choice,
                                   double reading_ms) const {
  if (this->long_run_share <= 0)
    return 0;
  const bool for_long_runs =
      this->IsForLongRuns(choice.endpoint->endpoint().id);
  if (choice.is_long)
    return for_long_runs ? 0 : kMixedRunMs;
  return for_long_runs ? kMixedReadingMs + kMixedReadingWeight * reading_ms : 0;
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
  mean += kOutputWeight * (ms - mean);
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

double ServicePool::ScorePlain(Choice& choice, common::TimePoint now) {
  const EndpointRecord& record = *choice.endpoint;
  const double in_flight =
      static_cast<double>(record.own_in_flight()) + record.OthersInFlight(now);
  const auto slots =
      static_cast<double>(std::max<int64_t>(1, record.endpoint().slots));
  const double latency = record.mean_latency_ms() > 0 ? record.mean_latency_ms()
                                                      : kPlainPriorLatencyMs;
  // Endpoints slow down when they are nearly full.
  const double occupied = (in_flight + 1) / slots;
  const double expected = latency * (1 + occupied * occupied);
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
      kFailureWeight * ((good ? 0.0 : 1.0) - this->failure_share);
  return endpoint.health().OnOutcome(outcome, this->failure_share, now);
}

bool ServicePool::OnPeerLost(EndpointRecord& endpoint, common::TimePoint now) {
  const bool good =
      endpoint.health().StateAt(now) == EndpointHealth::State::kGood;
  if (!good || now - endpoint.last_heard() < kOwnEvidence)
    return false;
  endpoint.health().Eject(now);
  return true;
}

}  // namespace jujuberock::dispatch
