#include <atomic>
#include <chrono>
#include <istream>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "core/runtime/wall_timer_service.h"
#include "unit_tests/core/caller/raw_client.h"
#include "unit_tests/core/runtime/connection_silence.h"

namespace jujuberock::runtime {
namespace {

const Address kAnyPort{"127.0.0.1", 0};

void EchoHandler(const HttpRequest& request, ResponseWriter& writer) {
  if (request.target == "/stream") {
    writer.StartStream(200, {});
    for (int i = 0; i < 3; ++i) {
      writer.Write("piece" + std::to_string(i) + ";");
      SleepFor(std::chrono::milliseconds(2));
    }
    writer.FinishStream();
    return;
  }
  if (request.target == "/broken") {
    writer.StartStream(200, {});
    writer.Write("piece0;");
    return;
  }
  if (request.target == "/fail")
    throw common::Error(common::ResultCode::kNoEndpoint, "none");
  HttpResponse response;
  response.body = request.body;
  writer.Send(response);
}

TEST_CASE("requests reuse one connection") {
  WorkerPool pool(2);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  pool.Run([&] {
    HttpClient client(pool, {});
    for (int i = 0; i < 100; ++i) {
      HttpRequest request{"POST", "/", {}, "body" + std::to_string(i)};
      REQUIRE(client.Fetch(server.address(), request).body == request.body);
    }
    REQUIRE(server.OpenConnections() == 1);
  });
}

TEST_CASE("a streamed response arrives completely") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  pool.Run([&] {
    HttpClient client(pool, {});
    auto stream = client.Open(server.address(), {"GET", "/stream", {}, ""});
    std::string body;
    while (auto bytes = stream->Read())
      body += *bytes;
    REQUIRE(body == "piece0;piece1;piece2;");
  });
}

struct RawResponse {
  std::string text;
  // How the connection ended: end_of_file if it was closed in order.
  boost::system::error_code end;
};

// Sends one request with these first lines and reads until the connection ends.
RawResponse FetchRaw(const Address& address, const std::string& lines) {
  using boost::asio::ip::tcp;
  boost::asio::io_context io;
  tcp::socket socket(io);
  socket.connect({boost::asio::ip::make_address(address.ip), address.port});
  boost::asio::write(socket, boost::asio::buffer(lines + "Host: h\r\n\r\n"));
  RawResponse response;
  char bytes[4096];
  while (!response.end) {
    const size_t count =
        socket.read_some(boost::asio::buffer(bytes), response.end);
    response.text.append(bytes, count);
  }
  return response;
}

std::string BodyOf(const RawResponse& response) {
  const size_t end = response.text.find("\r\n\r\n");
  return end == std::string::npos ? "" : response.text.substr(end + 4);
}

// Guards against a broken answer that looks whole to a caller of HTTP/1.0,
// which knows no chunks: for it the end of the connection is the end of the
// answer unless the connection is reset.
TEST_CASE("a broken response looks complete to no caller") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  const boost::system::error_code closed = boost::asio::error::eof;
  for (const char* fields : {"", "Connection: close\r\n"}) {
    INFO(fields);
    const RawResponse chunked = FetchRaw(
        server.address(), std::string("GET /broken HTTP/1.1\r\n") + fields);
    CHECK(BodyOf(chunked) == "7\r\npiece0;\r\n");
    CHECK(chunked.end == closed);
  }
  for (const char* fields : {"", "Connection: keep-alive\r\n"}) {
    INFO(fields);
    const RawResponse broken = FetchRaw(
        server.address(), std::string("GET /broken HTTP/1.0\r\n") + fields);
    CHECK(broken.end == boost::asio::error::connection_reset);
    const RawResponse whole = FetchRaw(
        server.address(), std::string("GET /stream HTTP/1.0\r\n") + fields);
    CHECK(BodyOf(whole) == "piece0;piece1;piece2;");
    CHECK(whole.end == closed);
  }
}

// Throws kCanceled at once for "/drop", otherwise when the caller disconnects.
void CanceledHandler(const HttpRequest& request, ResponseWriter& writer) {
  auto disconnected = std::make_shared<bool>(false);
  writer.OnCallerDisconnect([disconnected] { *disconnected = true; });
  while (request.target != "/drop" && !*disconnected)
    SleepFor(std::chrono::milliseconds(1));
  throw common::Error(common::ResultCode::kCanceled, "stopped");
}

