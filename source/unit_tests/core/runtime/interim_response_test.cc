// Peers that send interim responses before the one to the request.
#include <string>

#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/runtime/one_answer_server.h"

namespace jujuberock::runtime {
namespace {

const std::string kFinal = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

HttpResponse FetchFrom(const OneAnswerServer& server) {
  WorkerPool pool(1);
  HttpClient client(pool, {});
  HttpResponse response;
  pool.Run([&] {
    response = client.Fetch(server.address(), {"GET", "/", {}, ""});
  });
  return response;
}

}  // namespace

// Guards against callers that get an interim response as the final one, and
// wait for the final one without end.
TEST_CASE("an interim response is not the response to the request") {
  const auto interim =
      GENERATE(as<std::string>(), "HTTP/1.1 100 Continue\r\n\r\n",
               "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n",
               "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n");
  const OneAnswerServer server(interim + kFinal);
  const HttpResponse response = FetchFrom(server);
  CHECK(response.status == 200);
  CHECK(response.body == "ok");
}

TEST_CASE("a peer that sends only interim responses has failed") {
  std::string answer;
  for (int i = 0; i < 100; ++i)
    answer += "HTTP/1.1 100 Continue\r\n\r\n";
  const OneAnswerServer server(answer + kFinal);
  CHECK_THROWS_AS(FetchFrom(server), HttpError);
}

}  // namespace jujuberock::runtime
