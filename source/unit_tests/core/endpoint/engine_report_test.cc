#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "core/endpoint/engine_client.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"

namespace jujuberock::endpoint {
namespace {

const std::string kHead = "HTTP/1.1 200 OK\r\n";

std::string WithLength(const std::string& body) {
  return kHead + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
         body;
}

std::string Deep(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

// Makes a call to an engine that sends `answer`. Returns whether it succeeded;
// any failure but a malformed answer is an error of the test.
template <typename Call>
bool Succeeds(const std::string& answer, Call call) {
  runtime::WorkerPool workers(1);
  forward::FakeEndpoint peer({answer}, false);
  bool succeeded = true;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient engine(http);
    try {
      call(engine, *runtime::Address::Parse(peer.address()));
    } catch (const common::Error& error) {
      CHECK(error.code() == common::ResultCode::kProtocolError);
      succeeded = false;
    }
  });
  return succeeded;
}

using Caller = void (*)(EngineClient&, const runtime::Address&);

void ReadLoad(EngineClient& engine, const runtime::Address& address) {
  engine.Load(address);
}
void ReadEvents(EngineClient& engine, const runtime::Address& address) {
  engine.Events(address, 0);
}
void ReadOrder(EngineClient& engine, const runtime::Address& address) {
  engine.ReadOrder(address);
}
void ReadStream(EngineClient& engine, const runtime::Address& address) {
  EngineStream stream = engine.Generate(address, {}, std::chrono::seconds(5));
  while (stream.Next(std::chrono::seconds(5))) {
  }
}

std::string InEvent(const std::string& data) {
  return "data: " + data + "\n\n";
}

// Answers that are valid but for `odd`, one for each field that takes it.
struct OddAnswer {
  Caller call;
  std::string body;
};

std::vector<OddAnswer> AnswersWith(const std::string& odd) {
  return {
      {ReadLoad, odd},
      {ReadLoad, R"({"running":)" + odd + "}"},
      {ReadLoad, R"({"version":)" + odd + "}"},
      {ReadLoad, R"({"running":1,"x":)" + odd + "}"},
      {ReadEvents, odd},
      {ReadEvents, R"({"first":0,"next":1,"events":)" + odd + "}"},
      {ReadEvents, R"({"first":0,"next":1,"events":[)" + odd + "]}"},
      {ReadEvents,
       R"({"first":0,"next":1,"events":[{"seq":0,"op":"add","key":)" + odd +
           "}]}"},
      {ReadOrder, odd},
      {ReadOrder, R"({"fence":1,"model":)" + odd + "}"},
      {ReadStream, InEvent(odd)},
      {ReadStream, InEvent(R"({"done":)" + odd + "}")},
      {ReadStream, InEvent(R"({"done":true,"reason":)" + odd + "}")},
      {ReadStream, InEvent(R"({"offset":0,"text":)" + odd + "}")},
      {ReadStream, InEvent(R"({"offset":0,"text":"a","x":)" + odd + "}")},
  };
}

// Guards against an answer that overflows the stack of the fiber that reads it,
// or fails more than its own call.
TEST_CASE("an odd answer of an engine fails the call") {
  std::vector<std::string> odd = {"1e400", "\"\xff\"", R"("\ud800")", "nul"};
  for (const size_t depth : {65U, 10'000U, 200'000U})
    odd.push_back(Deep(depth));
  for (const std::string& value : odd) {
    for (const OddAnswer& answer : AnswersWith(value)) {
      INFO(answer.body.substr(0, 80));
      CHECK_FALSE(Succeeds(WithLength(answer.body), answer.call));
    }
  }
}

// Guards against numbers that overflow when times and counts are computed from
// them.
TEST_CASE("a load report with a number beyond any range fails the call") {
  for (const char* field : {"as_of_ms", "running", "queued_tokens", "slots",
                            "kv_capacity_blocks", "kv_used_blocks"}) {
    for (const char* number :
         {"1e300", "-1e300", "9223372036854775807", "-9223372036854775808",
          "18446744073709551615"}) {
      const std::string body =
          R"({")" + std::string(field) + R"(":)" + number + "}";
      INFO(body);
      CHECK_FALSE(Succeeds(WithLength(body), ReadLoad));
    }
  }
  CHECK(Succeeds(WithLength(R"({"as_of_ms":1764910000000,"running":0})"),
                 ReadLoad));
}

// Guards against a limit that valid answers reach.
TEST_CASE("a valid answer of an engine is read") {
  CHECK(Succeeds(WithLength(R"({"running":1,"x":[[{}]]})"), ReadLoad));
  CHECK(Succeeds(WithLength(R"({"first":0,"next":1,"events":[)"
                            R"({"seq":0,"op":"add","key":"k"}]})"),
                 ReadEvents));
  CHECK(Succeeds(WithLength(R"({"fence":1})"), ReadOrder));
  CHECK(Succeeds(WithLength(InEvent(R"({"offset":0,"text":"[[[["})") +
                            InEvent(R"({"done":true})")),
                 ReadStream));
}

}  // namespace
}  // namespace jujuberock::endpoint
