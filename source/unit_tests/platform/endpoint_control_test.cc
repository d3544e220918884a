// Control calls to an endpoint that sends an earlier response once more, on a
// connection that is in use again.
#include "platform/endpoint_control.h"

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/runtime/copying_endpoint.h"

namespace jujuberock::platform_adapter {
namespace {

using gateway::OrderReply;
using runtime::CopyingEndpoint;

std::string Response(const std::string& status, const std::string& body) {
  return "HTTP/1.1 " + status +
         "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Report(int sequence) {
  return Response("200 OK", R"({"busy":false,"sequence":)" +
                                std::to_string(sequence) + R"(,"models":[]})");
}

bool IsReport(const std::string& head) {
  return head.starts_with("GET /report");
}

// Answers the calls one after the other.
CopyingEndpoint::Answer InTurn(std::vector<std::string> responses) {
  // Each connection has a thread of its own.
  const auto next = std::make_shared<std::atomic<size_t>>(0);
  return [responses = std::move(responses), next](const std::string&) {
    return responses.at((*next)++);
  };
}

// Calls an endpoint of this address.
class Caller {
 public:
  explicit Caller(const CopyingEndpoint& endpoint) {
    this->endpoint.id = "engine-1";
    this->endpoint.address = endpoint.address().ToString();
  }

  void Run(const std::function<void()>& body) { this->workers.Run(body); }

  OrderReply Order(bool may_send = true) {
    return this->control.Order(this->endpoint, {"model", 2, "host", 1, 0},
                               [may_send] { return may_send; });
  }
  // The sequence of the report, or -1.
  int Report() {
    const auto report = this->control.Report(this->endpoint);
    return report ? static_cast<int>(report->sequence) : -1;
  }
  bool Free() {
    return this->control.Free(this->endpoint.address, {{{"salt", "a"}}, 1, 1});
  }

 private:
  catalog::Endpoint endpoint;
  runtime::WorkerPool workers{1};
  runtime::HttpClient http{workers, {}};
  PlatformEndpointControl control{http};
};

// Guards against sending an order again that the endpoint carries out, because
// a copy of the refusal of the order before it was taken for its answer.
TEST_CASE("a copy of an answer to an order does not answer the next one") {
  const CopyingEndpoint engine(
      InTurn({Response("409 Conflict", "{}"), Response("202 Accepted", "{}")}),
      true);
  Caller caller(engine);
  caller.Run([&] {
    CHECK(caller.Order() == OrderReply::kRefused);
    CHECK(caller.Order() == OrderReply::kAccepted);
  });
}

// Guards against taking an order for carried out that the endpoint refused.
TEST_CASE("a copy of a report does not answer an order") {
  const CopyingEndpoint engine(
      [](const std::string& head) {
        return IsReport(head) ? Report(1) : Response("409 Conflict", "{}");
      },
      true);
  Caller caller(engine);
  caller.Run([&] {
    CHECK(caller.Report() == 1);
    CHECK(caller.Order() == OrderReply::kRefused);
  });
}

// Guards against forgetting parts that the store still holds.
TEST_CASE("a copy of an answer does not confirm that parts were freed") {
  const CopyingEndpoint store(
      InTurn({Response("200 OK", "{}"), Response("409 Conflict", "{}")}), true);
  Caller caller(store);
  caller.Run([&] {
    CHECK(caller.Free());
    CHECK_FALSE(caller.Free());
  });
}

// Guards against taking a copy of the answer to an order for a report.
TEST_CASE("a copy of an answer to an order does not answer a report") {
  const CopyingEndpoint engine(
      [](const std::string& head) {
        return IsReport(head) ? Report(1) : Response("200 OK", "{}");
      },
      true);
  Caller caller(engine);
  caller.Run([&] {
    CHECK(caller.Order() == OrderReply::kInForce);
    CHECK(caller.Report() == 1);
  });
}

// Guards against reports that stay one behind after a copy: each response on
// the connection would be taken for the answer to the next call.
TEST_CASE("a connection that is one response behind is not used again") {
  const CopyingEndpoint engine(InTurn({Report(1), Report(2), Report(3)}), true);
  Caller caller(engine);
  caller.Run([&] {
    CHECK(caller.Report() == 1);
    CHECK(caller.Report() == 1);
    CHECK(caller.Report() == 3);
  });
}

// Guards against a new connection for each report, which is priced.
TEST_CASE("reports keep their connection beside orders") {
  const CopyingEndpoint engine(
      [](const std::string& head) {
        return IsReport(head) ? Report(1) : Response("202 Accepted", "{}");
      },
      false);
  Caller caller(engine);
  caller.Run([&] {
    for (int i = 0; i < 3; ++i)
      CHECK(caller.Report() == 1);
    CHECK(engine.connection_count() == 1);
    CHECK(caller.Order() == OrderReply::kAccepted);
    CHECK(caller.Report() == 1);
    CHECK(engine.connection_count() == 2);
  });
}

// Guards against an order of a host whose lease ended while the connection was
// being opened.
TEST_CASE("an order that is no longer allowed is not sent") {
  std::atomic<int> calls{0};
  const CopyingEndpoint engine(
      [&calls](const std::string&) {
        ++calls;
        return Response("202 Accepted", "{}");
      },
      false);
  Caller caller(engine);
  caller.Run([&] { CHECK(caller.Order(false) == OrderReply::kNotSent); });
  CHECK(calls == 0);
}

}  // namespace
}  // namespace jujuberock::platform_adapter
