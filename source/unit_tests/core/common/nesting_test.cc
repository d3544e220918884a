#include "core/common/nesting.h"

#include <catch2/catch.hpp>

#include <string>

namespace jujuberock::common {
namespace {

std::string Arrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Objects(size_t depth) {
  std::string text;
  for (size_t level = 0; level < depth; ++level)
    text += R"({"a":)";
  return text + "0" + std::string(depth, '}');
}

// Each case guards against text that a recursive reader would follow too deep.
TEST_CASE("arrays and objects count as levels up to the limit") {
  REQUIRE_FALSE(ExceedsNesting("", 0));
  REQUIRE_FALSE(ExceedsNesting("1", 0));
  REQUIRE(ExceedsNesting("[]", 0));
  for (const size_t limit : {1U, 2U, 64U}) {
    REQUIRE_FALSE(ExceedsNesting(Arrays(limit), limit));
    REQUIRE(ExceedsNesting(Arrays(limit + 1), limit));
    REQUIRE_FALSE(ExceedsNesting(Objects(limit), limit));
    REQUIRE(ExceedsNesting(Objects(limit + 1), limit));
  }
  REQUIRE(ExceedsNesting(R"({"a":[{"b":[]}]})", 3));
  REQUIRE_FALSE(ExceedsNesting(R"({"a":[{"b":[]}]})", 4));
}

// Guards against a limit on how many values there are instead of how deep.
TEST_CASE("values beside each other do not add levels") {
  std::string wide = "[";
  for (int i = 0; i < 1000; ++i)
    wide += R"({"a":[]},)";
  REQUIRE_FALSE(ExceedsNesting(wide + "0]", 3));
  REQUIRE(ExceedsNesting(wide + "[[[]]]]", 3));
}

// Guards against both refusing text with brackets in a string and missing the
// brackets after a string with escapes.
TEST_CASE("brackets in strings do not count and escapes do not end a string") {
  REQUIRE_FALSE(ExceedsNesting(R"(["[[[[{{{{"])", 1));
  REQUIRE_FALSE(ExceedsNesting(R"(["\"[[[["])", 1));
  REQUIRE(ExceedsNesting(R"(["\\",[[]]])", 2));
  REQUIRE(ExceedsNesting(R"(["]]]\"]]]",[[]]])", 2));
  REQUIRE(ExceedsNesting(R"({"\u005b":[[]]})", 2));
  REQUIRE_FALSE(ExceedsNesting(R"({"[\u005b[":[]})", 2));
}

// Guards against reading past the end of a text that is cut off, and against a
// depth below zero that hides later levels.
TEST_CASE("text that is not JSON is read to its end") {
  REQUIRE_FALSE(ExceedsNesting("\"", 0));
  REQUIRE_FALSE(ExceedsNesting("\"\\", 0));
  REQUIRE_FALSE(ExceedsNesting("\"[[[[", 0));
  REQUIRE_FALSE(ExceedsNesting("\xff\xfe\x01", 0));
  REQUIRE_FALSE(ExceedsNesting("]]]][", 1));
  REQUIRE(ExceedsNesting("]]]][[", 1));
}

// Guards against a check that itself recurses or takes quadratic time.
TEST_CASE("a text of some megabytes is checked in one pass") {
  constexpr size_t kDepth = 4'000'000;
  REQUIRE(ExceedsNesting(Arrays(kDepth)));
  REQUIRE(ExceedsNesting(Arrays(kDepth), kDepth - 1));
  REQUIRE_FALSE(ExceedsNesting(Arrays(kDepth), kDepth));
}

}  // namespace
}  // namespace jujuberock::common
