#include <catch2/catch.hpp>
#include <string>

#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "core/runtime/wall_timer_service.h"

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
