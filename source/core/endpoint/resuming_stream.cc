#include "core/endpoint/resuming_stream.h"

#include <algorithm>
#include <utility>

namespace jujuberock::endpoint {

using common::Duration;
using common::Error;
using common::ResultCode;
using common::TimePoint;
using runtime::HttpError;

namespace {

// An engine that accepts connections but breaks each one at once would
// otherwise be asked in a tight loop.
constexpr int kMaxBrokenConnections = 3;

}  // namespace

Duration ResumingStream::Left(TimePoint until) const {
  const Duration left = until - this->timers.Now();
  if (left <= Duration::zero())
    throw Error(ResultCode::kDeadlineExceeded, "the deadline passed");
  return left;
}

void ResumingStream::Start(const GenerateRequest& request, TimePoint until) {
  try {
    const Duration limit = std::min(this->limits.idle, this->Left(until));
    this->stream = this->engine.Generate(this->address, request, limit);
    this->known = true;
  } catch (const HttpError& error) {
    if (!error.sent())
      throw;
    this->Reconnect(until);
  }
}

void ResumingStream::Attach(TimePoint until) {
  this->Reconnect(until);
}

EngineEvent ResumingStream::Next(TimePoint until) {
  while (true) {
    if (!this->stream)
      this->Reconnect(until);
    const std::optional<EngineEvent> event = this->Receive(until);
    if (!event)
      continue;
    this->fruitless = 0;
    if (this->Accept(*event))
      return *event;
  }
}

// Nothing when the connection is of no use any more.
std::optional<EngineEvent> ResumingStream::Receive(TimePoint until) {
  try {
    const Duration limit = std::min(this->limits.idle, this->Left(until));
    std::optional<EngineEvent> event = this->stream->Next(limit);
    if (event)
      return event;
  } catch (const HttpError& error) {
    // A connection that only was silent says nothing about the engine.
    if (error.code() == ResultCode::kEndpointSilent)
      this->fruitless = 0;
  }
  this->stream.reset();
  ++this->fruitless;
  if (this->fruitless > kMaxBrokenConnections)
    throw StreamLost(LossKind::kSilent, "connections to the engine break");
  return std::nullopt;
}

// False for an event that was received before; a gap needs a new connection.
bool ResumingStream::Accept(const EngineEvent& event) {
  const uint64_t offset =
      std::holds_alternative<TokenEvent>(event)
          ? std::get<TokenEvent>(event).offset
          : static_cast<uint64_t>(std::get<StreamEnd>(event).tokens);
  if (offset > this->next_offset) {
    this->stream.reset();
    ++this->fruitless;
    return false;
  }
  if (std::holds_alternative<StreamEnd>(event))
    return true;
  if (offset < this->next_offset)
    return false;
  ++this->next_offset;
  return true;
}

void ResumingStream::Reconnect(TimePoint until) {
  const Duration limit = std::min(this->limits.probe, this->Left(until));
  const bool was_known = this->known;
  try {
    ++this->reconnect_count;
    this->stream = this->engine.Resume(this->address, this->request_id,
                                       this->next_offset, limit);
    this->known = true;
  } catch (const HttpError& error) {
    const bool refused = error.code() != ResultCode::kEndpointSilent;
    throw StreamLost(
        refused ? LossKind::kCrashed : LossKind::kSilent,
        std::string("the engine can not be reached: ") + error.what());
  } catch (const Error& error) {
    if (error.code() != ResultCode::kStreamGone || !was_known)
      throw;
    throw StreamLost(LossKind::kCrashed, "the engine forgot the request");
  }
}

}  // namespace jujuberock::endpoint
