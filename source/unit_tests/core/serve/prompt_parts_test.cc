#include "core/serve/prompt_parts.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include "core/routing/block_key.h"

namespace jujuberock::serve {
namespace {

constexpr const char* kService = "asistente";

std::string Block(char fill) {
  return std::string(routing::kBlockBytes, fill);
}

suspects::Fingerprint PartOf(char fill) {
  return PromptPartsOf(kService, Block(fill) + "tail").front();
}

bool Contains(const std::vector<suspects::Fingerprint>& parts, char fill) {
  return std::find(parts.begin(), parts.end(), PartOf(fill)) != parts.end();
}

// Guards against suspecting what belongs to one request alone.
TEST_CASE("the last block of a prompt is never a part") {
  CHECK(PromptPartsOf(kService, "").empty());
  CHECK(PromptPartsOf(kService, "short").empty());
  CHECK(PromptPartsOf(kService, Block('a')).empty());
  CHECK(PromptPartsOf(kService, Block('a') + "tail") ==
        std::vector{PartOf('a')});
  CHECK(PromptPartsOf(kService, Block('a') + Block('b')) ==
        std::vector{PartOf('a')});
}

// Guards against fingerprints that depend on what is before a part: then no two
// requests with the part would have it in common.
TEST_CASE("a part has the same fingerprint whatever is before it") {
  const auto first = PromptPartsOf(kService, Block('a') + Block('x') + "1");
  const auto second =
      PromptPartsOf(kService, Block('b') + Block('c') + Block('x') + "2");
  CHECK(first.size() == 2);
  CHECK(second.size() == 3);
  CHECK(Contains(first, 'x'));
  CHECK(Contains(second, 'x'));
  CHECK_FALSE(Contains(second, 'a'));
}

TEST_CASE("a part that a prompt repeats is listed once") {
  CHECK(PromptPartsOf(kService, Block('a') + Block('a') + "tail").size() == 1);
}

TEST_CASE("the same text is another part for another service") {
  CHECK(PromptPartsOf(kService, Block('a') + "tail") !=
        PromptPartsOf("other", Block('a') + "tail"));
}

}  // namespace
}  // namespace jujuberock::serve