// Guards against a request without an answer: the end of a caller's input was
// taken for a caller that has left.
TEST_CASE("a caller that shuts only its sending side gets a response") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, CanceledHandler, RenderPlainError);
  {
    RawClient client(server.address());
    client.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
    client.ShutdownSend();
    const std::string response = client.ReadAll();
    CHECK(StatusOf(response) == 502);
    CHECK(response.find("Connection: close\r\n") != std::string::npos);
  }
  RawClient client(server.address());
  client.Send("GET /drop HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(client.ReadAll().empty());
}

// Load pattern: the worker is busy while the rest of a header arrives and the
// header's timeout expires, so that both are handled in the same turn. Guards
// against a timeout of the header that ends the read of the body.
TEST_CASE("the timeout of a header does not end the read of its body") {
  WorkerPool pool(1);
  HttpServerOptions options;
  options.header_timeout = std::chrono::milliseconds(100);
  HttpServer server(pool, kAnyPort, options, EchoHandler, RenderPlainError);
  RawClient client(server.address());
  client.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-");
  while (server.ActiveRequests() == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  std::atomic<bool> is_busy{false};
  std::atomic<bool> is_released{false};
  pool.Spawn(0, [&] {
    is_busy = true;
    while (!is_released)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  });
  while (!is_busy)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  client.Send("Length: 2\r\n\r\n");
  std::this_thread::sleep_for(2 * options.header_timeout);
  is_released = true;
  std::this_thread::sleep_for(options.header_timeout);
  client.Send("ok");
  CHECK(StatusOf(client.ReadUntil("\r\n\r\nok")) == 200);
}

TEST_CASE("an error thrown by a handler sets the response status") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  pool.Run([&] {
    HttpClient client(pool, {});
    REQUIRE(client.Fetch(server.address(), {"GET", "/fail", {}, ""}).status ==
            503);
  });
}

TEST_CASE("a refused connection reports that the request was not sent") {
  WorkerPool pool(1);
  Address closed;
  {
    HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
    closed = server.address();
  }
  pool.Run([&] {
    HttpClient client(pool, {});
    try {
      client.Fetch(closed, {});
      FAIL("the connection was accepted");
    } catch (const HttpError& error) {
      REQUIRE_FALSE(error.sent());
      REQUIRE(error.code() == common::ResultCode::kPeerUnavailable);
    }
  });
}

// A planned stop must not reset requests that callers have already sent: a
// running request completes, and a request that arrives on an open connection
// still gets a response.
TEST_CASE(
    "a draining server responds to requests already sent before it closes") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  pool.Run([&] {
    HttpClient client(pool, {});
    REQUIRE(client.Fetch(server.address(), {"POST", "/", {}, "a"}).body == "a");
    auto running = client.Open(server.address(), {"GET", "/stream", {}, ""});
    server.Drain();
    // Long enough that a server which closes immediately would have done so.
    SleepFor(std::chrono::milliseconds(100));
    REQUIRE(client.Fetch(server.address(), {"POST", "/", {}, "b"}).body == "b");
    std::string body;
    while (auto bytes = running->Read())
      body += *bytes;
    REQUIRE(body == "piece0;piece1;piece2;");
    for (int i = 0; i < 5000 && !server.IsDrained(); ++i)
      SleepFor(std::chrono::milliseconds(1));
    REQUIRE(server.IsDrained());
    REQUIRE_THROWS_AS(client.Fetch(server.address(), {}), HttpError);
  });
}

