// Peers that send what is no valid response, to the hosts' own calls: to
// platforms, engines, services and cache stores.
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/runtime/malformed_responses.h"
#include "unit_tests/core/runtime/one_answer_server.h"

namespace jujuberock::runtime {
namespace {

// More than the kernel buffers for a peer that reads nothing.
constexpr size_t kUploadBytes = 16 * 1024 * 1024;

// Returns the error of a call that the peer answers with these bytes.
std::optional<HttpError> FailureOf(const std::string& answer,
                                   const std::string& body = "",
                                   bool reset = false) {
  WorkerPool pool(1);
  HttpClient client(pool, {});
  const OneAnswerServer server(answer, reset);
  std::optional<HttpError> failure;
  pool.Run([&] {
    try {
      client.Fetch(server.address(), {"POST", "/", {}, body});
    } catch (const HttpError& error) {
      failure = error;
    }
  });
  return failure;
}

}  // namespace

// Guards against taking a malformed response for an answer, and against waiting
// for another one after it as after an interim response.
TEST_CASE("a response with a status outside HTTP fails its call") {
  for (const char* status : kMalformedStatuses) {
    INFO(status);
    const auto failure = FailureOf(std::string("HTTP/1.1 ") + status +
                                   "\r\nContent-Length: 0\r\n\r\n"
                                   "HTTP/1.1 200 OK\r\n"
                                   "Content-Length: 2\r\n\r\nok");
    CHECK(failure);
    if (!failure)
      continue;
    CHECK(failure->code() == common::ResultCode::kEndpointFailed);
    CHECK(failure->sent());
  }
}

// Guards against passing such a line on, and against a body of another length
// than the peer meant.
TEST_CASE("a response with a malformed name of a field fails its call") {
  for (const std::string& answer : ResponsesWith(kSoundField))
    CHECK_FALSE(FailureOf(answer));
  for (const std::string& field : kMalformedFields) {
    INFO(field);
    for (const std::string& answer : ResponsesWith(field)) {
      const auto failure = FailureOf(answer);
      CHECK(failure);
      if (failure)
        CHECK(failure->code() == common::ResultCode::kEndpointFailed);
    }
  }
}

// Guards against taking a part of a response for the whole after a reset that
// the write of the request's body has met.
TEST_CASE("a call whose peer resets the connection during the upload fails") {
  const std::string body(kUploadBytes, 'u');
  for (int i = 0; i < 10; ++i) {
    const auto failure = FailureOf("HTTP/1.1 200 OK\r\n\r\no", body, true);
    REQUIRE(failure);
    CHECK(failure->code() == common::ResultCode::kEndpointFailed);
    CHECK(failure->sent());
  }
}

}  // namespace jujuberock::runtime
