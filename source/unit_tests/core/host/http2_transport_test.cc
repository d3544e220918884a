#include "core/host/http2_transport.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "core/host/handshake.h"
#include "core/runtime/await.h"
#include "core/runtime/sleep.h"
#include "core/runtime/wall_timer_service.h"

namespace jujuberock::host {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;
using common::Outcome;
using common::ResultCode;
using runtime::Await;
using std::chrono::milliseconds;

constexpr size_t kWorkers = 2;

// TCP proxy. Blackhole() drops all further bytes of the connections that are
// open at that time, without closing them; later connections work.
class TcpProxy {
 public:
  TcpProxy(runtime::WorkerPool& pool, runtime::Address target)
      : target(target),
        acceptor(pool.IoContextOf(0), tcp::endpoint(tcp::v4(), 0)) {
    pool.Spawn(0, [this] { this->Accept(); });
  }

  runtime::Address address() const {
    return {"127.0.0.1", this->acceptor.local_endpoint().port()};
  }
  void Blackhole() { this->blackholed = this->accepted.load(); }
  void Stop() { this->acceptor.close(); }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  void Accept() {
    for (;;) {
      error_code error;
      auto client_socket = std::make_shared<tcp::socket>(
          this->acceptor.async_accept(Await(error)));
      if (error)
        return;
      auto server_socket =
          std::make_shared<tcp::socket>(runtime::CurrentIoContext());
      server_socket->async_connect(
          tcp::endpoint(boost::asio::ip::make_address(this->target.ip),
                        this->target.port),
          Await(error));
      const int number = ++this->accepted;
      runtime::SpawnLocal(
          [=, this] { this->Forward(client_socket, server_socket, number); });
      runtime::SpawnLocal(
          [=, this] { this->Forward(server_socket, client_socket, number); });
    }
  }

  void Forward(const Socket& from, const Socket& to, int number) {
    std::array<char, 4096> buffer;
    for (;;) {
      error_code error;
      const size_t bytes =
          from->async_read_some(boost::asio::buffer(buffer), Await(error));
      if (error)
        break;
      if (number <= this->blackholed)
        continue;
      boost::asio::async_write(*to, boost::asio::buffer(buffer, bytes),
                               Await(error));
    }
    error_code ignored;
    to->close(ignored);
  }

  runtime::Address target;
  tcp::acceptor acceptor;
  std::atomic<int> accepted{0};
  std::atomic<int> blackholed{0};
};

struct HostPair {
  Http2TransportOptions MakeOptions(const std::string& name,
                                    const std::string& key) {
    Http2TransportOptions options;
    options.name = name;
    options.listen = {"127.0.0.1", 0};
    options.deployment_key = key;
    options.max_message_bytes = 100'000;
    return options;
  }

  explicit HostPair(const std::string& client_key = "secret") {
    this->server.RegisterHandler(
        "echo", [](const std::string& from, std::string_view body) {
          return from + ":" + std::string(body);
        });
    this->server.RegisterHandler(
        "refuse", [](const std::string&, std::string_view) -> std::string {
          throw common::Error(ResultCode::kStaleFence, "old", Outcome::kNotRun);
        });
    this->server.RegisterHandler("slow",
                                 [](const std::string&, std::string_view) {
                                   runtime::SleepFor(milliseconds(1200));
                                   return std::string("late");
                                 });
    this->server.Serve();
    this->client = std::make_unique<Http2Transport>(
        this->pool, this->timers, this->counters,
        MakeOptions("host-a", client_key),
        [this](const std::string& host) { return this->Resolve(host); });
    this->client->Serve();
  }

  std::optional<runtime::Address> Resolve(const std::string& host) {
    if (host == "host-b" || host == "host-x")
      return this->route.value_or(this->server.address());
    return std::nullopt;
  }

  std::string Call(const std::string& host,
                   const std::string& message,
                   const std::string& body,
                   common::Duration timeout = std::chrono::seconds(5)) {
    std::string response;
    this->pool.Run([&] {
      response =
          this->client->Call(host, message, body, this->timers.Now() + timeout);
    });
    return response;
  }