// Guards against a request whose connection ends without a response because its
// handler runs longer than the process, and against a second response of it.
TEST_CASE("a server can respond in place of handlers that still run") {
  WorkerPool pool(2);
  std::atomic<int> started{0};
  std::atomic<int> refused{0};
  std::atomic<bool> is_released{false};
  HttpServer server(
      pool, kAnyPort, {},
      [&](const HttpRequest& request, ResponseWriter& writer) {
        const bool streams = request.target == "/stream";
        if (streams)
          writer.StartStream(200, {});
        ++started;
        while (!is_released)
          SleepFor(std::chrono::milliseconds(1));
        try {
          if (streams) {
            writer.Write("late");
            writer.FinishStream();
          } else {
            writer.Send({});
          }
        } catch (const common::Error&) {
          ++refused;
          throw;
        }
      },
      RenderPlainError);
  RawClient waiting(server.address());
  RawClient streaming(server.address());
  waiting.Send("GET /wait HTTP/1.1\r\nHost: h\r\n\r\n");
  streaming.Send("GET /stream HTTP/1.1\r\nHost: h\r\n\r\n");
  while (started < 2)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  server.EndUnanswered(
      common::Error(common::ResultCode::kDeadlineExceeded, "stopping"));
  CHECK(StatusOf(waiting.ReadUntil("stopping\n")) == 504);
  is_released = true;
  CHECK(waiting.ReadAll().find("HTTP/1.1", 1) == std::string::npos);
  CHECK(streaming.ReadUntil("\r\n0\r\n\r\n").find("late") != std::string::npos);
  CHECK(refused == 1);
}

// Guards against a connection that is closed although its last response, which
// was sent or began before the drain, allows the caller another request.
TEST_CASE("a draining server closes only connections whose callers know") {
  WorkerPool pool(1);
  std::atomic<bool> is_running{false};
  std::atomic<bool> is_released{false};
  HttpServer server(
      pool, kAnyPort, {},
      [&](const HttpRequest& request, ResponseWriter& writer) {
        const bool streams = request.target == "/stream";
        if (streams)
          writer.StartStream(200, {});
        is_running = true;
        while (!is_released)
          SleepFor(std::chrono::milliseconds(1));
        if (streams)
          writer.FinishStream();
        else
          writer.Send({200, {}, "whole"});
      },
      RenderPlainError);
  const std::string target = GENERATE(as<std::string>(), "/whole", "/stream");
  INFO(target);
  RawClient client(server.address());
  client.Send("GET " + target + " HTTP/1.1\r\nHost: h\r\n\r\n");
  while (!is_running)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  server.Drain();
  is_released = true;
  const bool streams = target == "/stream";
  const std::string first =
      client.ReadUntil(streams ? "\r\n0\r\n\r\n" : "whole");
  if (first.find("Connection: close\r\n") != std::string::npos)
    return;
  client.Send("GET /whole HTTP/1.1\r\nHost: h\r\n\r\n");
  const std::string second = client.ReadAll().substr(first.size());
  CHECK(StatusOf(second) == 200);
  CHECK(second.find("Connection: close\r\n") != std::string::npos);
}

// A blocking client connection that does not depend on the workers.
class BlockingClient {
 public:
  explicit BlockingClient(const Address& address) : socket(this->io) {
    this->socket.connect(
        {boost::asio::ip::make_address(address.ip), address.port});
  }

  // Returns whether the request was sent.
  bool Send() {
    const std::string request =
        "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok";
    boost::system::error_code error;
    boost::asio::write(this->socket, boost::asio::buffer(request), error);
    return !error;
  }

  // Returns the first line of the response, or an empty text.
  std::string ReadStatusLine() {
    boost::asio::streambuf buffer;
    boost::system::error_code error;
    boost::asio::read_until(this->socket, buffer, "\r\n\r\nok", error);
    std::istream in(&buffer);
    std::string line;
    std::getline(in, line);
    return error ? std::string() : line;
  }

 private:
  boost::asio::io_context io;
  boost::asio::ip::tcp::socket socket;
};

// Load pattern: callers send on connections that were idle during the drain,
// just when it ends, while each request occupies the worker for a while. Guards
// against handling a request whose connection was already shut down.
TEST_CASE("every request that is handled at the end of a drain is answered") {
  constexpr int kClients = 100;
  WorkerPool pool(1);
  std::atomic<int> handled{0};
  HttpServer server(
      pool, kAnyPort, {},
      [&](const HttpRequest& request, ResponseWriter& writer) {
        ++handled;
        const auto end =
            std::chrono::steady_clock::now() + std::chrono::milliseconds(3);
        while (std::chrono::steady_clock::now() < end) {
        }
        EchoHandler(request, writer);
      },
      RenderPlainError);
  std::vector<std::unique_ptr<BlockingClient>> clients;
  for (int i = 0; i < kClients; ++i) {
    clients.push_back(std::make_unique<BlockingClient>(server.address()));
    REQUIRE(clients.back()->Send());
    REQUIRE(clients.back()->ReadStatusLine() == "HTTP/1.1 200 OK\r");
  }
  std::atomic<int> answered{kClients};
  const auto began = std::chrono::steady_clock::now();
  server.Drain();
  std::vector<std::thread> threads;
  for (int i = 0; i < kClients; ++i) {
    threads.emplace_back([&, i] {
      std::this_thread::sleep_until(began + std::chrono::milliseconds(850) +
                                    i * std::chrono::milliseconds(3));
      if (clients[static_cast<size_t>(i)]->Send() &&
          !clients[static_cast<size_t>(i)]->ReadStatusLine().empty())
        ++answered;
    });
  }
  for (std::thread& thread : threads)
    thread.join();
  CHECK(handled > kClients);
  CHECK(handled == answered);
}

