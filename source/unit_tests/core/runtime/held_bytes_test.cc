#include <catch2/catch.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "core/runtime/http_server.h"
#include "unit_tests/core/caller/raw_client.h"

namespace jujuberock::runtime {
namespace {

const Address kAnyPort{"127.0.0.1", 0};
constexpr size_t kBodyBytes = 256 * 1024;
// More than the kernel's buffers take.
constexpr size_t kLargeAnswerBytes = 32 * 1024 * 1024;
constexpr ByteBudgetLimits kLimits{2 * kBodyBytes, kBodyBytes / 2, 64 * 1024,
                                   std::chrono::milliseconds(0)};

struct TestServer {
  explicit TestServer(ByteBudgetLimits limits = kLimits,
                      size_t max_connections = 0)
      : budget(std::make_shared<ByteBudget>(limits)),
        server(
            this->pool,
            kAnyPort,
            this->Options(max_connections),
            [](const HttpRequest& request, ResponseWriter& writer) {
              Answer(request, writer);
            },
            RenderPlainError) {}

  // Answers with the length of the body, or with more than a caller that does
  // not read takes.
  static void Answer(const HttpRequest& request, ResponseWriter& writer) {
    if (request.target == "/stream") {
      writer.StartStream(200, {});
      writer.Write(std::string(kLargeAnswerBytes, 'x'));
      writer.FinishStream();
      return;
    }
    HttpResponse response;
    response.body = request.target == "/large"
                        ? std::string(kLargeAnswerBytes, 'x')
                        : std::to_string(request.body.size());
    writer.Send(response);
  }

  HttpServerOptions Options(size_t max_connections) const {
    HttpServerOptions options;
    options.header_limit_bytes = 16 * 1024;
    options.body_limit_bytes = kBodyBytes;
    options.max_connections = max_connections;
    options.budget = this->budget;
    return options;
  }
  void AwaitHeld(size_t least, size_t most) const {
    const auto is_held = [&] {
      const size_t held = this->budget->held_bytes();
      return held >= least && held <= most;
    };
    for (int i = 0; i < 10000 && !is_held(); ++i)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    CHECK(is_held());
  }
  void AwaitHeld(size_t bytes) const { this->AwaitHeld(bytes, bytes); }

