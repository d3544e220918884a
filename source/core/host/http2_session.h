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

#include "core/common/error.h"
#include "core/common/metrics.h"
#include "core/common/time.h"

namespace jujuberock::host {

struct SessionLimits {
  size_t max_message_bytes;
  size_t max_buffered_bytes;
  common::Duration write_timeout;
  common::Duration idle_timeout;
};

struct WireCounters {
  common::Counter& sent;
  common::Counter& received;
};

// The response to one message.
struct Response {
  common::ResultCode code = common::ResultCode::kOk;
  common::Outcome outcome = common::Outcome::kDone;
  // The response body, or the error detail on failure.
  std::string body;
};

// A request in flight, waiting for its response.
struct PendingCall {
  int32_t stream = -1;
  // Set once the request headers have been handed to the
  // connection for sending.
  bool sent = false;
  bool done = false;
  Response response;
  boost::fibers::condition_variable changed;
};

// One HTTP/2 connection between two hosts, after the handshake. Bound to one
// worker; all methods must be called there.
class Http2Session : public std::enable_shared_from_this<Http2Session> {
 public:
  enum class Side { kClient, kServer };
  // Handles an incoming message. Each call runs on its own fiber.
  using RequestHandler =
      std::function<Response(const std::string& message, std::string body)>;
  using Clock = std::chrono::steady_clock;

  Http2Session(Side side,
               boost::beast::tcp_stream stream,
               SessionLimits limits,
               WireCounters counters,
               RequestHandler handle_request);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  // Runs the read loop until the connection closes. Needs its own fiber.
  void Run();

  // Closes the socket and fails all pending calls.
  void Close(const std::string& reason);
  bool closed() const { return this->is_closed; }

  // Sends a message and waits for its response until `deadline`. A connection
  // failure is reported as a response with kPeerUnavailable.
  Response Exchange(std::string_view message,
                    std::string_view body,
                    Clock::time_point deadline);

  // Sends a PING unless one is outstanding.
  void Ping();
  // Sends a PING unless one is outstanding and waits for the acknowledgement.
  // Returns false on timeout or when the connection closes.
  bool PingAndWait(Clock::time_point deadline);
  bool ping_pending() const { return this->pings_sent > this->pings_acked; }
  Clock::time_point ping_sent_at() const { return this->last_ping_sent_at; }
  Clock::time_point last_received() const { return this->last_received_at; }
  bool has_calls() const { return !this->calls.empty(); }
  // Set while a replacement connection is being probed because the peer did
  // not acknowledge a PING in time.
  bool suspect = false;

 private:
  struct Stream;
  struct Callbacks;

  void SubmitRequest(const std::shared_ptr<PendingCall>& call,
                     std::string_view message,
                     std::string_view body);
  void Respond(int32_t stream_id, const Response& response);
  void Dispatch(int32_t stream_id);
  void CompleteCall(Stream* stream, uint32_t error_code);
  void StartWriting();
  void WriteLoop();
  Stream* FindStream(int32_t id);

  Side side;
  boost::beast::tcp_stream stream;
  SessionLimits limits;
  WireCounters counters;
  RequestHandler handle_request;
  nghttp2_session* session = nullptr;
  std::map<int32_t, std::unique_ptr<Stream>> streams;
  std::map<int32_t, std::shared_ptr<PendingCall>> calls;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable pong;
  uint64_t pings_sent = 0;
  uint64_t pings_acked = 0;
  Clock::time_point last_ping_sent_at{};
  Clock::time_point last_received_at = Clock::now();
  size_t buffered_bytes = 0;
  bool writing = false;
  bool is_closed = false;
  std::string close_reason;
};

}  // namespace jujuberock::host

#endif  // CORE_HOST_HTTP2_SESSION_H_