// An echo server whose open connections can fall silent, and a client.
class SilentServer {
 public:
  explicit SilentServer(size_t workers)
      : pool(workers),
        server(
            pool,
            kAnyPort,
            {},
            [this](const auto& request, auto& writer) {
              this->Handle(request, writer);
            },
            RenderPlainError),
        client(pool, {}) {}
  ~SilentServer() { this->silence.Release(); }

  // Makes simultaneous calls on the calling worker, one connection each.
  void OpenIdleConnections(int count) {
    std::vector<std::unique_ptr<HttpStream>> streams;
    for (int i = 0; i < count; ++i)
      streams.push_back(this->client.Open(this->server.address(),
                                          {"GET", "/stream", {}, ""}));
    for (auto& stream : streams) {
      while (stream->Read()) {
      }
    }
  }

  bool CallTimesOut(const std::string& target,
                    common::Duration timeout = std::chrono::milliseconds(200)) {
    HttpCallOptions options;
    options.header_timeout = timeout;
    try {
      this->client.Fetch(this->server.address(), {"GET", target, {}, ""},
                         options);
      return false;
    } catch (const HttpError& error) {
      return error.code() == common::ResultCode::kEndpointSilent;
    }
  }

  size_t OpenConnections() const { return this->server.OpenConnections(); }

  WorkerPool pool;
  ConnectionSilence silence;

 private:
  void Handle(const HttpRequest& request, ResponseWriter& writer) {
    this->silence.OnRequest();
    if (request.target == "/until-silent")
      this->silence.WaitUntilSilent();
    this->silence.WaitWhileSilent();
    EchoHandler(request, writer);
  }

  HttpServer server;
  HttpClient client;
};

// Guards against a caller that waits for one timeout per pooled connection when
// all of them have fallen silent, e.g. after a fault of the network.
TEST_CASE("a timeout closes the idle connections to the same address") {
  SilentServer server(2);
  server.pool.Run([&] {
    server.OpenIdleConnections(4);
    server.silence.SilenceOpenConnections();
    CHECK(server.CallTimesOut("/"));
    CHECK_FALSE(server.CallTimesOut("/"));
  });
}

// The call that timed out began before the other connection was last used, but
// both can have died since.
TEST_CASE("a timeout closes idle connections that were used during the call") {
  SilentServer server(1);
  server.pool.Run([&] {
    server.OpenIdleConnections(2);
    std::optional<bool> timed_out;
    SpawnLocal([&] { timed_out = server.CallTimesOut("/until-silent"); });
    SleepFor(std::chrono::milliseconds(20));
    CHECK_FALSE(server.CallTimesOut("/"));
    server.silence.SilenceOpenConnections();
    while (!timed_out)
      SleepFor(std::chrono::milliseconds(1));
    CHECK(*timed_out);
    CHECK_FALSE(server.CallTimesOut("/"));
  });
}

// Guards against new connections after each wait that is shorter than a peer
// with much work may need, e.g. for the end of a body.
TEST_CASE("a short timeout closes no other connections") {
  SilentServer server(1);
  server.pool.Run([&] {
    server.OpenIdleConnections(3);
    CHECK(server.CallTimesOut("/until-silent", std::chrono::milliseconds(20)));
    SleepFor(std::chrono::milliseconds(50));
    CHECK(server.OpenConnections() >= 2);
  });
}

