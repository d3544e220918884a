#include "core/journal/record.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::journal {
namespace {

std::string HeadWith(const std::string& records,
                     const std::string& segments = "[]") {
  return R"({"format":1,"term":3,"owner":"h","floor":0,"next_object":1,)"
         R"("indexes":[],"segments":)" +
         segments + R"(,"records":)" + records + "}";
}

std::string IndexWith(const std::string& segment) {
  return R"({"format":1,"segments":[)" + segment + "]}";
}

void CheckRefused(const std::string& body) {
  INFO(body.substr(0, 100));
  CHECK_THROWS_AS(ParseHead(body), common::Error);
  CHECK_THROWS_AS(ParseSegment(body), common::Error);
  CHECK_THROWS_AS(ParseIndex(body), common::Error);
  CHECK_THROWS_AS(ParseLayout(body), common::Error);
}

// Guards against a stored object that ends the process, or whose error is of
// another type than the one after which the shard tries again.
TEST_CASE("odd stored objects are refused on a fiber") {
  runtime::WorkerPool workers(1);
  std::vector<std::string> odd = {"1e400", "\"\xff\"", "nul"};
  for (const size_t depth : {65U, 10'000U, 200'000U})
    odd.push_back(std::string(depth, '[') + std::string(depth, ']'));
  workers.Run([&odd] {
    CheckRefused("");
    for (const std::string& value : odd) {
      CheckRefused(value);
      CheckRefused(R"({"format":)" + value + "}");
      CheckRefused(HeadWith("[" + value + "]", "[" + value + "]"));
      CheckRefused(IndexWith(value));
      CheckRefused(IndexWith("[\"name\",1," + value + "]"));
      CheckRefused(R"({"format":1,"shards":)" + value + "}");
    }
  });
}

// Guards against a claimed length that overflows, or that requests more memory
// than there is.
TEST_CASE("lengths that the content does not have are refused") {
  for (const char* count : {"1", "2305843009213693952", "2305843009213693953",
                            "18446744073709551615", "-1", "1e300"}) {
    INFO(count);
    CHECK_THROWS_AS(
        ParseIndex(IndexWith("[\"name\"," + std::string(count) + ",\"\"]")),
        common::Error);
    CHECK_THROWS_AS(ParseSegment(R"({"format":1,"records":[["t","k","h",0,2,)"
                                 R"("host","call",1,200,"","",)" +
                                 std::string(count) + R"(,""]]})"),
                    common::Error);
  }
  CHECK(ParseIndex(IndexWith(R"(["name",0,""])")).size() == 1);
}

}  // namespace
}  // namespace jujuberock::journal
