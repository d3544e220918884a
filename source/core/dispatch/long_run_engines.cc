#include "core/dispatch/long_run_engines.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::dispatch {

namespace {

// Target utilization of the slots and of the prefill time on engines for long
// runs. The rest is headroom for bursts.
constexpr double kSlotUtilization = 0.5;
constexpr double kPrefillUtilization = 0.35;
// The other prompts need the majority of the engines.
constexpr double kMaxShare = 0.4;
// Penalty for a long run on an engine that prefills long prompts: the pauses in
// its stream often make it late.
constexpr double kMisplacedRunMs = 150;
// Penalty for prefilling other prompts on an engine for long runs: the delay of
// these runs, per prefill time and as a constant.
constexpr double kMisplacedPrefillWeight = 1.5;
constexpr double kMisplacedPrefillMs = 30;

}  // namespace

void LongRunEngines::OnSent(const PeerPrompt& prompt, common::TimePoint now) {
  if (!prompt.is_long)
    return;
  this->run_time.Add(common::ToSeconds(prompt.run_time), now);
  this->tokens.Add(static_cast<double>(prompt.uncached_tokens), now);
}

void LongRunEngines::UpdateShare(
    const std::map<std::string, std::shared_ptr<EndpointRecord>>& endpoints,
    double token_ms,
    common::TimePoint now) {
  double total_slots = 0;
  double engine_count = 0;
  for (const auto& [id, record] : endpoints) {
    if (record->health().StateAt(now) == EndpointHealth::State::kEjected)
      continue;
    total_slots += static_cast<double>(record->endpoint().slots);
    engine_count += 1;
  }
  this->share = 0;
  if (total_slots <= 0)
    return;
  const double by_slots =
      this->run_time.At(now) / (total_slots * kSlotUtilization);
  const double prefill_load = this->tokens.At(now) * token_ms / 1000;
  const double by_prefill = prefill_load / (engine_count * kPrefillUtilization);
  const double needed = std::max(by_slots, by_prefill);
  // With less than one engine there is nothing to separate.
  if (needed * engine_count >= 1)
    this->share = std::min(needed, kMaxShare);
}

bool LongRunEngines::Contains(const std::string& id) const {
  // Differs from the seed of the rendezvous weights to keep the two selections
  // independent.
  constexpr uint64_t kSeed = 0x6c6f6e67;
  const auto unit =
      static_cast<double>(common::Hash64(id, kSeed) >> 11) * 0x1.0p-53;
  return unit < this->share;
}

double LongRunEngines::MisplacementCost(const std::string& id,
                                        bool is_long,
                                        double prefill_ms) const {
  if (!this->AreSeparated())
    return 0;
  const bool for_long_runs = this->Contains(id);
  if (is_long)
    return for_long_runs ? 0 : kMisplacedRunMs;
  return for_long_runs
             ? kMisplacedPrefillMs + kMisplacedPrefillWeight * prefill_ms
             : 0;
}

}  // namespace jujuberock::dispatch
