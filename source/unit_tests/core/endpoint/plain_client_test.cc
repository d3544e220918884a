#include "core/endpoint/plain_client.h"

#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"
#include "unit_tests/core/runtime/malformed_responses.h"

namespace jujuberock::endpoint {
namespace {

// Returns the body of the answer, or nullopt if the call failed.
std::optional<std::string> Forward(const std::string& answer,
                                   bool reset,
                                   bool exits = false) {
  runtime::WorkerPool workers(1);
  forward::FakeEndpoint peer({answer}, reset, exits);
  std::optional<std::string> body;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    PlainClient client(http);
    try {
      body = client
                 .Forward(*runtime::Address::Parse(peer.address()), {},
                          std::chrono::seconds(5))
                 .body;
    } catch (const runtime::HttpError& error) {
      CHECK(error.code() == common::ResultCode::kEndpointFailed);
      CHECK(error.sent());
    }
  });
  return body;
}

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\n";
const std::string kWithLength = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n";
const std::string kChunked =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// Guards against refusing an answer that ends with its connection.
TEST_CASE("an answer is complete in each framing") {
  CHECK(Forward(kUnframed + "ok", false) == "ok");
  CHECK(Forward(kUnframed, false) == "");
  CHECK(Forward(kWithLength + "ok", false) == "ok");
  CHECK(Forward(kChunked + "2\r\nok\r\n0\r\n\r\n", false) == "ok");
}

// Guards against passing a part of an answer on as complete.
TEST_CASE("an answer that breaks off fails") {
  CHECK_FALSE(Forward("HTTP/1.1 200 OK\r\n", false));
  CHECK_FALSE(Forward(kWithLength + "o", false));
  CHECK_FALSE(Forward(kChunked + "2\r\nok\r\n", false));
  CHECK_FALSE(Forward("HTTP/1.1 200 OK\r\n", true));
  CHECK_FALSE(Forward(kUnframed + "ok", true));
  CHECK_FALSE(Forward(kWithLength + "o", true));
  CHECK_FALSE(Forward(kChunked + "2\r\nok\r\n", true));
}

// Guards against a short answer that looks whole because the service crashed
// while it sent it: without framing, only the end of the service shows it.
TEST_CASE("an unframed answer whose service has ended has been broken off") {
  CHECK_FALSE(Forward(kUnframed + "o", false, true));
  CHECK(Forward(kWithLength + "ok", false, true) == "ok");
  CHECK(Forward(kChunked + "2\r\nok\r\n0\r\n\r\n", false, true) == "ok");
}

// Guards against passing on a status that HTTP does not have.
TEST_CASE("an answer with a status outside HTTP fails") {
  for (const char* status : runtime::kMalformedStatuses) {
    INFO(status);
    CHECK_FALSE(Forward(
        std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 2\r\n\r\nok",
        false));
  }
}

// Guards against passing such a line on, or a body of another length.
TEST_CASE("an answer with a malformed name of a field fails") {
  for (const std::string& answer : runtime::ResponsesWith(runtime::kSoundField))
    CHECK(Forward(answer, false) == "ok");
  for (const std::string& field : runtime::kMalformedFields) {
    INFO(field);
    for (const std::string& answer : runtime::ResponsesWith(field))
      CHECK_FALSE(Forward(answer, false));
  }
}

// Returns the state that a status call finds, or nullopt if the call failed.
std::optional<CallState> StatusOf(const std::string& body) {
  runtime::WorkerPool workers(1);
  forward::FakeEndpoint peer({"HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body},
                             false);
  std::optional<CallState> state;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    PlainClient client(http);
    try {
      state = client
                  .Status(*runtime::Address::Parse(peer.address()), "/status",
                          "team", "key")
                  .state;
    } catch (const common::Error& error) {
      CHECK(error.code() == common::ResultCode::kProtocolError);
    }
  });
  return state;
}

// Guards against an answer that overflows the stack of the fiber that reads it,
// or fails more than its own call.
TEST_CASE("an odd answer to a status call fails the call") {
  CHECK(StatusOf(R"({"state":"done","body":{"a":[1]}})") == CallState::kDone);
  for (const size_t depth : {1'000U, 10'000U, 200'000U}) {
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    CHECK_FALSE(StatusOf(R"({"state":"done","body":)" + deep + "}"));
    CHECK_FALSE(StatusOf(R"({"state":)" + deep + "}"));
    CHECK_FALSE(StatusOf(deep));
  }
  for (const char* body :
       {R"({"state":"done","body":1e400})",
        "{\"state\":\"done\",\"x\":\"\xff\"}", R"({"state":1e400})",
        R"({"state":5})", R"([])", "5", "", "{"})
    CHECK_FALSE(StatusOf(body));
}

}  // namespace
}  // namespace jujuberock::endpoint
