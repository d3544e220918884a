#ifndef CORE_ENDPOINT_RESUMING_STREAM_H_
#define CORE_ENDPOINT_RESUMING_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"

namespace jujuberock::endpoint {

enum class StreamLossReason {
  // The engine's process ended: it refuses connections or no longer knows the
  // request.
  kCrashed,
  // The engine does not respond on new connections either; it may be
  // partitioned or hung.
  kSilent,
};

// Thrown when a request cannot continue at its engine.
class StreamLostError : public common::Error {
 public:
  StreamLostError(StreamLossReason kind, const std::string& detail)
      : common::Error(kind == StreamLossReason::kCrashed
                          ? common::ResultCode::kEndpointFailed
                          : common::ResultCode::kEndpointSilent,
                      detail),
        loss(kind) {}

  StreamLossReason kind() const { return this->loss; }

 private:
  StreamLossReason loss;
};

struct ResumeTimeouts {
  // Maximum time without data on a connection. The stream then reconnects,
  // which also probes whether the engine is alive.
  common::Duration idle = std::chrono::seconds(1);
  // Timeout for the engine to accept a new connection and respond on it.
  common::Duration probe = std::chrono::milliseconds(500);
};

// Delivers the events of one engine request in order and exactly once.
// Reconnects when a connection breaks or falls silent.
class ResumingStream {
 public:
  ResumingStream(EngineClient& engine,
                 const common::TimerService& timers,
                 runtime::Address address,
                 std::string request_id,
                 uint64_t next_offset,
                 ResumeTimeouts timeouts)
      : engine(engine),
        timers(timers),
        address(std::move(address)),
        request_id(std::move(request_id)),
        next_offset(next_offset),
        timeouts(timeouts) {}

  // Starts the request. Throws common::Error like EngineClient if the engine
  // refuses it, HttpError if it could not be sent, StreamLostError if the
  // engine failed after it was sent, and kDeadlineExceeded at `until`.
  void Start(const GenerateRequest& request, common::TimePoint until);
  // Attaches to a request that is already running. Throws kStreamGone if the
  // engine does not know it, otherwise the same errors as Start().
  void Attach(common::TimePoint until);

  // Returns the next event. Throws StreamLostError, or kDeadlineExceeded at
  // `until`.
  EngineEvent Next(common::TimePoint until);

  // Offset of the next token.
  uint64_t offset() const { return this->next_offset; }
  uint64_t reconnects() const { return this->reconnect_count; }

 private:
  // Returns the next event of the current connection, or std::nullopt if the
  // connection can no longer be used.
  std::optional<EngineEvent> Receive(common::TimePoint until);
  // Checks the event's offset. Returns false for a duplicate, and for a gap,
  // which also drops the connection so that the stream resumes at the missing
  // token.
  bool Accept(const EngineEvent& event);
  // Drops the connection, which brought no next event. Throws StreamLostError
  // if too many did.
  void DropConnection();
  void Reconnect(common::TimePoint until);
  // Time remaining until `until`. Throws kDeadlineExceeded if none is left.
  common::Duration Remaining(common::TimePoint until) const;

  EngineClient& engine;
  const common::TimerService& timers;
  runtime::Address address;
  std::string request_id;
  uint64_t next_offset;
  ResumeTimeouts timeouts;
  std::optional<EngineStream> stream;
  // Whether the engine has responded to this request before.
  bool accepted_by_engine = false;
  uint64_t reconnect_count = 0;
  // Connections since the last event that was accepted that broke, ended early
  // or skipped tokens.
  // A connection that was only silent restarts the count at one.
  int failed_connections = 0;
};

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_RESUMING_STREAM_H_
