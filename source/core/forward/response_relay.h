#ifndef CORE_FORWARD_RESPONSE_RELAY_H_
#define CORE_FORWARD_RESPONSE_RELAY_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/time.h"
#include "core/forward/endpoint_send.h"
#include "core/forward/event_splitter.h"
#include "core/forward/types.h"
#include "core/runtime/http_server.h"

namespace jujuberock::forward {

// Passes the responses of one or more sends on to a caller as one answer. Holds
// a bounded number of bytes at any time, whatever the endpoint sends. Used on
// one fiber.
class ResponseRelay {
 public:
  // Largest body that is collected before the answer is started; a longer one
  // is streamed. As long as nothing was passed on, a broken response leaves the
  // request unanswered, so that another endpoint can answer it.
  static constexpr size_t kMaxCollectedBytes = 64 * 1024;
  // What is held without asking the writer.
  static constexpr size_t kUncountedBytes = 4 * 1024;
  // Largest event of a stream. Longer ones are taken for bytes that are no
  // events.
  static constexpr size_t kMaxEventBytes = 256 * 1024;

  struct Statistics {
    common::TimePoint last_event_at;
    common::Duration longest_pause{0};
    uint64_t events = 0;
  };

  explicit ResponseRelay(runtime::ResponseWriter& writer) : writer(writer) {}

  // Called when the response has made progress.
  using ProgressCallback = std::function<void()>;
  // Whether the endpoint still runs. Asked when a response has ended with its
  // connection, which may also be the end of the endpoint.
  using RunningCheck = std::function<bool()>;

  // Relays a response that is not a stream. Throws SendError.
  void RelayWhole(EndpointSend& send,
                  const ResponseHead& head,
                  const ProgressCallback& on_progress,
                  const RunningCheck& is_running);
  // Relays a stream, or the rest of one that another endpoint has begun. The
  // body is read as events whatever type the response declares, because the
  // route says that it is a stream. Throws SendError, also when no event
  // arrives for `stall_limit` or the stream ends in the middle of an event.
  void RelayStream(EndpointSend& send,
                   const ResponseHead& head,
                   common::Duration stall_limit,
                   const ProgressCallback& on_progress,
                   const RunningCheck& is_running);

  // Whether a part of the answer was passed on.
  bool started() const { return this->has_started; }
  // Id of the last event that was passed on and had one.
  const std::optional<std::string>& last_event_id() const {
    return this->splitter.last_id();
  }
  const Statistics& statistics() const { return this->stats; }
  // Whether the caller has not taken the last bytes yet. Nothing is read from
  // the endpoint until it has.
  bool waits_for_caller() const { return this->is_writing; }
  // When the caller had taken the last event.
  common::TimePoint last_event_taken_at() const { return this->event_taken_at; }
  // Whether the last bytes of the stream that arrived are a part of an event.
  bool is_inside_event() const { return this->splitter.IsInsideEvent(); }

 private:
  void Start(const ResponseHead& head);
  // Throws SendError if this response can't be the rest of the stream that was
  // started.
  void CheckContinues(const ResponseHead& head) const;
  // Whether `bytes` of a whole response may be held until it is complete.
  bool MayCollect(size_t bytes);
  void Write(std::string_view bytes);
  // Passes the rest of the body on as it arrives.
  void PassOn(EndpointSend& send, const RunningCheck& is_running);
  void RecordEvent();
  // Throws SendError if the end of the response was the end of the endpoint.
  static void CheckRunning(const EndpointSend& send,
                           const RunningCheck& is_running);
  // Throws SendError if the event stream has been broken off although the
  // response has ended.
  void CheckComplete(const EndpointSend& send,
                     const RunningCheck& is_running) const;
  // Passes on what follows the last event at the regular end of the stream.
  void FinishEvents(const ResponseHead& head);

  runtime::ResponseWriter& writer;
  EventSplitter splitter;
  Statistics stats;
  size_t granted_bytes = kUncountedBytes;
  bool has_started = false;
  bool is_writing = false;
  common::TimePoint event_taken_at;
  // Of the response that started the answer.
  std::string media_type;
};

}  // namespace jujuberock::forward

#endif  // CORE_FORWARD_RESPONSE_RELAY_H_
