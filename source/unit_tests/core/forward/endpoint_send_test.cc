#include "core/forward/endpoint_send.h"

#include <catch2/catch.hpp>

#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"
#include "unit_tests/core/runtime/malformed_responses.h"

namespace jujuberock::forward {
namespace {

struct Result {
  int status = 0;
  std::string body;
  std::optional<SendFailure> failure;
};

Result Send(ConnectionPool& pool, const std::string& address, const char* id) {
  const TestCodec codec;
  CallerRequest request;
  request.method = "GET";
  request.target = "/";
  request.attempt_id = id;
  Result result;
  EndpointSend send(pool, codec, address);
  try {
    const auto deadline = runtime::BootNow() + std::chrono::seconds(5);
    result.status = send.Open(request, {}, deadline).status;
    send.CheckUsable();
    while (auto bytes = send.Read())
      result.body += *bytes;
  } catch (const SendError& error) {
    result.failure = error.failure();
  }
  return result;
}

std::vector<Result> SendRequests(std::vector<std::string> answers,
                                 bool reset,
                                 std::vector<const char*> ids) {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  std::vector<Result> results;
  FakeEndpoint peer(std::move(answers), reset);
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    for (const char* id : ids)
      results.push_back(Send(pool, peer.address(), id));
  });
  return results;
}

constexpr const char* kOkResponse =
    "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok";

TEST_CASE("a complete response is read in each body framing") {
  const char* answers[] = {
      kOkResponse,
      "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\no\r\n1\r\nk\r\n0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nId: a\r\n\r\nok",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n"
      "Content-Length: 2\r\n\r\nok"};
  for (const char* answer : answers) {
    INFO(answer);
    const auto results = SendRequests({answer}, false, {"a"});
    CHECK_FALSE(results[0].failure);
    CHECK(results[0].status == 200);
    CHECK(results[0].body == "ok");
  }
}

// Guards against taking a truncated response for a complete one, and against
// accepting bytes that are no valid response.
TEST_CASE("truncated and malformed responses fail") {
  struct Case {
    const char* answer;
    bool reset;
    SendFailure failure;
  };
  const Case cases[] = {
      {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nok", false,
       SendFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n"
       "2\r\nok\r\n",
       false, SendFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nId: a\r\n\r\nok", true, SendFailure::kBroken},
      {"HTTP/1.1 200 OK\r\nId", false, SendFailure::kBroken},
      {"", false, SendFailure::kBroken},
      {"garbage\r\n\r\n", false, SendFailure::kMalformed},
      {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok",
       false, SendFailure::kMalformed},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
       "Content-Length: 2\r\n\r\nok",
       false, SendFailure::kMalformed},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", false,
       SendFailure::kMalformed},
  };
  for (const Case& c : cases) {
    INFO(c.answer);
    const auto results = SendRequests({c.answer}, c.reset, {"a"});
    REQUIRE(results[0].failure);
    CHECK(*results[0].failure == c.failure);
  }
}

// Guards against passing on such a status, and against waiting for another
// response after it as after an interim one.
TEST_CASE("a response with a status outside HTTP is malformed") {
  const std::string sound = kOkResponse;
  for (const char* status : runtime::kMalformedStatuses) {
    INFO(status);
    const std::string malformed = "HTTP/1.1 " + std::string(status) +
                                  "\r\nId: a\r\nContent-Length: 0\r\n\r\n";
    const auto results = SendRequests({malformed + sound}, false, {"a"});
    CHECK(results[0].failure == SendFailure::kMalformed);
  }
}

// Guards against passing such a line on, and against a body of another length
// than the endpoint meant.
TEST_CASE("a response with a malformed name of a field is malformed") {
  for (const std::string& answer :
       runtime::ResponsesWith(runtime::kSoundField, "Id: a\r\n"))
    CHECK_FALSE(SendRequests({answer}, false, {"a"})[0].failure);
  for (const std::string& field : runtime::kMalformedFields) {
    INFO(field);
    for (const std::string& answer : runtime::ResponsesWith(field, "Id: a\r\n"))
      CHECK(SendRequests({answer}, false, {"a"})[0].failure ==
            SendFailure::kMalformed);
  }
}

// Guards against taking the late response to an earlier request for the
// response to the current one.
TEST_CASE("a stale response to an earlier request is discarded") {
  const std::string late =
      "HTTP/1.1 200 OK\r\nId: old\r\nContent-Length: 3\r\n\r\nold";
  const auto results = SendRequests({late + kOkResponse}, false, {"a"});
  CHECK_FALSE(results[0].failure);
  CHECK(results[0].body == "ok");
}

// Guards against taking extra bytes after a complete response for the start of
// the next one.
TEST_CASE("a connection with extra bytes is not reused") {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  FakeEndpoint first({std::string(kOkResponse) + "extra"}, false);
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    CHECK(Send(pool, first.address(), "a").body == "ok");
    CHECK_FALSE(pool.TakeIdle(first.address(), "b", runtime::BootNow()));
  });
}

