#ifndef CORE_DISPATCH_ENGINE_ROOM_H_
#define CORE_DISPATCH_ENGINE_ROOM_H_

#include <array>
#include <cstdint>
#include <deque>

#include "core/catalog/urgency_levels.h"
#include "core/common/time.h"
#include "core/dispatch/peer_prompt.h"

namespace jujuberock::dispatch {

using catalog::kUrgencyLevels;

// What an engine holds and still has to prefill for the sends of all hosts, by
// urgency: an engine admits the more urgent prompts first and, when its memory
// runs out, preempts the least urgent runs. So a request finds the room that
// the sends of its urgency and of more urgent ones leave. Not thread-safe.
class EngineRoom {
 public:
  // A send of this host: it waits for its prefill, then runs, then ends.
  void AddOwn(int urgency, int64_t uncached_tokens, int64_t memory_tokens);
  void OnOwnStarted(int urgency, int64_t uncached_tokens);
  void RemoveOwn(int urgency, int64_t memory_tokens);

  // A send that another host has announced. It ends after its expected run
  // time, as its end is not announced.
  void AddPeer(const PeerPrompt& prompt, common::TimePoint now);
  // Announced sends that should still be running, and those of them that stream
  // many events.
  int64_t PeerRuns(common::TimePoint now) const;
  int64_t PeerLongRuns(common::TimePoint now) const;

  // Peak KV cache use of the runs of this urgency or a higher one, in tokens.
  int64_t OwnMemory(int urgency) const;
  int64_t PeerMemory(int urgency, common::TimePoint now) const;
  // Tokens that the engine prefills before a new prompt of this urgency.
  // `token_ms` is its prefill time for one token.
  int64_t OwnPending(int urgency) const;
  double PeerPending(int urgency, double token_ms, common::TimePoint now) const;

 private:
  using TokensByUrgency = std::array<int64_t, kUrgencyLevels>;

  struct PeerRun {
    common::TimePoint until;
    int urgency = 0;
    int64_t memory_tokens = 0;
    bool is_long = false;
  };

  static int64_t SumUpTo(const TokensByUrgency& tokens, int urgency);
  void ExpirePeerRuns(common::TimePoint now) const;
  // Subtracts what the engine has prefilled since the last call, the most
  // urgent prompts first.
  void DrainPeerPending(double token_ms, common::TimePoint now) const;

  TokensByUrgency own_memory{};
  TokensByUrgency own_pending{};
  mutable std::deque<PeerRun> peer_runs;
  mutable TokensByUrgency peer_memory{};
  mutable int64_t peer_long_runs = 0;
  mutable std::array<double, kUrgencyLevels> peer_pending{};
  mutable common::TimePoint drained_at;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENGINE_ROOM_H_
