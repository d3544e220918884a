#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "core/endpoint/engine_client.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"

namespace jujuberock::endpoint {
namespace {

struct Received {
  std::vector<EngineEvent> events;
  // Whether the connection failed; otherwise the response ended.
  bool failed = false;
};

Received ReadStream(const std::string& answer, bool reset) {
  runtime::WorkerPool workers(1);
  forward::FakeEndpoint peer({answer}, reset);
  Received received;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient engine(http);
    try {
      EngineStream stream =
          engine.Generate(*runtime::Address::Parse(peer.address()), {},
                          std::chrono::seconds(5));
      while (auto event = stream.Next(std::chrono::seconds(5)))
        received.events.push_back(*event);
    } catch (const runtime::HttpError&) {
      received.failed = true;
    }
  });
  return received;
}

const std::string kHead =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string kToken = "data: {\"offset\":0,\"text\":\"a\"}\n\n";
const std::string kEnd = "data: {\"done\":true,\"tokens\":1}\n\n";

std::string Unframed(const std::string& body) {
  return kHead + "\r\n" + body;
}
std::string WithLength(const std::string& body, size_t missing = 0) {
  return kHead + "Content-Length: " + std::to_string(body.size() + missing) +
         "\r\n\r\n" + body;
}
std::string Chunked(const std::string& body, bool ends = true) {
  std::string answer = kHead + "Transfer-Encoding: chunked\r\n\r\n";
  for (const char c : body)
    answer += std::string("1\r\n") + c + "\r\n";
  return answer + (ends ? "0\r\n\r\n" : "");
}

std::vector<std::string> AllFramings(const std::string& body) {
  return {Unframed(body), WithLength(body), WithLength(body, 5), Chunked(body),
          Chunked(body, false)};
}

size_t EndsIn(const Received& received) {
  size_t ends = 0;
  for (const EngineEvent& event : received.events)
    ends += std::holds_alternative<StreamEnd>(event) ? 1 : 0;
  return ends;
}

// Guards against a run that counts as complete, or goes on behind a token,
// although the stream was broken off inside that event.
TEST_CASE("an event that a stream breaks off in is not delivered") {
  for (const std::string& last : {kToken, kEnd}) {
    for (const size_t cut : {size_t{1}, size_t{6}, last.size() / 2,
                             last.size() - 2, last.size() - 1}) {
      const std::string body = kToken + last.substr(0, cut);
      for (const std::string& answer : AllFramings(body)) {
        INFO(answer);
        CHECK(ReadStream(answer, false).events.size() == 1);
      }
    }
  }
}

TEST_CASE("a reset stream ends without a part of an event") {
  for (const std::string& rest :
       {std::string(), kEnd.substr(0, 10), kEnd.substr(0, kEnd.size() - 1)}) {
    for (const std::string& answer : AllFramings(kToken + rest)) {
      INFO(answer);
      CHECK(EndsIn(ReadStream(answer, true)) == 0);
    }
  }
}

// Only the end event completes a run, whatever the framing says.
TEST_CASE("a stream is complete only after its end event") {
  for (const std::string& body : {std::string(), kToken}) {
    for (const std::string& answer : AllFramings(body)) {
      INFO(answer);
      CHECK(EndsIn(ReadStream(answer, false)) == 0);
    }
  }
  for (const std::string& answer : AllFramings(kToken + kEnd)) {
    INFO(answer);
    CHECK(EndsIn(ReadStream(answer, false)) == 1);
  }
}

TEST_CASE("a stream that ends inside its head fails") {
  for (const bool reset : {false, true}) {
    const Received received = ReadStream(kHead, reset);
    CHECK(received.failed);
    CHECK(received.events.empty());
  }
}

TEST_CASE("events with comments and other line endings are read") {
  const std::string body =
      ": wait\r\n\r\ndata: {\"offset\":0,\r\ndata: \"text\":\"a\"}\r\n\r\n"
      "event: x\ndata: {\"done\":true,\"tokens\":1}\n\n";
  CHECK(ReadStream(Unframed(body), false).events.size() == 2);
}

}  // namespace
}  // namespace jujuberock::endpoint