TEST_CASE("a timeout on one worker closes the idle connections of others") {
  SilentServer server(2);
  std::atomic<int> step{0};
  const auto wait_for_step = [&](int expected) {
    while (step < expected)
      SleepFor(std::chrono::milliseconds(1));
  };
  bool other_timed_out = true;
  server.pool.Spawn(1, [&] {
    server.OpenIdleConnections(3);
    step = 1;
    wait_for_step(2);
    other_timed_out = server.CallTimesOut("/");
    step = 3;
  });
  server.pool.Run([&] {
    server.OpenIdleConnections(3);
    wait_for_step(1);
    server.silence.SilenceOpenConnections();
    CHECK(server.CallTimesOut("/"));
    SleepFor(std::chrono::milliseconds(20));
    step = 2;
    wait_for_step(3);
  });
  CHECK_FALSE(other_timed_out);
}

// Guards against keeping all that a peer sends without end.
TEST_CASE("a body beyond the limit of its call is not kept") {
  constexpr size_t kLimit = 64 * 1024;
  constexpr size_t kMaxSent = 8 * 1024 * 1024;
  WorkerPool pool(2);
  std::atomic<size_t> sent{0};
  HttpServer server(
      pool, kAnyPort, {},
      [&](const HttpRequest& request, ResponseWriter& writer) {
        const std::string block(kLimit, 'x');
        if (request.target == "/limit") {
          writer.Send({200, {}, block});
          return;
        }
        writer.StartStream(200, {});
        while (sent < kMaxSent) {
          writer.Write(block);
          sent += block.size();
        }
        writer.FinishStream();
      },
      RenderPlainError);
  pool.Run([&] {
    HttpClient client(pool, {});
    const HttpCallOptions options{.body_limit_bytes = kLimit};
    try {
      client.Fetch(server.address(), {"GET", "/", {}, ""}, options);
      FAIL("a body beyond the limit was kept");
    } catch (const HttpError& error) {
      CHECK(error.code() == common::ResultCode::kProtocolError);
    }
    CHECK(sent < kMaxSent);
    const auto response =
        client.Fetch(server.address(), {"GET", "/limit", {}, ""}, options);
    CHECK(response.body.size() == kLimit);
  });
}

// Guards against keeping a trailer, or the header of a chunk, without end.
TEST_CASE("what a caller sends beside its body is bounded") {
  WorkerPool pool(1);
  HttpServer server(pool, kAnyPort, {}, EchoHandler, RenderPlainError);
  for (const char* const start : {"0\r\nA: ", "5;"}) {
    RawClient caller(server.address());
    caller.Send(
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n");
    caller.Send(start + std::string(1024 * 1024, 'x'));
    CHECK(StatusOf(caller.ReadUntil("\r\n")) == 431);
  }
}

// Guards against running the bytes of a body as a request of its own.
TEST_CASE("a request with a transfer coding but chunked is refused") {
  WorkerPool pool(1);
  std::atomic<int> handled{0};
  HttpServer server(
      pool, kAnyPort, {},
      [&](const HttpRequest& request, ResponseWriter& writer) {
        ++handled;
        EchoHandler(request, writer);
      },
      RenderPlainError);
  for (const std::string coding :
       {"identity", "gzip", "xchunked", "gzip, chunked", "chunked, gzip"}) {
    RawClient caller(server.address());
    caller.Send("POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: " + coding +
                "\r\n\r\nPOST / HTTP/1.1\r\nHost: x\r\nContent-Length: 0"
                "\r\n\r\n");
    CHECK(StatusOf(caller.ReadAll()) == 400);
  }
  CHECK(handled == 0);
  RawClient caller(server.address());
  caller.Send(
      "POST / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
      "Transfer-Encoding: Chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n");
  CHECK(StatusOf(caller.ReadAll()) == 200);
}

TEST_CASE("a timer fires on a fiber that may suspend") {
  WorkerPool pool(1);
  WallTimerService timers(pool, 0);
  std::atomic<int> fired{0};
  auto subscription =
      timers.Every(std::chrono::milliseconds(2), [&](common::TimePoint) {
        SleepFor(std::chrono::microseconds(100));
        ++fired;
      });
  pool.Run([&] {
    for (int i = 0; i < 1000 && fired < 3; ++i)
      SleepFor(std::chrono::milliseconds(1));
  });
  REQUIRE(fired >= 3);
}

}  // namespace
}  // namespace jujuberock::runtime
