#ifndef CORE_SERVE_STREAM_RELAY_H_
#define CORE_SERVE_STREAM_RELAY_H_

#include <functional>
#include <memory>
#include <string>

#include "core/caller/handler.h"
#include "core/endpoint/resuming_stream.h"
#include "core/serve/dependencies.h"

namespace jujuberock::serve {

// Whether the caller of a request is still connected. Shared with the
// connection, which may notice the disconnect after the request has ended; both
// run on the same worker.
struct CallerState {
  bool gone = false;
  // Called when the caller disconnects while the engine is working.
  std::function<void()> on_gone;

  static std::shared_ptr<CallerState> Watch(caller::CompletionWriter& writer);
};

// Address of the engine that runs a request, and the position that goes into
// the event ids sent to the caller.
struct RelayTarget {
  runtime::Address address;
  caller::StreamPosition position;
};

struct RelayResult {
  std::string reason;
  uint64_t tokens = 0;
  uint64_t cached_tokens = 0;
};

// Forwards an engine's events to the caller. `on_first_token` gets the first
// event before the caller does and may throw to discard it. Throws kCanceled
// when the caller has disconnected; otherwise as ResumingStream::Next.
RelayResult RelayStream(
    Dependencies& deps,
    const RelayTarget& target,
    endpoint::ResumingStream& stream,
    caller::CompletionWriter& writer,
    const CallerState& caller,
    common::TimePoint first_token_deadline,
    const std::function<void(const endpoint::TokenEvent&)>& on_first_token);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_STREAM_RELAY_H_
