#include "core/dispatch/part_cache.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

Prompt MakePrompt(std::vector<PromptPart> parts) {
  Prompt prompt;
  prompt.parts = std::move(parts);
  for (const PromptPart& part : prompt.parts)
    prompt.prompt_tokens += part.tokens;
  return prompt;
}

TEST_CASE("a part counts as cached only after cached parts") {
  PartCache cache(1000);
  cache.Insert(CachedPartsOf("s", MakePrompt({{"b", 100}})));
  CHECK(cache.CachedTokens(
            CachedPartsOf("s", MakePrompt({{"a", 50}, {"b", 100}}))) == 0);
  cache.Insert(CachedPartsOf("s", MakePrompt({{"a", 50}})));
  CHECK(cache.CachedTokens(
            CachedPartsOf("s", MakePrompt({{"a", 50}, {"b", 100}}))) == 150);
}

// Guards against counting the cached parts of one team for another team.
TEST_CASE("parts with another salt do not count as cached") {
  PartCache cache(1000);
  cache.Insert(CachedPartsOf("team/a", MakePrompt({{"p", 100}})));
  CHECK(cache.CachedTokens(CachedPartsOf("team/b", MakePrompt({{"p", 100}}))) ==
        0);
}

TEST_CASE("the least recently used part is evicted first") {
  PartCache cache(200);
  cache.Insert(CachedPartsOf("s", MakePrompt({{"a", 100}})));
  cache.Insert(CachedPartsOf("s", MakePrompt({{"b", 100}})));
  cache.Insert(CachedPartsOf("s", MakePrompt({{"a", 100}})));
  cache.Insert(CachedPartsOf("s", MakePrompt({{"c", 100}})));
  CHECK(cache.CachedTokens(CachedPartsOf("s", MakePrompt({{"a", 100}}))) ==
        100);
  CHECK(cache.CachedTokens(CachedPartsOf("s", MakePrompt({{"b", 100}}))) == 0);
}

}  // namespace
}  // namespace jujuberock::dispatch