// Guards against passing on a success that lacks what makes it the endpoint's,
// and a refusal whose promise the endpoint did not give.
TEST_CASE("a response without what it needs to count fails") {
  const std::string id = "Id: a\r\nContent-Length: 2\r\n";
  struct Case {
    std::string head;
    bool is_usable;
  };
  const Case cases[] = {
      {"200 OK\r\n", true},
      {"200 OK\r\nUnsigned: 1\r\n", false},
      {"206 Partial Content\r\nUnsigned: 1\r\n", false},
      {"200 OK\r\nEncoded: 1\r\n", false},
      {"500 Internal Server Error\r\nUnsigned: 1\r\n", true},
      {"500 Internal Server Error\r\nEncoded: 1\r\n", true},
      {"503 Service Unavailable\r\nPromise: 1\r\n", false},
      {"503 Service Unavailable\r\nPromise: 1\r\nNot-Run: 1\r\n", true},
  };
  for (const Case& c : cases) {
    INFO(c.head);
    const auto results =
        SendRequests({"HTTP/1.1 " + c.head + id + "\r\nok"}, false, {"a"});
    CHECK(results[0].failure.has_value() == !c.is_usable);
    if (results[0].failure)
      CHECK(*results[0].failure == SendFailure::kMalformed);
  }
}

// Guards against taking the copy of a refusal, which names the request, for the
// refusal of its next send, which may run.
TEST_CASE("a copy of a refusal does not answer the request's next send") {
  const std::string refusal =
      "HTTP/1.1 503 Busy\r\nId: a\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  // Answers one connection, and leaves a second one without an answer.
  FakeEndpoint endpoint({refusal, refusal + kOkResponse}, false);
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    CHECK(Send(pool, endpoint.address(), "a").status == 503);
    const TestCodec codec;
    CallerRequest request;
    request.method = "GET";
    request.target = "/";
    request.attempt_id = "a";
    EndpointSend next(pool, codec, endpoint.address());
    CHECK_THROWS_AS(
        next.Open(request, {},
                  runtime::BootNow() + std::chrono::milliseconds(50)),
        SendError);
    CHECK_FALSE(next.connection_use().carried_request);
    CHECK(next.connection_use().number == 2);
    // The first connection stays in use for others.
    CHECK(pool.TakeIdle(endpoint.address(), "b", runtime::BootNow()));
  });
}

// Guards against taking the copy of any complete response, not only of a
// refusal, for the response to the request's next send.
TEST_CASE("an answered request does not come to its connection again") {
  for (const char* status : {"200 OK", "500 Internal Server Error"}) {
    INFO(status);
    const std::string answer = "HTTP/1.1 " + std::string(status) +
                               "\r\nId: a\r\nContent-Length: 2\r\n\r\nok";
    runtime::WorkerPool workers(1);
    common::MetricRegistry counters;
    FakeEndpoint endpoint({answer, answer + answer}, false);
    workers.Run([&] {
      ConnectionPool pool({}, counters);
      CHECK(Send(pool, endpoint.address(), "a").body == "ok");
      CHECK_FALSE(pool.TakeIdle(endpoint.address(), "a", runtime::BootNow()));
      CHECK(pool.TakeIdle(endpoint.address(), "b", runtime::BootNow()));
    });
  }
}

// Guards against a refusal that names no request, on a connection that has
// already brought an answer too many.
TEST_CASE("a refusal without a name does not count after a stray response") {
  const std::string stray =
      "HTTP/1.1 503 Busy\r\nId: z\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  const std::string unnamed =
      "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n";
  CHECK(SendRequests({stray + unnamed}, false, {"a"})[0].failure ==
        SendFailure::kMalformed);
  CHECK_FALSE(SendRequests({unnamed}, false, {"a"})[0].failure);
}

TEST_CASE("an idle connection is reused for the next request") {
  const auto results = SendRequests(
      {kOkResponse,
       "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 6\r\n\r\nsecond"},
      false, {"a", "b"});
  CHECK(results[0].body == "ok");
  CHECK(results[1].body == "second");
}

TEST_CASE("a refused connection is reported as not connected") {
  runtime::WorkerPool workers(1);
  common::MetricRegistry counters;
  workers.Run([&] {
    ConnectionPool pool({}, counters);
    const TestCodec codec;
    EndpointSend send(pool, codec, "127.0.0.1:1");
    CallerRequest request;
    request.method = "GET";
    request.target = "/";
    try {
      send.Open(request, {}, runtime::BootNow() + std::chrono::seconds(1));
      FAIL("no error");
    } catch (const SendError& error) {
      CHECK(error.failure() == SendFailure::kNotConnected);
    }
    CHECK_FALSE(send.sent());
  });
}

}  // namespace
}  // namespace jujuberock::forward
