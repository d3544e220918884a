#ifndef CORE_DISPATCH_PEER_PROMPT_H_
#define CORE_DISPATCH_PEER_PROMPT_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// A prompt that another host has sent to an engine.
struct PeerPrompt {
  // Tokens that the engine must prefill.
  int64_t uncached_tokens = 0;
  // Peak KV cache use of the run, in tokens.
  int64_t memory_tokens = 0;
  // Expected time until the run ends.
  common::Duration run_time{0};
  // Whether the run is expected to stream many events.
  bool is_long = false;
  // 0 is the most urgent, which is also assumed of a host that does not tell.
  int urgency = 0;

  friend bool operator==(const PeerPrompt&, const PeerPrompt&) = default;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PEER_PROMPT_H_