  WorkerPool pool{1};
  std::shared_ptr<ByteBudget> budget;
  HttpServer server;
};

std::string Head(const std::string& framing) {
  return "POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n";
}

std::string Declared(size_t bytes) {
  return Head("Content-Length: " + std::to_string(bytes));
}

const std::string kChunked = Head("Transfer-Encoding: chunked");

std::string Chunk(size_t bytes) {
  char size[32];
  std::snprintf(size, sizeof(size), "%zx\r\n", bytes);
  return size + std::string(bytes, 'x') + "\r\n";
}

// Guards against bodies whose length is announced and that never arrive: what
// does not fit is refused before it is read, and the refusal is received.
TEST_CASE("a body without room is refused at its header") {
  ByteBudgetLimits limits = kLimits;
  limits.stall_limit = std::chrono::hours(1);
  TestServer test(limits);
  {
    RawClient first(test.server.address());
    first.Send(Declared(kBodyBytes));
    test.AwaitHeld(kBodyBytes);
    RawClient second(test.server.address());
    second.Send(Declared(kBodyBytes));
    CHECK(StatusOf(second.ReadAll()) == 503);
    CHECK(test.budget->refused() == 1);
    // Small bodies still have room.
    RawClient small(test.server.address());
    small.Send(Declared(20000) + std::string(20000, 'x'));
    CHECK(StatusOf(small.ReadUntil("20000")) == 200);
  }
  test.AwaitHeld(0);
}

// Guards against callers that stop short of the end and stay.
TEST_CASE("a stalled body is ended for the next one") {
  TestServer test;
  RawClient first(test.server.address());
  first.Send(Declared(kBodyBytes) + "x");
  test.AwaitHeld(kBodyBytes);
  RawClient second(test.server.address());
  second.Send(Declared(kBodyBytes) + std::string(kBodyBytes, 'x'));
  CHECK(StatusOf(second.ReadUntil(std::to_string(kBodyBytes))) == 200);
  CHECK(StatusOf(first.ReadAll()) == 503);
  CHECK(test.budget->ended() == 1);
}

// Guards against callers that hold large bodies by not reading the answers.
TEST_CASE("a caller that does not read is closed for another body") {
  TestServer test;
  RawClient first(test.server.address());
  first.Send("POST /large HTTP/1.1\r\nHost: h\r\nContent-Length: " +
             std::to_string(kBodyBytes) + "\r\n\r\n" +
             std::string(kBodyBytes, 'x'));
  first.ReadUntil("\r\n\r\n");
  RawClient second(test.server.address());
  second.Send(Declared(kBodyBytes) + std::string(kBodyBytes, 'x'));
  CHECK(StatusOf(second.ReadUntil(std::to_string(kBodyBytes))) == 200);
  CHECK(first.ReadAll().size() < kLargeAnswerBytes);
}

// Guards against a response that looks complete although it was cut off:
// without a length, only a reset tells the caller.
TEST_CASE("a stream that is closed for another body is reset") {
  TestServer test;
  RawClient first(test.server.address());
  first.Send("POST /stream HTTP/1.0\r\nHost: h\r\nContent-Length: " +
             std::to_string(kBodyBytes) + "\r\n\r\n" +
             std::string(kBodyBytes, 'x'));
  first.ReadUntil("\r\n\r\n");
  RawClient second(test.server.address());
  second.Send(Declared(kBodyBytes) + std::string(kBodyBytes, 'x'));
  CHECK(StatusOf(second.ReadUntil(std::to_string(kBodyBytes))) == 200);
  CHECK(first.ReadAll().size() < kLargeAnswerBytes);
  CHECK(first.was_reset());
}

// Guards against resets of responses that are complete.
TEST_CASE("a whole stream without a length ends without a reset") {
  TestServer test;
  RawClient caller(test.server.address());
  caller.Send("GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
  CHECK(caller.ReadAll().size() > kLargeAnswerBytes);
  CHECK_FALSE(caller.was_reset());
}

// Guards against chunked bodies that are read ahead of their reservation, and
// against bytes that stay counted.
TEST_CASE("a chunked body is counted as it arrives") {
  TestServer test;
  RawClient caller(test.server.address());
  caller.Send(kChunked + Chunk(100000));
  test.AwaitHeld(100000, kBodyBytes);
  caller.Send(Chunk(kBodyBytes - 100000) + "0\r\n\r\n");
  CHECK(StatusOf(caller.ReadUntil(std::to_string(kBodyBytes))) == 200);
  test.AwaitHeld(0);
}

// Guards against processor time and memory that follow the number of chunks
// and the length of their extensions.
TEST_CASE("chunks of one byte and with extensions are read") {
  TestServer test;
  RawClient caller(test.server.address());
  std::string body;
  for (int i = 0; i < 5000; ++i)
    body += "1\r\nx\r\n";
  for (int i = 0; i < 50; ++i)
    body += "1;" + std::string(8000, 'e') + "\r\nx\r\n";
  caller.Send(kChunked + body + "0\r\n\r\n");
  CHECK(StatusOf(caller.ReadUntil("\r\n\r\n5050")) == 200);
}

// Guards against reading what is far over the limit, announced or not.
TEST_CASE("a body over the limit is refused") {
  TestServer test;
  for (const std::string& start :
       {Declared(100'000'000'000), kChunked + Chunk(kBodyBytes) + Chunk(1)}) {
    RawClient caller(test.server.address());
    caller.Send(start);
    CHECK(StatusOf(caller.ReadAll()) == 413);
  }
  test.AwaitHeld(0);
}

// Load: callers whose legal headers have thousands of short fields and who do
// not end their bodies. Guards against fields that take many times their bytes
// and are not counted.
TEST_CASE("a header of many fields is counted as what it holds") {
  std::string fields;
  for (int i = 0; i < 1500; ++i)
    fields += "a:\r\n";
  const std::string request = Head(fields + "Transfer-Encoding: chunked");
  ByteBudgetLimits limits = kLimits;
  limits.stall_limit = std::chrono::seconds(60);
  TestServer test(limits);
  RawClient first(test.server.address());
  first.Send(request);
  test.AwaitHeld(1500 * 300, 1500 * 350);
  RawClient second(test.server.address());
  second.Send(request);
  CHECK(StatusOf(second.ReadAll()) == 503);
  // Headers of a usual size are not counted, and their callers are served.
  RawClient ordinary(test.server.address());
  ordinary.Send(Declared(1) + "x");
  CHECK(StatusOf(ordinary.ReadUntil("\r\n\r\n1")) == 200);
  first.Send("1\r\nx\r\n0\r\n\r\n");
  CHECK(StatusOf(first.ReadUntil("\r\n\r\n1")) == 200);
  test.AwaitHeld(0);
}

// Guards against a body that arrives too slowly to ever end.
TEST_CASE("a body without progress times out") {
  TestServer test;
  HttpServerOptions options = test.Options(0);
  options.body_progress_timeout = std::chrono::milliseconds(50);
  test.server.SetOptions(options);
  RawClient caller(test.server.address());
  caller.Send(Declared(kBodyBytes) + "x");
  CHECK(StatusOf(caller.ReadAll()) == 408);
  test.AwaitHeld(0);
}

// Guards against idle connections that use up the descriptors.
TEST_CASE("the longest idle connection makes room for a new one") {
  TestServer test(kLimits, 2);
  RawClient first(test.server.address());
  RawClient second(test.server.address());
  for (auto* caller : {&first, &second}) {
    caller->Send(Declared(1) + "x");
    REQUIRE(StatusOf(caller->ReadUntil("\r\n\r\n1")) == 200);
  }
  RawClient third(test.server.address());
  third.Send(Declared(2) + "xx");
  CHECK(StatusOf(third.ReadUntil("\r\n\r\n2")) == 200);
  first.ReadAll();
  second.Send(Declared(3) + "xxx");
  CHECK(second.ReadUntil("\r\n\r\n3").find("\r\n\r\n3") != std::string::npos);
  CHECK(test.server.DisplacedConnections() == 1);
}

}  // namespace
}  // namespace jujuberock::runtime
