#include "core/platform/json_slices.h"

#include <catch2/catch.hpp>

#include <string>

namespace jujuberock::platform {
namespace {

using Texts = std::vector<std::string_view>;

// Guards against a part that is split at a bracket, comma or quote inside a
// string.
TEST_CASE("the parts of an array are its elements") {
  CHECK(SplitArray("[]") == Texts{});
  CHECK(SplitArray(" [ 1 , -2.5e3,null ] ") == Texts{"1", "-2.5e3", "null"});
  CHECK(SplitArray(R"(["a,]","\"[",{"k":[1,"}"]},[[],[]]])") ==
        Texts{R"("a,]")", R"("\"[")", R"({"k":[1,"}"]})", "[[],[]]"});
}

TEST_CASE("the parts of an object are its members") {
  const auto members = SplitObject(R"( {"a" : 1, "b\"}":{"c":"]"},"":[ ]} )");
  REQUIRE(members);
  REQUIRE(members->size() == 3);
  CHECK((*members)[0].name == "a");
  CHECK((*members)[0].value == "1");
  CHECK((*members)[1].name == R"(b\"})");
  CHECK((*members)[1].value == R"({"c":"]"})");
  CHECK((*members)[2].name.empty());
  CHECK((*members)[2].value == "[ ]");
  CHECK(SplitObject("{}")->empty());
}

// Guards against taking a part of a text for the whole of it.
TEST_CASE("a text that is not one array or object has no parts") {
  for (const char* text :
       {"", " ", "1", "[", "]", "[1", "[1,", "[1,]", "[,1]", "[1 2]", "[]]",
        "[][]", "[[]", "[\"a]", "[\"\\", "{}", "[1}", "[1]x", "[:]"}) {
    INFO(text);
    CHECK_FALSE(SplitArray(text));
  }
  for (const char* text :
       {"", "{", "}", "{1:2}", "{a:1}", "{\"a\"}", "{\"a\":}", "{\"a\":1",
        "{\"a\":1,}", "{\"a\" 1}", "{\"a\":1 \"b\":2}", "{}{}", "[]", "{\"a",
        "{\"a\":1]"}) {
    INFO(text);
    CHECK_FALSE(SplitObject(text));
  }
}

// Guards against recursion.
TEST_CASE("a part of any nesting depth is one part") {
  const std::string deep =
      std::string(2'000'000, '[') + std::string(2'000'000, ']');
  CHECK(SplitArray("[" + deep + ",1]")->size() == 2);
  CHECK(SplitObject(R"({"a":)" + deep + R"(,"b":1})")->size() == 2);
}

}  // namespace
}  // namespace jujuberock::platform
