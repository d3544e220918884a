// Endpoints that send an earlier response once more, on a connection that is in
// use again.
#include <atomic>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/runtime/copying_endpoint.h"

namespace jujuberock::endpoint {
namespace {

constexpr common::Duration kTimeout = std::chrono::seconds(5);

using runtime::CopyingEndpoint;

std::string IdOf(const std::string& head) {
  return CopyingEndpoint::FieldOf(head, "Jujuberock-Request-Id");
}

std::string Response(const std::string& status,
                     const std::string& named_id,
                     const std::string& body) {
  const std::string name =
      named_id.empty() ? "" : "Jujuberock-Request-Id: " + named_id + "\r\n";
  return "HTTP/1.1 " + status + "\r\n" + name +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// The body of the answer, or the name of the failure.
std::string Forward(PlainClient& client,
                    const runtime::Address& address,
                    const std::string& id) {
  runtime::HttpRequest request;
  request.headers.Set("Jujuberock-Request-Id", id);
  try {
    return client.Forward(address, request, kTimeout).body;
  } catch (const runtime::HttpError& error) {
    return error.sent() ? "unknown" : "not run";
  }
}

std::string Generate(EngineClient& client,
                     const runtime::Address& address,
                     const std::string& id) {
  GenerateRequest request;
  request.request_id = id;
  try {
    EngineStream stream = client.Generate(address, request, kTimeout);
    std::string text;
    while (const auto event = stream.Next(kTimeout)) {
      if (const auto* token = std::get_if<TokenEvent>(&*event))
        text += token->text;
      else
        return text;
    }
    return "broken";
  } catch (const runtime::HttpError& error) {
    return error.sent() ? "unknown" : "not run";
  }
}

// Calls the endpoint for the requests a and b, one after the other.
template <typename Client, typename Call>
std::pair<std::string, std::string> CallTwice(const CopyingEndpoint& endpoint,
                                              Call call) {
  runtime::WorkerPool workers(1);
  std::pair<std::string, std::string> found;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    Client client(http);
    found.first = call(client, endpoint.address(), "a");
    found.second = call(client, endpoint.address(), "b");
  });
  return found;
}

using Found = std::pair<std::string, std::string>;

// Guards against answering a caller with the answer of the request before it on
// the same connection.
TEST_CASE("a copy of an earlier answer is not taken for the next one") {
  for (const bool names : {false, true}) {
    INFO("the service names requests: " << names);
    const CopyingEndpoint service(
        [names](const std::string& head) {
          const std::string id = IdOf(head);
          return Response("200 OK", names ? id : "", "answer to " + id);
        },
        true);
    const Found found = CallTwice<PlainClient>(service, Forward);
    CHECK(found.first == "answer to a");
    CHECK(found.second == (names ? "unknown" : "answer to b"));
  }
}

TEST_CASE("a copy of an earlier stream is not taken for the next one") {
  for (const bool names : {false, true}) {
    INFO("the engine names requests: " << names);
    const CopyingEndpoint engine(
        [names](const std::string& head) {
          const std::string id = IdOf(head);
          return Response("200 OK", names ? id : "",
                          "data: {\"offset\":0,\"text\":\"for " + id +
                              "\"}\n\ndata: {\"done\":true,\"tokens\":1}\n\n");
        },
        true);
    const Found found = CallTwice<EngineClient>(engine, Generate);
    CHECK(found.first == "for a");
    CHECK(found.second == (names ? "unknown" : "for b"));
  }
}

// Guards against taking the copy of a refusal for the answer to the same
// request, which the endpoint now runs.
TEST_CASE("a copy of a refusal does not answer the same request") {
  std::atomic<int> asked{0};
  const CopyingEndpoint service(
      [&asked](const std::string& head) {
        const std::string id = IdOf(head);
        return ++asked == 1 ? Response("503 Busy", id, "refused")
                            : Response("200 OK", id, "ran");
      },
      true);
  runtime::WorkerPool workers(1);
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    PlainClient client(http);
    CHECK(Forward(client, service.address(), "a") == "refused");
    CHECK(Forward(client, service.address(), "a") == "ran");
  });
  CHECK(service.connection_count() == 2);
}

TEST_CASE("the connection of an endpoint that names requests is used again") {
  for (const bool names : {false, true}) {
    INFO("the service names requests: " << names);
    const CopyingEndpoint service(
        [names](const std::string& head) {
          const std::string id = IdOf(head);
          return Response("200 OK", names ? id : "", "answer to " + id);
        },
        false);
    const Found found = CallTwice<PlainClient>(service, Forward);
    CHECK(found.second == "answer to b");
    CHECK(service.connection_count() == (names ? 1 : 2));
  }
}

}  // namespace
}  // namespace jujuberock::endpoint
