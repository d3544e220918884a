#ifndef CORE_HOST_HTTP2_SESSION_H_
#define CORE_HOST_HTTP2_SESSION_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <nghttp2/nghttp2.h>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "core/common/counters.h"
#include "core/common/error.h"
#include "core/common/time.h"

namespace jujuberock::host {

struct SessionLimits {
  size_t max_message_bytes;
  size_t max_buffered_bytes;
  common::Duration write_timeout;
  common::Duration idle_limit;
};

struct WireCounters {
  common::Counter& sent;
  common::Counter& received;
};

// The answer to one message.
struct Answer {
  common::ResultCode code = common::ResultCode::kOk;
  common::Outcome outcome = common::Outcome::kDone;
  // The body, or the detail of a failure.
  std::string body;
};

// A message that waits for its answer.
struct PendingCall {
  int32_t stream = -1;
  // Whether the request was handed to the connection.
  bool sent = false;
  bool done = false;
  Answer answer;
  boost::fibers::condition_variable changed;
};

// One HTTP/2 connection between two hosts, after the handshake. Lives on one
// worker; every method runs there.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  enum class Side { kClient, kServer };
  // Answers a message; called on a fiber of its own.
  using Responder =
      std::function<Answer(const std::string& message, std::string body)>;
  using Clock = std::chrono::steady_clock;

  Http2Session(Side side,
               boost::beast::tcp_stream stream,
               SessionLimits limits,
               WireCounters counters,
               Responder responder);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Reads until the connection ends; run it on a fiber of its own.
  void Run();

  // Closes the socket and fails every pending call.
  void Close(const std::string& reason);
  bool closed() const { return this->is_closed; }

  // Sends a message and waits for the answer until `deadline`. A failure of the
  // connection is an answer with kPeerUnavailable.
  Answer Exchange(std::string_view message,
                  std::string_view body,
                  Clock::time_point deadline);

  // Sends a PING unless one is under way.
  void Ping();
  // Waits until a PING sent now is answered; false at the deadline.
  bool PingAndWait(Clock::time_point deadline);
  bool ping_pending() const { return this->pings_sent > this->pings_answered; }
  Clock::time_point ping_sent_at() const { return this->last_ping; }
  Clock::time_point last_received() const { return this->received_at; }
  bool has_calls() const { return !this->calls.empty(); }
  // Set while a new connection is being probed in place of this one.
  bool suspect = false;

 private:
  struct Stream;
  struct Callbacks;

  void Submit(const std::shared_ptr<PendingCall>& call,
              std::string_view message,
              std::string_view body);
  void Respond(int32_t stream_id, const Answer& answer);
  void Dispatch(int32_t stream_id);
  void FinishCall(Stream* stream, uint32_t error_code);
  void StartWriting();
  void WriteLoop();
  Stream* FindStream(int32_t id);

  Side side;
  boost::beast::tcp_stream stream;
  SessionLimits limits;
  WireCounters counters;
  Responder responder;
  nghttp2_session* session = nullptr;
  std::map<int32_t, std::unique_ptr<Stream>> streams;
  std::map<int32_t, std::shared_ptr<PendingCall>> calls;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable pong;
  uint64_t pings_sent = 0;
  uint64_t pings_answered = 0;
  Clock::time_point last_ping{};
  Clock::time_point received_at = Clock::now();
  size_t buffered_bytes = 0;
  bool writing = false;
  bool is_closed = false;
  std::string close_reason;
};

}  // namespace jujuberock::host

#endif  // CORE_HOST_HTTP2_SESSION_H_
