#include "platform/json_slices.h"

#include <string>

#include <catch2/catch.hpp>

namespace jujuberock::platform_adapter {
namespace {

using Slices = std::vector<std::string_view>;

TEST_CASE("an object is cut into its members") {
  const auto members =
      SliceObject(R"( { "a" : 1 , "b":{"c":[1,2]},"a":"x" } )");
  REQUIRE(members);
  REQUIRE(members->size() == 3);
  CHECK((*members)[0].name == "a");
  CHECK((*members)[0].value == "1");
  CHECK(FindMember(*members, "b") == R"({"c":[1,2]})");
  CHECK(FindMember(*members, "a") == R"("x")");
  CHECK_FALSE(FindMember(*members, "c"));
  CHECK(SliceObject("{}")->empty());
}

TEST_CASE("an array is cut into its elements") {
  CHECK(SliceArray("[1, [2,3] ,{\"a\":4}]") ==
        Slices{"1", "[2,3]", "{\"a\":4}"});
  CHECK(SliceArray(" [ ] ")->empty());
}

TEST_CASE("brackets, commas and escaped quotes in strings cut nothing") {
  CHECK(SliceArray(R"(["],[","\"]","\\",3])") ==
        Slices{R"("],[")", R"("\"]")", R"("\\")", "3"});
  const auto members = SliceObject(R"({"a\"}":1,"b":2})");
  REQUIRE(members);
  CHECK((*members)[0].name == R"(a\"})");
  CHECK(FindMember(*members, "b") == "2");
}

// Guards against one value whose bytes can't be read making the others
// unreadable.
TEST_CASE("a malformed value is cut out like any other") {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  for (const std::string& value :
       {std::string("1e400"), std::string("NaN"), std::string("\"\xff\xfe\""),
        std::string("\"\\ud800\""), std::string("\xff"), std::string("a b"),
        std::string("{]"), std::string("\"a\nb\""), std::string(), deep}) {
    INFO(value.substr(0, 20));
    const std::string array = "[1," + value + ",2]";
    CHECK(SliceArray(array) == Slices{"1", value, "2"});
    const std::string object = "{\"a\":" + value + ",\"b\":2}";
    const auto members = SliceObject(object);
    REQUIRE(members);
    CHECK(FindMember(*members, "a") == value);
    CHECK(FindMember(*members, "b") == "2");
  }
  const auto members = SliceObject("{5:1,\xff,\"b\":2}");
  REQUIRE(members);
  CHECK(members->size() == 3);
  CHECK(FindMember(*members, "b") == "2");
}

// Guards against taking the beginning of an answer for the whole.
TEST_CASE("text that is not one whole object or array is not cut") {
  for (const char* text :
       {"", " ", "{", "{\"a\":1", "{\"a\":1,", "{\"a\":\"b", "{\"a\":\"b\\",
        "{\"a\":\"b\\\"}", "{\"a\":[1}", "{\"a\":1}}", "{\"a\":1}x",
        "{\"a\":1]", "[1]", "5", "null", "\xff"}) {
    INFO(text);
    CHECK_FALSE(SliceObject(text));
  }
  for (const char* text : {"", "[", "[1", "[1,", "[1}", "[1]]", "[[1]", "{}"}) {
    INFO(text);
    CHECK_FALSE(SliceArray(text));
  }
}

}  // namespace
}  // namespace jujuberock::platform_adapter
