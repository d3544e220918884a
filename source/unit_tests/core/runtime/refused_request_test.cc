#include <catch2/catch.hpp>

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "unit_tests/core/caller/raw_client.h"

namespace jujuberock::runtime {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
constexpr size_t kBodyBytes = 64 * 1024;
const common::Error kStoppingError(common::ResultCode::kStopping,
                                   "the host is stopping");

// Answers with the length of the body, and keeps what it has refused.
struct TestServer {
  TestServer()
      : server(
            this->pool,
            kAnyPort,
            this->Options(),
            [](const HttpRequest& request, ResponseWriter& writer) {
              HttpResponse response;
              response.body = std::to_string(request.body.size());
              writer.Send(response);
            },
            RenderPlainError) {}

  HttpServerOptions Options() {
    HttpServerOptions options;
    options.header_limit_bytes = 1024;
    options.body_limit_bytes = kBodyBytes;
    options.id_field = "Id";
    options.on_refused = [this](const common::Error& error,
                                std::string_view id) {
      const std::lock_guard lock(this->mutex);
      this->refused.push_back(std::string(id) + ": " + error.what());
    };
    return options;
  }
  std::vector<std::string> Refused() {
    const std::lock_guard lock(this->mutex);
    return this->refused;
  }

  WorkerPool pool{1};
  std::mutex mutex;
  std::vector<std::string> refused;
  HttpServer server;
};

std::string Head(const std::string& id, const std::string& framing) {
  return "POST / HTTP/1.1\r\nHost: h\r\nId: " + id + "\r\n" + framing +
         "\r\n\r\n";
}

// Load: callers that send their requests in parts while their host stops.
// Guards against a host that waits for bodies of requests that it will refuse,
// and against a refusal that a reset destroys.
TEST_CASE("a server that takes no more requests refuses them at the header") {
  TestServer test;
  RawClient open(test.server.address());
  open.Send(Head("a", "Content-Length: 1") + "x");
  REQUIRE(StatusOf(open.ReadUntil("\r\n\r\n1")) == 200);
  test.server.RefuseRequests(kStoppingError);
  const std::string framing =
      GENERATE(as<std::string>(), "Content-Length: 60000",
               "Transfer-Encoding: chunked", "Content-Length: 0");
  INFO(framing);
  RawClient fresh(test.server.address());
  for (RawClient* caller : {&open, &fresh}) {
    caller->Send(Head("b", framing));
    const std::string answer = caller->ReadUntil("the host is stopping\n");
    CHECK(answer.find("HTTP/1.1 503 ") != std::string::npos);
    // The caller does not know yet that the rest is not wanted.
    caller->Send(std::string(30000, 'x'));
    caller->ReadAll();
    CHECK_FALSE(caller->was_reset());
  }
  CHECK(test.Refused() ==
        std::vector<std::string>(2, "b: the host is stopping"));
}

// Guards against a request that was accepted and then refused while it arrives.
TEST_CASE("a request whose header was read before is still handled") {
  TestServer test;
  RawClient caller(test.server.address());
  caller.Send(Head("a", "Content-Length: 3") + "x");
  while (test.server.ActiveRequests() == 0)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  // The header has arrived with the first byte of the body.
  std::this_thread::sleep_for(std::chrono::milliseconds(20));
  test.server.RefuseRequests(kStoppingError);
  caller.Send("xx");
  CHECK(StatusOf(caller.ReadUntil("\r\n\r\n3")) == 200);
  CHECK(test.Refused().empty());
}

// Guards against requests that end without any trace: the server answers them
// before the gateway sees them.
TEST_CASE("requests that the server refuses itself are reported") {
  TestServer test;
  const std::string large(2000, 'x');
  for (const std::string& request :
       {Head("a", "Content-Length: 70000"), Head("b", "Transfer-Encoding: odd"),
        Head("c", "Large: " + large), std::string("odd\r\n\r\n")}) {
    RawClient caller(test.server.address());
    caller.Send(request);
    CHECK(StatusOf(caller.ReadUntil("\r\n\r\n")) >= 400);
  }
  const auto refused = test.Refused();
  REQUIRE(refused.size() == 4);
  CHECK(refused[0] == "a: body too large");
  CHECK(refused[1] == "b: unsupported transfer coding");
  CHECK(refused[2] == "c: header too large");
}

}  // namespace
}  // namespace jujuberock::runtime
