#ifndef CORE_DISPATCH_PEER_PROMPT_H_
#define CORE_DISPATCH_PEER_PROMPT_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// A prompt that another host has sent to an engine.
struct PeerPrompt {
  // Tokens that the engine must read.
  int64_t uncached_tokens = 0;
  // Tokens of engine memory that the run needs at its end.
  int64_t memory_tokens = 0;
  // Expected time until the run has ended.
  common::Duration run_time{0};
  // The run sends many events.
  bool is_long = false;

  friend bool operator==(const PeerPrompt&, const PeerPrompt&) = default;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PEER_PROMPT_H_
