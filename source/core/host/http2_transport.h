#ifndef CORE_HOST_HTTP2_TRANSPORT_H_
#define CORE_HOST_HTTP2_TRANSPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::host {

struct Http2TransportOptions {
  // Name of this host's `host` object, at most 63 bytes.
  std::string name;
  // Where other hosts connect to; port 0 lets the kernel choose.
  runtime::Address listen;
  // Secret shared by the hosts of a deployment; must not be empty.
  std::string deployment_key;
  size_t max_message_bytes = 4 * 1024 * 1024;
  // Bytes of incomplete messages held for one connection.
  size_t max_buffered_bytes = 16 * 1024 * 1024;
  common::Duration connect_timeout = std::chrono::seconds(1);
  common::Duration handshake_timeout = std::chrono::seconds(1);
  common::Duration write_timeout = std::chrono::seconds(10);
  // A connection with calls in flight that has received nothing for this long
  // gets a PING.
  common::Duration ping_after = std::chrono::milliseconds(300);
  // A PING without an answer for this long starts the probe of a new
  // connection. The old one is closed once the new one has answered.
  common::Duration ping_timeout = std::chrono::milliseconds(500);
  // A connection without calls gets a PING this often.
  common::Duration idle_ping_after = std::chrono::seconds(20);
  // A connection that received nothing for this long is closed.
  common::Duration idle_limit = std::chrono::seconds(60);
};

// Where the host of this name listens; nothing when it is unknown. Called from
// any worker.
using HostResolver =
    std::function<std::optional<runtime::Address>(const std::string& host)>;

// HTTP/2 over TCP. A message is a stream `POST /host/<message>`; the answer has
// status 200 and the body, or another status with the headers `result-code`
// (number) and `outcome` (not_run, unknown, done) and the detail as body.
// One connection per peer and direction, kept on one worker chosen by the
// peer's name; calls from other workers are passed to that worker.
// Metrics: `host_messages_total` and `host_message_bytes_total` by direction
// and message (bodies), `host_wire_bytes_total` by direction (all bytes on
// sockets), `host_connections_total` by event.
class Http2Transport : public PeerTransport {
 public:
  // Listens at once; throws common::Error kInvalidSettings when the address can
  // not be bound, the key is empty or the name too long. Peers that call before
  // their message has a handler get kProtocolError, so register handlers first
  // and call Serve() then.
  Http2Transport(runtime::WorkerPool& pool,
                 common::TimerService& timers,
                 common::CounterRegistry& counters,
                 Http2TransportOptions options,
                 HostResolver resolve);
  // Closes every connection and waits for handlers to return.
  ~Http2Transport() override;
  Http2Transport(const Http2Transport&) = delete;
  Http2Transport& operator=(const Http2Transport&) = delete;

  // Accepts connections from now on.
  void Serve();

  runtime::Address address() const;

  std::string Call(const std::string& host,
                   std::string_view message,
                   std::string_view body,
                   common::TimePoint deadline) override;
  void Handle(std::string message, MessageHandler handler) override;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace jujuberock::host

#endif  // CORE_HOST_HTTP2_TRANSPORT_H_
