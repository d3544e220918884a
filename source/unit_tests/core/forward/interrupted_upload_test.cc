// Endpoints that respond before they have read the body of a request, and then
// end the connection.
#include <atomic>
#include <semaphore>
#include <string>
#include <thread>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include "core/forward/endpoint_send.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"

namespace jujuberock::forward {
namespace {

using Tcp = boost::asio::ip::tcp;

// More than the kernel buffers for a peer that reads nothing, so that the write
// of the body still waits when the connection ends.
constexpr size_t kUploadBytes = 16 * 1024 * 1024;
// Time in which a write that waits learns of the end of its connection.
constexpr common::Duration kNoticeTime = std::chrono::milliseconds(20);
constexpr int kRepetitions = 10;

const std::string kHead = "HTTP/1.1 200 OK\r\nId: a\r\n";
const std::string kUnframed = kHead + "\r\nok";

// How an endpoint ends a connection after its response.
enum class End {
  kReset,
  // Closes its sending side and reads the rest of the request.
  kShutdown,
  // Closes its sending side in order and resets the connection after that.
  kShutdownThenReset,
  // Neither reads nor closes as long as this object lives.
  kSilence,
};

// Responds to the head of one request.
class EarlyEndpoint {
 public:
  EarlyEndpoint(std::string response, End end)
      : response(std::move(response)), end(end) {
    this->thread = std::thread([this] { this->Serve(); });
  }
  ~EarlyEndpoint() {
    this->released.release();
    this->thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(this->port);
  }
  bool has_ended() const { return this->ended; }

 private:
  void Serve() {
    Tcp::socket socket(this->io);
    this->acceptor.accept(socket);
    boost::system::error_code error;
    boost::asio::streambuf request;
    boost::asio::read_until(socket, request, "\r\n\r\n", error);
    boost::asio::write(socket, boost::asio::buffer(this->response), error);
    this->EndConnection(socket);
  }

  void EndConnection(Tcp::socket& socket) {
    boost::system::error_code error;
    boost::asio::streambuf rest;
    if (this->end == End::kShutdown || this->end == End::kShutdownThenReset)
      socket.shutdown(Tcp::socket::shutdown_send, error);
    if (this->end == End::kShutdown)
      boost::asio::read(socket, rest, error);
    if (this->end == End::kSilence)
      this->released.acquire();
    socket.set_option(boost::asio::socket_base::linger(true, 0), error);
    socket.close(error);
    this->ended = true;
  }

  std::string response;
  End end;
  std::atomic<bool> ended{false};
  std::binary_semaphore released{0};
  boost::asio::io_context io;
  Tcp::acceptor acceptor{
      io, Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)};
  const unsigned short port = this->acceptor.local_endpoint().port();
  std::thread thread;
};

// When the body of the response is read.
enum class ReadTime { kAtOnce, kAfterTheEnd };

struct Result {
  std::string body;
  std::optional<SendFailure> failure;
  ConnectionEnd connection_end = ConnectionEnd::kOpen;
};

Result Upload(const std::string& response,
              End end,
              ReadTime read_time,
              ConnectionPoolOptions options = {}) {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  EarlyEndpoint peer(response, end);
  Result result;
  workers.Run([&] {
    ConnectionPool pool(options, counters);
    const TestCodec codec;
    CallerRequest request;
    request.method = "POST";
    request.target = "/";
    request.attempt_id = "a";
    request.body = std::string(kUploadBytes, 'u');
    EndpointSend send(pool, codec, peer.address());
    try {
      send.Open(request, {}, runtime::BootNow() + std::chrono::seconds(10));
      if (read_time == ReadTime::kAfterTheEnd) {
        while (!peer.has_ended())
          runtime::SleepFor(std::chrono::milliseconds(1));
        runtime::SleepFor(kNoticeTime);
      }
      while (auto bytes = send.Read())
        result.body += *bytes;
    } catch (const SendError& error) {
      result.failure = error.failure();
    }
    result.connection_end = send.connection_end();
  });
  return result;
}

}  // namespace

// Guards against passing on a part of a response as the whole: the kernel
// reports a reset to the write of the body only, and the read then finds what
// looks like an end in order.
TEST_CASE("a reset during the upload breaks a response without a length") {
  const auto read_time = GENERATE(ReadTime::kAtOnce, ReadTime::kAfterTheEnd);
  for (int i = 0; i < kRepetitions; ++i) {
    const Result result = Upload(kUnframed, End::kReset, read_time);
    CHECK(result.failure == SendFailure::kBroken);
    CHECK(result.connection_end == ConnectionEnd::kBroken);
  }
}

// Guards against the same after a timeout of the connection.
TEST_CASE("an upload that is never read breaks a response without a length") {
  ConnectionPoolOptions options;
  options.unacknowledged_timeout = std::chrono::milliseconds(300);
  const Result result =
      Upload(kUnframed, End::kSilence, ReadTime::kAtOnce, options);
  CHECK(result.failure == SendFailure::kBroken);
  CHECK(result.connection_end == ConnectionEnd::kBroken);
}

// Guards against refusing the response of an endpoint that does not need the
// whole request.
TEST_CASE("a response that ended in order during the upload is complete") {
  const auto read_time = GENERATE(ReadTime::kAtOnce, ReadTime::kAfterTheEnd);
  for (int i = 0; i < kRepetitions; ++i) {
    const Result result = Upload(kUnframed, End::kShutdownThenReset, read_time);
    CHECK_FALSE(result.failure);
    CHECK(result.body == "ok");
    CHECK(result.connection_end == ConnectionEnd::kPeer);
  }
  const Result result = Upload(kUnframed, End::kShutdown, ReadTime::kAtOnce);
  CHECK_FALSE(result.failure);
  CHECK(result.body == "ok");
}

TEST_CASE("a reset during the upload shows by the framing of a response") {
  const auto read_time = GENERATE(ReadTime::kAtOnce, ReadTime::kAfterTheEnd);
  for (const char* framing :
       {"Content-Length: 9\r\n\r\nok",
        "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}) {
    const Result result = Upload(kHead + framing, End::kReset, read_time);
    CHECK(result.failure == SendFailure::kBroken);
    CHECK(result.connection_end == ConnectionEnd::kBroken);
  }
  const Result whole =
      Upload(kHead + "Content-Length: 2\r\n\r\nok", End::kReset, read_time);
  CHECK_FALSE(whole.failure);
  CHECK(whole.body == "ok");
}

}  // namespace jujuberock::forward
