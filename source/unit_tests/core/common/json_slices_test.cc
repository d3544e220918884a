#include "core/common/json_slices.h"

#include <catch2/catch.hpp>

#include <string>

namespace jujuberock::common {
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

TEST_CASE("the last member with a name is found") {
  const auto members = SplitObject(R"({"a":1,"b":{"a":2},"a":"x"})");
  REQUIRE(members);
  CHECK(FindMember(*members, "a") == R"("x")");
  CHECK(FindMember(*members, "b") == R"({"a":2})");
  CHECK_FALSE(FindMember(*members, "c"));
}

// Guards against one member whose bytes can't be read hiding the others.
TEST_CASE("a malformed value is split off like any other") {
  const std::string deep =
      std::string(2'000'000, '[') + std::string(2'000'000, ']');
  for (const std::string& value :
       {std::string("1e400"), std::string("NaN"), std::string("\"\xff\xfe\""),
        std::string("\"\\ud800\""), std::string("\xff"), std::string("a b"),
        std::string(":"), std::string("{]"), std::string("\"a\nb\""),
        std::string("\"a,\" [1,2] 3"), std::string(), deep}) {
    INFO(value.substr(0, 20));
    const std::string object = "{\"a\": " + value + " ,\"b\":2}";
    const auto members = SplitMalformedObject(object);
    REQUIRE(members);
    CHECK(members->size() == 2);
    CHECK(FindMember(*members, "a") == value);
    CHECK(FindMember(*members, "b") == "2");
  }
}

TEST_CASE("a member without a name is split off") {
  for (const char* nameless : {"1:2", "a:1", "\"a\"", "\"a\" 1", "\xff", ""}) {
    INFO(nameless);
    const std::string object = "{\"b\":2," + std::string(nameless) + "}";
    const auto members = SplitMalformedObject(object);
    REQUIRE(members);
    REQUIRE(members->size() == 2);
    CHECK(FindMember(*members, "b") == "2");
    CHECK((*members)[1].name.empty());
    CHECK((*members)[1].value == nameless);
  }
}

TEST_CASE("a well-formed object is split as it is by SplitObject()") {
  const std::string object =
      R"( {"a" : 1, "b\"}":{"c":"]"},"":[ ],"d":"x\\" } )";
  const auto expected = SplitObject(object);
  const auto members = SplitMalformedObject(object);
  REQUIRE(expected);
  REQUIRE(members);
  REQUIRE(members->size() == expected->size());
  for (size_t i = 0; i < members->size(); ++i) {
    CHECK((*members)[i].name == (*expected)[i].name);
    CHECK((*members)[i].value == (*expected)[i].value);
  }
  CHECK(SplitMalformedObject("{}")->empty());
}

// Guards against taking the beginning of a text for the whole of it.
TEST_CASE("a text without the outline of an object has no members") {
  for (const char* text : {"",
                           " ",
                           "{",
                           "}",
                           "{\"a\":1",
                           "{\"a\":1,",
                           "{\"a\":\"b",
                           "{\"a\":\"b\\",
                           "{\"a\":\"b\\\"}",
                           "{\"a\":[1}",
                           "{\"a\":1}}",
                           "{}{}",
                           "{\"a\":1}x",
                           "{\"a\":1]",
                           "{\"a",
                           "[]",
                           "[1]",
                           "5",
                           "null",
                           "\xff"}) {
    INFO(text);
    CHECK_FALSE(SplitMalformedObject(text));
  }
}

}  // namespace
}  // namespace jujuberock::common
