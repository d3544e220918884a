#ifndef CORE_HOST_HTTP2_TRANSPORT_H_
#define CORE_HOST_HTTP2_TRANSPORT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::host {

struct Http2TransportOptions {
  // Name of this host's `host` object; 1 to 63 bytes.
  std::string name;
  // Listen address for other hosts; port 0 selects a free port.
  runtime::Address listen;
  // Pre-shared key of the deployment; must not be empty.
  std::string deployment_key;
  size_t max_message_bytes = 4 * 1024 * 1024;
  // Limit on buffered bytes of incomplete messages per connection.
  size_t max_buffered_bytes = 16 * 1024 * 1024;
  common::Duration connect_timeout = std::chrono::seconds(1);
  common::Duration handshake_timeout = std::chrono::seconds(1);
  common::Duration write_timeout = std::chrono::seconds(10);
  // A PING is sent on a connection with calls in flight that has received
  // nothing for this long.
  common::Duration ping_after = std::chrono::milliseconds(300);
  // When a PING is not acknowledged within this time, a new connection is
  // probed. The old one is closed once the new one has responded.
  common::Duration ping_timeout = std::chrono::milliseconds(500);
  // A PING is sent on a connection without calls that has received nothing for
  // this long.
  common::Duration idle_ping_after = std::chrono::seconds(20);
  // A connection that has received nothing for this long is closed.
  common::Duration idle_timeout = std::chrono::seconds(60);
};

// Returns the listen address of the named host, or nullopt when the host is
// unknown. Called from any worker.
using HostResolver =
    std::function<std::optional<runtime::Address>(const std::string& host)>;

// PeerTransport over HTTP/2 and TCP. A message is a request `POST
// /host/<message>`. A successful response has status 200 and the body; any
// other status carries the headers `result-code` (number) and `outcome`
// (not_run, unknown, done) and the error detail as the body.
//
// A host opens one connection to each peer for its own calls; calls in the
// other direction use the peer's connection. The connection is bound to a
// worker chosen by a hash of the peer's name, and calls from other workers are
// forwarded to that worker.
//
// Metrics: `host_messages_total` and `host_message_bytes_total` (bodies only)
// by direction and message, `host_wire_bytes_total` (all socket bytes) by
// direction, `host_connections_total` by event.
class Http2Transport : public PeerTransport {
 public:
  // Starts listening immediately. Throws common::Error kInvalidSettings when
  // the address cannot be bound, the key is empty, or the name is empty or too
  // long. A message without a handler fails with kProtocolError, so register
  // all handlers before calling Serve().
  Http2Transport(runtime::WorkerPool& pool,
                 common::TimerService& timers,
                 common::MetricRegistry& counters,
                 Http2TransportOptions options,
                 HostResolver resolve);
  // Closes all connections and waits for running handlers to return.
  ~Http2Transport() override;
  Http2Transport(const Http2Transport&) = delete;
  Http2Transport& operator=(const Http2Transport&) = delete;

  // Starts accepting connections and running periodic health checks.
  void Serve();

  runtime::Address address() const;

  std::string Call(const std::string& host,
                   std::string_view message,
                   std::string_view body,
                   common::TimePoint deadline) override;
  void RegisterHandler(std::string message, MessageHandler handler) override;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace jujuberock::host

#endif  // CORE_HOST_HTTP2_TRANSPORT_H_
