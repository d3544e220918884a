#include "core/common/json_number.h"

#include <limits>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::common {
namespace {

using Json = nlohmann::json;

TEST_CASE("non-negative integers up to the maximum are returned") {
  CHECK(GetUnsigned(Json::parse("0")) == 0);
  CHECK(GetUnsigned(Json::parse("7"), 7) == 7);
  CHECK(GetUnsigned(Json::parse("18446744073709551615")) ==
        std::numeric_limits<uint64_t>::max());
  CHECK(GetUnsignedOrZero(Json::parse(R"({"a":7})"), "a") == 7);
  CHECK(GetUnsignedOrZero(Json::parse("{}"), "a") == 0);
}

// Guards against numbers that are converted silently: a negative one to a huge
// one, and one beyond the range to an undefined one.
TEST_CASE("other numbers and types are errors") {
  for (const char* text : {"-1", "1.5", "1e3", "1e30", "18446744073709551616",
                           "\"7\"", "true", "null", "[]", "[7]"}) {
    INFO(text);
    const Json value = Json::parse(text);
    CHECK_THROWS_AS(GetUnsigned(value), Error);
    CHECK_THROWS_AS(GetUnsignedOrZero(Json{{"a", value}}, "a"), Error);
  }
  CHECK_THROWS_AS(GetUnsigned(Json::parse("8"), 7), Error);
  CHECK_THROWS_AS(GetUnsigned(Json::parse("9223372036854775808"), kMaxInt64),
                  Error);
}

}  // namespace
}  // namespace jujuberock::common
