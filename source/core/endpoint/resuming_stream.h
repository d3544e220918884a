#ifndef CORE_ENDPOINT_RESUMING_STREAM_H_
#define CORE_ENDPOINT_RESUMING_STREAM_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"

namespace jujuberock::endpoint {

enum class LossKind {
  // The process ended: connections are refused or the request is unknown.
  kCrashed,
  // New connections get no answer either; it may be cut off or hanging.
  kSilent,
};

// An engine request that can not go on at its engine.
class StreamLost : public common::Error {
 public:
  StreamLost(LossKind kind, const std::string& detail)
      : common::Error(kind == LossKind::kCrashed
                          ? common::ResultCode::kEndpointFailed
                          : common::ResultCode::kEndpointSilent,
                      detail),
        loss_kind(kind) {}

  LossKind kind() const { return this->loss_kind; }

 private:
  LossKind loss_kind;
};

struct ResumeLimits {
  // Longest silence of a connection. After that the engine is asked on a new
  // connection, which is its probe as well.
  common::Duration idle = std::chrono::seconds(1);
  // Time for the engine to accept a new connection and answer on it.
  common::Duration probe = std::chrono::milliseconds(500);
};

// The events of one engine request in order, each exactly once, across
// connections that break or fall silent.
class ResumingStream {
 public:
  ResumingStream(EngineClient& engine,
                 const common::TimerService& timers,
                 runtime::Address address,
                 std::string request_id,
                 uint64_t next_offset,
                 ResumeLimits limits)
      : engine(engine),
        timers(timers),
        address(std::move(address)),
        request_id(std::move(request_id)),
        next_offset(next_offset),
        limits(limits) {}

  // Starts the request. Throws common::Error as EngineClient when the engine
  // refused it, HttpError when it could not be sent, StreamLost when the
  // engine died with it, kDeadlineExceeded at `until`.
  void Start(const GenerateRequest& request, common::TimePoint until);
  // Attaches to a request that runs already. Throws kStreamGone when the
  // engine does not know it, otherwise as Start().
  void Attach(common::TimePoint until);

  // The next event. Throws StreamLost, or kDeadlineExceeded at `until`.
  EngineEvent Next(common::TimePoint until);

  uint64_t offset() const { return this->next_offset; }
  uint64_t reconnects() const { return this->reconnect_count; }

 private:
  std::optional<EngineEvent> Receive(common::TimePoint until);
  bool Accept(const EngineEvent& event);
  void Reconnect(common::TimePoint until);
  common::Duration Left(common::TimePoint until) const;

  EngineClient& engine;
  const common::TimerService& timers;
  runtime::Address address;
  std::string request_id;
  uint64_t next_offset;
  ResumeLimits limits;
  std::optional<EngineStream> stream;
  // The engine has answered about this request before.
  bool known = false;
  uint64_t reconnect_count = 0;
  // New connections since the last event.
  int fruitless = 0;
};

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_RESUMING_STREAM_H_
