#include "core/forward/connection_watch.h"

#include <memory>
#include <string>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::forward {
namespace {

using boost::asio::ip::tcp;

// Records the calls as one letter each.
class Recorder final : public ConnectionObserver {
 public:
  void OnConnected() override { this->calls += 'o'; }
  void OnClosed() override { this->calls += 'c'; }
  void OnSilent() override { this->calls += 's'; }
  void OnConnectFailed() override { this->calls += 'f'; }
  void OnUnwatched() override { this->calls += 'u'; }

  std::string calls;
};

// Accepts connections, keeps the last one open and closes those before it.
class Peer {
 public:
  Peer() : acceptor(this->io, tcp::endpoint(tcp::v4(), 0)) {}

  std::string address() const {
    return "127.0.0.1:" +
           std::to_string(this->acceptor.local_endpoint().port());
  }
  void AcceptNext() {
    auto next = std::make_unique<tcp::socket>(this->io);
    this->acceptor.accept(*next);
    this->connection = std::move(next);
  }
  void ClosePort() { this->acceptor.close(); }
  void CloseConnection() { this->connection.reset(); }

 private:
  boost::asio::io_context io;
  tcp::acceptor acceptor;
  std::unique_ptr<tcp::socket> connection;
};

// Waits until `recorder` has as many calls as expected; fails after a limit.
void AwaitCalls(const Recorder& recorder, const std::string& expected) {
  for (int i = 0; i < 2000 && recorder.calls.size() < expected.size(); ++i)
    runtime::SleepFor(std::chrono::milliseconds(1));
  CHECK(recorder.calls.substr(0, expected.size()) == expected);
}

}  // namespace

// Guards against an endpoint that is replaced without being noticed, and
// against one that is taken for replaced because it closes idle connections.
TEST_CASE("a watched connection is replaced until nothing listens there") {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  Peer peer;
  Recorder recorder;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    auto watch =
        std::make_shared<ConnectionWatch>(pool, peer.address(), recorder);
    runtime::SpawnLocal([watch] { watch->Run(); });
    AwaitCalls(recorder, "o");
    peer.AcceptNext();
    peer.CloseConnection();
    AwaitCalls(recorder, "oco");
    peer.AcceptNext();
    peer.ClosePort();
    peer.CloseConnection();
    AwaitCalls(recorder, "ococf");
    watch->Stop();
    runtime::SleepFor(std::chrono::milliseconds(1));
  });
}

// Guards against a host that opens connections without a pause to an endpoint
// that has too many.
TEST_CASE("a peer that closes connections at once is left alone for a while") {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  Peer peer;
  Recorder recorder;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    auto watch =
        std::make_shared<ConnectionWatch>(pool, peer.address(), recorder);
    runtime::SpawnLocal([watch] { watch->Run(); });
    for (const char* calls : {"o", "oco", "ococo"}) {
      AwaitCalls(recorder, calls);
      peer.AcceptNext();
      peer.CloseConnection();
    }
    AwaitCalls(recorder, "ocococu");
    watch->Stop();
    runtime::SleepFor(std::chrono::milliseconds(50));
    CHECK(recorder.calls == "ocococu");
  });
}

}  // namespace jujuberock::forward
