#include "core/cache_store/client.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/runtime/http_client.h"
#include "core/runtime/worker_pool.h"
#include "unit_tests/core/forward/fake_endpoint.h"

namespace jujuberock::cache_store {
namespace {

// Returns whether a status call that is answered with `body` succeeds; any
// failure but a malformed answer is an error of the test.
bool StatusSucceeds(const std::string& body) {
  runtime::WorkerPool workers(1);
  forward::FakeEndpoint peer({"HTTP/1.1 200 OK\r\nContent-Length: " +
                              std::to_string(body.size()) + "\r\n\r\n" + body},
                             false);
  bool succeeded = true;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    try {
      Client(http).Status(*runtime::Address::Parse(peer.address()), 0);
    } catch (const common::Error& error) {
      CHECK(error.code() == common::ResultCode::kProtocolError);
      succeeded = false;
    }
  });
  return succeeded;
}

// Guards against an answer that overflows the stack of the fiber that reads it,
// or fails more than its own call.
TEST_CASE("an odd status of a cache store fails the call") {
  std::vector<std::string> odd = {"1e400", "\"\xff\"", R"("\ud800")", "nul"};
  for (const size_t depth : {65U, 10'000U, 200'000U})
    odd.push_back(std::string(depth, '[') + std::string(depth, ']'));
  for (const std::string& value : odd) {
    INFO(value.substr(0, 40));
    CHECK_FALSE(StatusSucceeds(value));
    CHECK_FALSE(StatusSucceeds(R"({"events":)" + value + "}"));
    CHECK_FALSE(StatusSucceeds(R"({"events":[)" + value + "]}"));
    CHECK_FALSE(
        StatusSucceeds(R"({"events":[{"op":"add","key":)" + value + "}]}"));
    CHECK_FALSE(
        StatusSucceeds(R"({"used_bytes":)" + value + R"(,"events":[]})"));
    CHECK_FALSE(StatusSucceeds(R"({"events":[],"x":)" + value + "}"));
  }
  CHECK(
      StatusSucceeds(R"({"used_bytes":1,"events":[{"op":"add","key":"k"}]})"));
}

}  // namespace
}  // namespace jujuberock::cache_store
