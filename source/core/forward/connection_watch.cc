#include "core/forward/connection_watch.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include <boost/asio/ip/tcp.hpp>

#include "core/common/error.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::forward {

namespace {

using boost::system::error_code;
using common::Duration;

// A peer that can be reached again is noticed within this time of its return.
constexpr Duration kMinRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kMaxRetryDelay = std::chrono::milliseconds(1000);
// A peer that has too many connections closes a new one within this time.
constexpr Duration kShortLifetime = std::chrono::milliseconds(200);
constexpr int kMaxShortLived = 3;
constexpr Duration kUnwatchedDelay = std::chrono::seconds(2);
// Probes of the kernel on the idle connection, in seconds. They find out that a
// peer was replaced while no packet passed, and outlast cuts of the network
// that are shorter than the limit.
constexpr int kProbeSeconds = 1;
constexpr int kMaxLostProbes = 20;
constexpr unsigned int kSilenceLimitMs = 20'000;
// Without an answer for this long, at least one probe was lost.
constexpr unsigned int kSilentAfterMs = 2500;

template <typename Value>
void SetOption(int handle, int level, int name, Value value) {
  // Best effort: without it, a silent connection is not noticed.
  ::setsockopt(handle, level, name, &value, sizeof(value));
}

void EnableProbes(Connection& connection) {
  const int handle = connection.stream.socket().native_handle();
  SetOption(handle, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPIDLE, kProbeSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPINTVL, kProbeSeconds);
  SetOption(handle, IPPROTO_TCP, TCP_KEEPCNT, kMaxLostProbes);
  SetOption(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, kSilenceLimitMs);
}

// Whether a connection that was reset had got no sign of life for a while
// before. A peer that was replaced meanwhile resets it at the next probe.
bool WasSilent(Connection& connection) {
  tcp_info info{};
  socklen_t size = sizeof(info);
  const int handle = connection.stream.socket().native_handle();
  if (::getsockopt(handle, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
    return false;
  return info.tcpi_last_ack_recv > kSilentAfterMs;
}

}  // namespace

ConnectionWatch::ConnectionWatch(ConnectionPool& pool,
                                 std::string address,
                                 ConnectionObserver& observer)
    : pool(pool), address(std::move(address)), observer(observer) {}

void ConnectionWatch::Run() {
  while (!this->stopping) {
    try {
      this->connection = this->pool.Connect(this->address);
    } catch (const common::Error&) {
      if (this->stopping)
        return;
      this->observer.OnConnectFailed();
      const int doublings = std::min(this->failures++, 3);
      runtime::SleepFor(std::min<Duration>(kMinRetryDelay * (1 << doublings),
                                           kMaxRetryDelay));
      continue;
    }
    this->failures = 0;
    if (this->stopping)
      return;
    EnableProbes(*this->connection);
    this->connection->stream.expires_never();
    this->observer.OnConnected();
    const common::TimePoint opened_at = this->connection->opened_at;
    const bool is_closed = this->AwaitEnd();
    if (this->stopping)
      return;
    this->connection.reset();
    if (is_closed)
      this->OnEnded(opened_at);
    else
      this->observer.OnSilent();
  }
}

bool ConnectionWatch::AwaitEnd() {
  auto& socket = this->connection->stream.socket();
  while (true) {
    error_code error;
    socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                      runtime::Await(error));
    if (this->stopping)
      return true;
    char byte;
    const ssize_t bytes = ::recv(socket.native_handle(), &byte, sizeof(byte),
                                 MSG_PEEK | MSG_DONTWAIT);
    if (bytes >= 0)
      return true;
    if (errno == ECONNRESET)
      return !WasSilent(*this->connection);
    if (errno != EAGAIN && errno != EINTR)
      return false;
  }
}

void ConnectionWatch::OnEnded(common::TimePoint opened_at) {
  const Duration lifetime = runtime::BootNow() - opened_at;
  this->short_lived = lifetime < kShortLifetime ? this->short_lived + 1 : 0;
  this->observer.OnClosed();
  if (this->short_lived < kMaxShortLived)
    return;
  this->observer.OnUnwatched();
  runtime::SleepFor(kUnwatchedDelay);
}

void ConnectionWatch::Stop() {
  this->stopping = true;
  if (this->connection)
    this->connection->stream.close();
}

}  // namespace jujuberock::forward
