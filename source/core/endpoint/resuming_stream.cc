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

// Without this limit, the stream would reconnect in a tight loop to an engine
// that accepts connections but breaks each one immediately, or sends no event
// that continues the stream.
constexpr int kMaxFailedConnections = 3;

}  // namespace

Duration ResumingStream::Remaining(TimePoint until) const {
  const Duration remaining = until - this->timers.Now();
  if (remaining <= Duration::zero())
    throw Error(ResultCode::kDeadlineExceeded, "the deadline passed");
  return remaining;
}

void ResumingStream::Start(const GenerateRequest& request, TimePoint until) {
  try {
    const Duration timeout =
        std::min(this->timeouts.idle, this->Remaining(until));
    this->stream = this->engine.Generate(this->address, request, timeout);
    this->accepted_by_engine = true;
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
    if (!event || !this->Accept(*event))
      continue;
    this->failed_connections = 0;
    return *event;
  }
}

std::optional<EngineEvent> ResumingStream::Receive(TimePoint until) {
  try {
    const Duration timeout =
        std::min(this->timeouts.idle, this->Remaining(until));
    std::optional<EngineEvent> event = this->stream->Next(timeout);
    if (event)
      return event;
  } catch (const HttpError& error) {
    // A silent connection alone does not show that the engine has failed.
    if (error.code() == ResultCode::kEndpointSilent)
      this->failed_connections = 0;
  }
  this->DropConnection();
  return std::nullopt;
}

void ResumingStream::DropConnection() {
  this->stream.reset();
  ++this->failed_connections;
  if (this->failed_connections > kMaxFailedConnections)
    throw StreamLostError(StreamLossReason::kSilent,
                          "connections to the engine keep breaking");
}

bool ResumingStream::Accept(const EngineEvent& event) {
  const uint64_t offset =
      std::holds_alternative<TokenEvent>(event)
          ? std::get<TokenEvent>(event).offset
          : static_cast<uint64_t>(std::get<StreamEnd>(event).tokens);
  if (offset > this->next_offset) {
    this->DropConnection();
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
  const Duration timeout =
      std::min(this->timeouts.probe, this->Remaining(until));
  const bool was_accepted = this->accepted_by_engine;
  try {
    ++this->reconnect_count;
    this->stream = this->engine.Resume(this->address, this->request_id,
                                       this->next_offset, timeout);
    this->accepted_by_engine = true;
  } catch (const HttpError& error) {
    const bool refused = error.code() != ResultCode::kEndpointSilent;
    throw StreamLostError(
        refused ? StreamLossReason::kCrashed : StreamLossReason::kSilent,
        std::string("the engine cannot be reached: ") + error.what());
  } catch (const Error& error) {
    if (error.code() != ResultCode::kStreamGone || !was_accepted)
      throw;
    throw StreamLostError(StreamLossReason::kCrashed,
                          "the engine no longer knows the request");
  }
}

}  // namespace jujuberock::endpoint
