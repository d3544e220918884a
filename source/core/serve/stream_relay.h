#ifndef CORE_SERVE_STREAM_RELAY_H_
#define CORE_SERVE_STREAM_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "core/caller/handler.h"
#include "core/endpoint/resuming_stream.h"
#include "core/serve/parts.h"

namespace jujuberock::serve {

// Whether the caller of a request is still there. Shared with the connection,
// which may notice the end later than the request; both are on one worker.
struct CallerState {
  bool gone = false;
  // Runs when the caller goes away while the engine works.
  std::function<void()> on_gone;

  static std::shared_ptr<CallerState> Watch(caller::CompletionWriter& writer);
};

// Where one engine request runs and how its events are named to the caller.
struct RelayTarget {
  runtime::Address address;
  caller::StreamPosition position;
};

struct RelayResult {
  std::string reason;
  uint64_t tokens = 0;
  uint64_t cached_tokens = 0;
};

// Brings an engine's events to the caller. `on_first` sees the first event
// before the caller does and may throw to discard it. Throws kCanceled when
// the caller is gone;
// otherwise as ResumingStream::Next.
RelayResult RelayStream(
    Parts& parts,
    const RelayTarget& target,
    endpoint::ResumingStream& stream,
    caller::CompletionWriter& writer,
    const CallerState& caller,
    common::TimePoint first_until,
    const std::function<void(const endpoint::TokenEvent&)>& on_first);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_STREAM_RELAY_H_
