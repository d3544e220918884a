#include "core/serve/stream_relay.h"

#include <utility>
#include <variant>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using common::TimePoint;
using endpoint::EngineEvent;
using endpoint::StreamEnd;
using endpoint::TokenEvent;

namespace {

// An engine that answers on new connections but produces no tokens for this
// long is considered hung.
constexpr common::Duration kStallTimeout = std::chrono::seconds(30);

EngineEvent NextAfterFirst(Dependencies& deps,
                           endpoint::ResumingStream& stream) {
  try {
    return stream.Next(deps.timers.Now() + kStallTimeout);
  } catch (const Error& error) {
    if (error.code() != ResultCode::kDeadlineExceeded)
      throw;
    throw endpoint::StreamLostError(endpoint::StreamLossReason::kSilent,
                                    "the engine has stopped producing tokens");
  }
}

[[noreturn]] void ThrowCanceled() {
  throw Error(ResultCode::kCanceled, "the caller disconnected");
}

}  // namespace

std::shared_ptr<CallerState> CallerState::Watch(
    caller::CompletionWriter& writer) {
  auto state = std::make_shared<CallerState>();
  writer.OnCallerDisconnect([state] {
    state->gone = true;
    if (state->on_gone)
      state->on_gone();
  });
  return state;
}

RelayResult RelayStream(
    Dependencies& deps,
    const RelayTarget& target,
    endpoint::ResumingStream& stream,
    caller::CompletionWriter& writer,
    const CallerState& caller,
    TimePoint first_token_deadline,
    const std::function<void(const TokenEvent&)>& on_first_token) {
  RelayResult result;
  caller::StreamPosition position = target.position;
  EngineEvent event = stream.Next(first_token_deadline);
  bool is_first = true;
  while (auto* token = std::get_if<TokenEvent>(&event)) {
    if (caller.gone)
      ThrowCanceled();
    if (std::exchange(is_first, false)) {
      result.cached_tokens = static_cast<uint64_t>(token->cached_tokens);
      on_first_token(*token);
    }
    position.offset = token->offset + 1;
    writer.WriteToken(position, token->text);
    event = NextAfterFirst(deps, stream);
  }
  if (caller.gone)
    ThrowCanceled();
  const auto& end = std::get<StreamEnd>(event);
  result.reason = end.reason;
  result.tokens = static_cast<uint64_t>(end.tokens);
  return result;
}

}  // namespace jujuberock::serve
