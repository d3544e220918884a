// Endpoints that send nothing on any connection for a while and then go on.
#include <atomic>
#include <chrono>
#include <list>
#include <string>
#include <thread>
#include <utility>
#include <variant>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/endpoint/plain_client.h"
#include "core/endpoint/resuming_stream.h"
#include "core/runtime/http_client.h"
#include "core/runtime/wall_timer_service.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::endpoint {
namespace {

using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

// Longer than a stream waits for a token before it probes the engine.
constexpr milliseconds kSilence{1200};
constexpr milliseconds kTokenPeriod{30};
constexpr uint64_t kTokens = 8;

// A sound engine and plain service with a silence that begins `sound_for` after
// the start. Tokens are generated in time also during the silence.
class SilentEndpoint {
 public:
  // Serves this many connections. Does not know the request on the first
  // `unknown_resumes` that resume it, since it has not read it yet.
  SilentEndpoint(int connections,
                 milliseconds sound_for,
                 int unknown_resumes = 0)
      : silent_from(Clock::now() + sound_for),
        unknown_resumes(unknown_resumes),
        thread([this, connections] { this->Accept(connections); }) {}
  ~SilentEndpoint() {
    this->thread.join();
    for (std::thread& connection : this->connections)
      connection.join();
  }

  runtime::Address address() const { return {"127.0.0.1", this->port}; }

 private:
  void Accept(int count) {
    for (int i = 0; i < count; ++i) {
      Tcp::socket socket(this->io);
      this->acceptor.accept(socket);
      this->connections.emplace_back(
          [this, socket = std::move(socket)]() mutable {
            this->Serve(socket);
          });
    }
  }

  void Serve(Tcp::socket& socket) {
    boost::asio::streambuf buffer;
    boost::system::error_code error;
    boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
    const std::string head(boost::asio::buffers_begin(buffer.data()),
                           boost::asio::buffers_end(buffer.data()));
    if (head.rfind("POST /v1/generate", 0) != 0 &&
        head.rfind("GET /v1/requests", 0) != 0) {
      this->Send(socket,
                 "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
                 "Connection: close\r\n\r\nok");
      return;
    }
    const size_t from = head.find("?from=");
    if (from != std::string::npos && this->unknown_resumes-- > 0) {
      this->Send(socket, "HTTP/1.1 404 None\r\nContent-Length: 0\r\n\r\n");
      return;
    }
    const uint64_t first =
        from == std::string::npos ? 0 : std::stoull(head.substr(from + 6));
    this->Send(socket, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n");
    for (uint64_t i = first; i < kTokens; ++i) {
      std::this_thread::sleep_for(kTokenPeriod);
      this->Send(socket, "data: {\"offset\":" + std::to_string(i) +
                             ",\"text\":\"a\"}\n\n");
    }
    this->Send(socket, "data: {\"done\":true,\"tokens\":" +
                           std::to_string(kTokens) + "}\n\n");
  }

  void Send(Tcp::socket& socket, const std::string& bytes) {
    const Clock::time_point silent_until = this->silent_from + kSilence;
    const Clock::time_point now = Clock::now();
    if (now >= this->silent_from && now < silent_until)
      std::this_thread::sleep_until(silent_until);
    boost::system::error_code ignored;
    boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
  }

  const Clock::time_point silent_from;
  std::atomic<int> unknown_resumes;
  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  const unsigned short port = this->acceptor.local_endpoint().port();
  std::list<std::thread> connections;
  std::thread thread;
};

// Guards against a stream that is cut, or delivers a token twice, because its
// engine is silent for a moment. The limits are those of `serve`.
TEST_CASE("a stream goes on after a silence of its engine") {
  const bool before_head = GENERATE(true, false);
  INFO("before the head: " << before_head);
  SilentEndpoint engine(2, before_head ? milliseconds(0) : 4 * kTokenPeriod);
  runtime::WorkerPool workers(1);
  runtime::WallTimerService timers(workers, 0);
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient client(http);
    ResumingStream stream(client, timers, engine.address(), "r", 0, {});
    const common::TimePoint until = timers.Now() + std::chrono::seconds(5);
    stream.Start({}, until);
    uint64_t tokens = 0;
    while (std::holds_alternative<TokenEvent>(stream.Next(until)))
      ++tokens;
    CHECK(tokens == kTokens);
    CHECK(stream.reconnects() == 1);
  });
}

// Guards against a request that counts as gone because the engine has read the
// connection that resumes it before the one that began it.
TEST_CASE("a request that a silent engine has not read yet is not gone") {
  SilentEndpoint engine(3, milliseconds(0), 1);
  runtime::WorkerPool workers(1);
  runtime::WallTimerService timers(workers, 0);
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient client(http);
    ResumingStream stream(client, timers, engine.address(), "r", 0, {});
    const common::TimePoint until = timers.Now() + std::chrono::seconds(5);
    stream.Start({}, until);
    CHECK(std::holds_alternative<TokenEvent>(stream.Next(until)));
  });
}

// Returns how long it takes until a dead engine counts as lost.
milliseconds TimeToLose(ResumingStream::MoveCallback can_move) {
  boost::asio::io_context io;
  // Connections are accepted by the kernel only.
  const Tcp::acceptor dead(
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
  const runtime::Address address{"127.0.0.1", dead.local_endpoint().port()};
  runtime::WorkerPool workers(1);
  runtime::WallTimerService timers(workers, 0);
  const auto start = Clock::now();
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient client(http);
    const ResumeTimeouts timeouts{milliseconds(30), milliseconds(30),
                                  milliseconds(600)};
    ResumingStream stream(client, timers, address, "r", 0, timeouts,
                          std::move(can_move));
    CHECK_THROWS_AS(stream.Start({}, timers.Now() + std::chrono::seconds(5)),
                    StreamLostError);
  });
  return std::chrono::duration_cast<milliseconds>(Clock::now() - start);
}

// Guards against a request that waits for a dead engine although another one
// could run it, and against one that is ended although none could.
TEST_CASE("a request leaves a silent engine at once only for another one") {
  CHECK(TimeToLose([] { return true; }) < milliseconds(400));
  CHECK(TimeToLose([] { return false; }) >= milliseconds(600));
}

// Guards against a call that fails before its deadline because its service is
// silent for a moment.
TEST_CASE("a call is answered after a silence of its service") {
  for (const bool once : {false, true}) {
    INFO("at most once: " << once);
    SilentEndpoint service(1, milliseconds(0));
    runtime::WorkerPool workers(1);
    workers.Run([&] {
      runtime::HttpClient http(workers, {});
      PlainClient client(http);
      const milliseconds timeout(3000);
      const runtime::HttpResponse response =
          once ? client.ForwardOnce(service.address(), {}, timeout,
                                    [] { return true; })
               : client.Forward(service.address(), {}, timeout);
      CHECK(response.body == "ok");
    });
  }
}

}  // namespace
}  // namespace jujuberock::endpoint
