#include "core/dispatch/engine_room.h"

#include <algorithm>
#include <numeric>

namespace jujuberock::dispatch {

namespace {

// Announcements of other hosts are not trusted without a limit.
constexpr size_t kMaxPeerRuns = 512;

size_t IndexOf(int urgency) {
  return static_cast<size_t>(std::clamp(urgency, 0, kUrgencyLevels - 1));
}

}  // namespace

int64_t EngineRoom::SumUpTo(const TokensByUrgency& tokens, int urgency) {
  const auto end =
      tokens.begin() + static_cast<ptrdiff_t>(IndexOf(urgency) + 1);
  return std::accumulate(tokens.begin(), end, int64_t{0});
}

void EngineRoom::AddOwn(int urgency,
                        int64_t uncached_tokens,
                        int64_t memory_tokens) {
  this->own_pending[IndexOf(urgency)] += uncached_tokens;
  this->own_memory[IndexOf(urgency)] += memory_tokens;
}

void EngineRoom::OnOwnStarted(int urgency, int64_t uncached_tokens) {
  this->own_pending[IndexOf(urgency)] -= uncached_tokens;
}

void EngineRoom::RemoveOwn(int urgency, int64_t memory_tokens) {
  this->own_memory[IndexOf(urgency)] -= memory_tokens;
}

void EngineRoom::AddPeer(const PeerPrompt& prompt, common::TimePoint now) {
  const size_t index = IndexOf(prompt.urgency);
  const bool was_idle =
      std::all_of(this->peer_pending.begin(), this->peer_pending.end(),
                  [](double tokens) { return tokens <= 0; });
  if (was_idle)
    this->drained_at = now;
  this->peer_pending[index] += static_cast<double>(prompt.uncached_tokens);
  if (this->peer_runs.size() >= kMaxPeerRuns)
    return;
  this->peer_runs.push_back({now + prompt.run_time, static_cast<int>(index),
                             prompt.memory_tokens, prompt.is_long});
  this->peer_memory[index] += prompt.memory_tokens;
  this->peer_long_runs += prompt.is_long ? 1 : 0;
}

void EngineRoom::ExpirePeerRuns(common::TimePoint now) const {
  std::erase_if(this->peer_runs, [&](const PeerRun& run) {
    if (now < run.until)
      return false;
    this->peer_memory[IndexOf(run.urgency)] -= run.memory_tokens;
    this->peer_long_runs -= run.is_long ? 1 : 0;
    return true;
  });
}

int64_t EngineRoom::PeerRuns(common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return static_cast<int64_t>(this->peer_runs.size());
}

int64_t EngineRoom::PeerLongRuns(common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return this->peer_long_runs;
}

int64_t EngineRoom::OwnMemory(int urgency) const {
  return SumUpTo(this->own_memory, urgency);
}

int64_t EngineRoom::PeerMemory(int urgency, common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return SumUpTo(this->peer_memory, urgency);
}

int64_t EngineRoom::OwnPending(int urgency) const {
  return SumUpTo(this->own_pending, urgency);
}

void EngineRoom::DrainPeerPending(double token_ms,
                                  common::TimePoint now) const {
  double prefilled = common::ToMilliseconds(now - this->drained_at) / token_ms;
  for (double& tokens : this->peer_pending) {
    const double done = std::min(tokens, prefilled);
    tokens -= done;
    prefilled -= done;
  }
  this->drained_at = now;
}

double EngineRoom::PeerPending(int urgency,
                               double token_ms,
                               common::TimePoint now) const {
  if (token_ms <= 0)
    return 0;
  this->DrainPeerPending(token_ms, now);
  const auto end =
      this->peer_pending.begin() + static_cast<ptrdiff_t>(IndexOf(urgency) + 1);
  return std::accumulate(this->peer_pending.begin(), end, 0.0);
}

}  // namespace jujuberock::dispatch
