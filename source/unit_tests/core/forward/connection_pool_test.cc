#include "core/forward/connection_pool.h"

#include <sys/socket.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::forward {
namespace {

using boost::asio::ip::tcp;

// Listens on a port without accepting connections.
class Listener {
 public:
  explicit Listener(int backlog) : acceptor(this->io, tcp::v4()) {
    this->acceptor.bind({boost::asio::ip::address_v4::loopback(), 0});
    this->acceptor.listen(backlog);
  }

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  // Opens more connections than the kernel answers.
  void FillBacklog() {
    for (int i = 0; i < 8; ++i) {
      auto connection = std::make_unique<tcp::socket>(this->io, tcp::v4());
      connection->non_blocking(true);
      // The synchronous connect() of Asio waits even so.
      const tcp::endpoint peer = this->acceptor.local_endpoint();
      ::connect(connection->native_handle(), peer.data(),
                static_cast<socklen_t>(peer.size()));
      this->connections.push_back(std::move(connection));
    }
  }
  void Close() { this->acceptor.close(); }
  // Accepts a connection and keeps it open.
  void Accept() {
    this->connections.push_back(
        std::make_unique<tcp::socket>(this->acceptor.accept()));
  }

 private:
  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::vector<std::unique_ptr<tcp::socket>> connections;
};

Reachability Probe(const std::string& address) {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  Reachability found = Reachability::kReachable;
  workers.Run([&] {
    ConnectionPoolOptions options;
    options.connect_timeout = std::chrono::milliseconds(100);
    ConnectionPool pool(options, counters);
    found = pool.Probe(address);
  });
  return found;
}

// Guards against taking an endpoint behind a cut link for one that has ended,
// and its whole unframed response for one that has been broken off.
TEST_CASE("only a refused connection shows that an endpoint has ended") {
  Listener open(8);
  CHECK(Probe(open.address()) == Reachability::kReachable);
  Listener full(0);
  full.FillBacklog();
  CHECK(Probe(full.address()) == Reachability::kSilent);
  const std::string address = open.address();
  open.Close();
  CHECK(Probe(address) == Reachability::kRefused);
}

// Guards against taking an idle connection, which may have gone silent, for
// proof that the endpoint still runs.
TEST_CASE("an idle connection does not show that an endpoint runs") {
  Listener listener(8);
  const std::string address = listener.address();
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    pool.PutIdle(address, pool.Connect(address), runtime::BootNow());
    listener.Accept();
    listener.Close();
    CHECK(pool.Probe(address) == Reachability::kRefused);
    CHECK(pool.TakeIdle(address, "a", runtime::BootNow()));
  });
}

// Guards against taking a copy of the response to a request's former send for
// that to the present one.
TEST_CASE("a connection that has carried a request does not get it again") {
  Listener listener(8);
  const std::string address = listener.address();
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    const auto now = runtime::BootNow();
    const ConnectionPtr first = pool.Connect(address);
    first->carried.Add("a");
    pool.PutIdle(address, first, now);
    CHECK_FALSE(pool.TakeIdle(address, "a", now));
    const ConnectionPtr second = pool.Connect(address);
    pool.PutIdle(address, second, now);
    CHECK(pool.TakeIdle(address, "a", now) == second);
    // It stays in use for other requests.
    CHECK(pool.TakeIdle(address, "b", now) == first);
  });
}

// Guards against connections whose memory of requests grows without bound.
TEST_CASE("a connection is not kept after its last request") {
  Listener listener(8);
  const std::string address = listener.address();
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    const auto now = runtime::BootNow();
    const ConnectionPtr connection = pool.Connect(address);
    for (size_t i = 1; i < runtime::CarriedRequests::kMaxRequests; ++i)
      connection->carried.Add(std::to_string(i));
    pool.PutIdle(address, connection, now);
    REQUIRE(pool.TakeIdle(address, "last", now) == connection);
    connection->carried.Add("last");
    pool.PutIdle(address, connection, now);
    CHECK_FALSE(pool.TakeIdle(address, "next", now));
  });
}

}  // namespace
}  // namespace jujuberock::forward
