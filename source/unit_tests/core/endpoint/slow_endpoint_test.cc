// Endpoints that send a few bytes now and then, without end.
#include <chrono>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::endpoint {
namespace {

using Tcp = boost::asio::ip::tcp;
using std::chrono::milliseconds;

constexpr milliseconds kPause{20};
// The endpoint stops by itself, so that a client that reads on fails its test.
constexpr milliseconds kLongest{3000};

// Answers one request with `head`, and then with `piece` again and again.
class EndlessEndpoint {
 public:
  EndlessEndpoint(std::string head, std::string piece)
      : head(std::move(head)),
        piece(std::move(piece)),
        thread([this] { this->Serve(); }) {}
  ~EndlessEndpoint() { this->thread.join(); }

  runtime::Address address() const { return {"127.0.0.1", this->port}; }

 private:
  void Serve() {
    Tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    boost::asio::streambuf buffer;
    boost::system::error_code error;
    boost::asio::read_until(socket, buffer, "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(this->head), error);
    const auto end = std::chrono::steady_clock::now() + kLongest;
    while (!error && std::chrono::steady_clock::now() < end) {
      boost::asio::write(socket, boost::asio::buffer(this->piece), error);
      if (this->piece.size() < 100)
        std::this_thread::sleep_for(kPause);
    }
  }

  std::string head;
  std::string piece;
  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  const unsigned short port = this->acceptor.local_endpoint().port();
  std::thread thread;
};

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\n";

// Calls `read` on a worker; returns how long it took until it failed.
template <typename Client, typename Read>
milliseconds TimeToFail(Read read) {
  runtime::WorkerPool workers(1);
  const auto start = std::chrono::steady_clock::now();
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    Client client(http);
    CHECK_THROWS_AS(read(client), runtime::HttpError);
  });
  return std::chrono::duration_cast<milliseconds>(
      std::chrono::steady_clock::now() - start);
}

// Guards against a caller that waits past its deadline for an answer that
// never ends.
TEST_CASE("an answer that trickles is given up at the timeout of the call") {
  for (const bool once : {false, true}) {
    INFO("at most once: " << once);
    const EndlessEndpoint service(kUnframed, "x");
    const auto took = TimeToFail<PlainClient>([&](PlainClient& client) {
      if (once)
        return client.ForwardOnce(service.address(), {}, milliseconds(300),
                                  [] { return true; });
      return client.Forward(service.address(), {}, milliseconds(300));
    });
    CHECK(took < milliseconds(1000));
  }
}

TEST_CASE("an event that trickles is given up at its timeout") {
  const EndlessEndpoint engine(kUnframed + "data: ", "x");
  const auto took = TimeToFail<EngineClient>([&](EngineClient& client) {
    EngineStream stream =
        client.Generate(engine.address(), {}, milliseconds(300));
    return stream.Next(milliseconds(300));
  });
  CHECK(took < milliseconds(1000));
}

// Guards against holding an event without end in memory.
TEST_CASE("an event without end is given up before its timeout") {
  const EndlessEndpoint engine(kUnframed + "data: ", std::string(16384, 'x'));
  const auto took = TimeToFail<EngineClient>([&](EngineClient& client) {
    EngineStream stream =
        client.Generate(engine.address(), {}, milliseconds(2500));
    return stream.Next(milliseconds(2500));
  });
  CHECK(took < milliseconds(1500));
}

}  // namespace
}  // namespace jujuberock::endpoint
