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

// Returns the error of a call that the peer answers with these bytes.
std::optional<HttpError> FailureOf(const std::string& answer) {
  WorkerPool pool(1);
  HttpClient client(pool, {});
  const OneAnswerServer server(answer);
  std::optional<HttpError> failure;
  pool.Run([&] {
    try {
      client.Fetch(server.address(), {"GET", "/", {}, ""});
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

}  // namespace jujuberock::runtime