  // Returns the error that the call throws, or kOk if it does not throw.
  common::Error CallAndCatch(
      const std::string& host,
      const std::string& message,
      const std::string& body,
      common::Duration timeout = std::chrono::seconds(5)) {
    try {
      this->Call(host, message, body, timeout);
    } catch (const common::Error& error) {
      return error;
    }
    return {ResultCode::kOk, "the call succeeded"};
  }

  runtime::WorkerPool pool{kWorkers};
  runtime::WallTimerService timers{pool, 0};
  common::MetricRegistry counters;
  std::optional<runtime::Address> route;
  Http2Transport server{pool, timers, counters, MakeOptions("host-b", "secret"),
                        [](const std::string&) { return std::nullopt; }};
  std::unique_ptr<Http2Transport> client;
};

// Guards against delivering a response to the wrong call.
TEST_CASE("concurrent calls on one connection each get their own response") {
  HostPair hosts;
  std::atomic<int> correct{0};
  hosts.pool.Run([&] {
    std::atomic<int> done{0};
    for (int i = 0; i < 400; ++i) {
      hosts.pool.Spawn([&, i] {
        const std::string body(static_cast<size_t>(i) * 10, 'x');
        const auto response =
            hosts.client->Call("host-b", "echo", body + std::to_string(i),
                               hosts.timers.Now() + std::chrono::seconds(20));
        correct += response == "host-a:" + body + std::to_string(i);
        ++done;
      });
    }
    while (done < 400)
      runtime::SleepFor(milliseconds(1));
  });
  CHECK(correct == 400);
  CHECK(
      hosts.counters.GetCounter("host_connections_total", {{"event", "opened"}})
          .value() == 1);
}

TEST_CASE("each kind of call failure has its own code and outcome") {
  HostPair hosts;
  const auto refused = hosts.CallAndCatch("host-b", "refuse", "");
  CHECK(refused.code() == ResultCode::kStaleFence);
  CHECK(refused.outcome() == Outcome::kNotRun);
  CHECK(hosts.CallAndCatch("host-b", "nonsense", "").code() ==
        ResultCode::kProtocolError);
  CHECK(hosts.CallAndCatch("host-z", "echo", "").code() ==
        ResultCode::kPeerUnavailable);
  // host-x resolves to the address of host-b: the message must not run there.
  CHECK(hosts.CallAndCatch("host-x", "echo", "").outcome() == Outcome::kNotRun);
  const auto late = hosts.CallAndCatch("host-b", "slow", "", milliseconds(50));
  CHECK(late.code() == ResultCode::kDeadlineExceeded);
  CHECK(late.outcome() == Outcome::kUnknown);
  const auto large =
      hosts.CallAndCatch("host-b", "echo", std::string(100'001, 'x'));
  CHECK(large.code() == ResultCode::kValueTooLarge);
  // The response is longer than the message by the prefix "host-a:", which
  // takes it over the limit.
  CHECK(hosts.CallAndCatch("host-b", "echo", std::string(99'999, 'x')).code() ==
        ResultCode::kValueTooLarge);
  CHECK(hosts.Call("host-b", "echo", "still up") == "host-a:still up");
}

TEST_CASE("a client without the deployment key cannot reach a handler") {
  HostPair hosts("another secret");
  const auto error = hosts.CallAndCatch("host-b", "echo", "x");
  CHECK(error.code() == ResultCode::kPeerUnavailable);
  CHECK(error.outcome() == Outcome::kNotRun);
  CHECK(hosts.counters
            .GetCounter("host_messages_total",
                        {{"direction", "received"}, {"message", "echo"}})
            .value() == 0);
}

// Connects, authenticates with `key` unless it is empty, sends `bytes` and
// waits until the server closes the connection. Returns the number of bytes
// received after the challenge.
size_t SendRaw(HostPair& hosts,
               const std::string& bytes,
               const std::string& key) {
  size_t received = 0;
  hosts.pool.Run([&] {
    tcp::socket socket(runtime::CurrentIoContext());
    error_code error;
    const auto address = hosts.server.address();
    socket.async_connect(
        tcp::endpoint(boost::asio::ip::make_address(address.ip), address.port),
        Await(error));
    REQUIRE_FALSE(error);
    std::array<char, kHandshakeMagic.size() + kNonceBytes> challenge;
    boost::asio::async_read(socket, boost::asio::buffer(challenge),
                            Await(error));
    std::string sent = bytes;
    if (!key.empty()) {
      HandshakeTranscript transcript;
      std::copy_n(challenge.begin() + kHandshakeMagic.size(), kNonceBytes,
                  transcript.server_nonce.begin());
      transcript.client_name = "host-a";
      const Proof proof = ComputeProof(key, Role::kClient, transcript);
      sent = std::string(kNonceBytes, '\0') + '\x06' + "host-a" +
             std::string(proof.begin(), proof.end()) + bytes;
    }
    boost::asio::async_write(socket, boost::asio::buffer(sent), Await(error));
    std::array<char, 512> buffer;
    while (!error)
      received +=
          socket.async_read_some(boost::asio::buffer(buffer), Await(error));
  });
  return received;
}

// The server must authenticate the client by itself: a client that skips its
// own check of the server's proof must still be rejected.
TEST_CASE("a client with the wrong key receives nothing after the challenge") {
  HostPair hosts;
  CHECK(SendRaw(hosts, "", "another secret") == 0);
  CHECK(SendRaw(hosts, std::string(200, 'x'), "") == 0);
}

// Malformed input must close only its own connection and not crash the process.
TEST_CASE("malformed input closes only its own connection") {
  HostPair hosts;
  const std::string preface = "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
  const std::string settings("\0\0\0\x04\0\0\0\0\0", 9);
  const std::string huge_frame("\xff\xff\xff\x01\x04\0\0\0\x01", 9);
  const std::string bad_headers("\0\0\x02\x01\x05\0\0\0\x01\xff\xff", 11);
  const std::string data_on_idle("\0\0\x01\0\0\0\0\0\x07z", 10);
  for (const std::string& bytes :
       {std::string("GET / HTTP/1.1\r\n\r\n"), std::string(300, '\xff'),
        preface + std::string(64, 'x'), preface + settings + huge_frame,
        preface + settings + bad_headers, preface + settings + data_on_idle}) {
    SendRaw(hosts, bytes, "");
    SendRaw(hosts, bytes, "secret");
  }
  CHECK(hosts.Call("host-b", "echo", "x") == "host-a:x");
}

// A connection whose packets are dropped stays open. Without the PING, each
// call on it would wait until its deadline.
TEST_CASE("a silent connection is replaced once a new one responds") {
  HostPair hosts;
  TcpProxy proxy(hosts.pool, hosts.server.address());
  hosts.route = proxy.address();
  CHECK(hosts.Call("host-b", "echo", "1") == "host-a:1");
  proxy.Blackhole();
  const auto started = hosts.timers.Now();
  const auto lost =
      hosts.CallAndCatch("host-b", "echo", "2", std::chrono::seconds(30));
  CHECK(lost.code() == ResultCode::kPeerUnavailable);
  CHECK(lost.outcome() == Outcome::kUnknown);
  CHECK(hosts.timers.Now() - started < std::chrono::seconds(5));
  CHECK(hosts.Call("host-b", "echo", "3") == "host-a:3");
  CHECK(
      hosts.counters
          .GetCounter("host_connections_total", {{"event", "replaced_silent"}})
          .value() == 1);
  hosts.client.reset();
  proxy.Stop();
  hosts.pool.Run([] { runtime::SleepFor(milliseconds(20)); });
}

// A slow handler alone must not cause the connection to be replaced.
TEST_CASE("a slow response does not count as a silent connection") {
  HostPair hosts;
  CHECK(hosts.Call("host-b", "slow", "") == "late");
  CHECK(
      hosts.counters
          .GetCounter("host_connections_total", {{"event", "replaced_silent"}})
          .value() == 0);
}

}  // namespace
}  // namespace jujuberock::host
