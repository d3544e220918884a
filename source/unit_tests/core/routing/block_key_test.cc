#include "core/routing/block_key.h"

#include <catch2/catch.hpp>
#include <map>

#include "core/routing/conversation_owners.h"

namespace jujuberock::routing {
namespace {

TEST_CASE("only whole blocks have keys and each key covers all before it") {
  const PromptScope scope{"team", "model", "", "v1"};
  const std::string prompt(3 * kBlockBytes - 1, 'x');
  const auto keys = ChainedBlockKeys(scope, prompt);
  REQUIRE(keys.size() == 2);
  CHECK(keys[0] != keys[1]);
  std::string changed = prompt;
  changed[0] = 'y';
  const auto other = ChainedBlockKeys(scope, changed);
  CHECK(other[0] != keys[0]);
  CHECK(other[1] != keys[1]);
  CHECK(ChainedBlockKeys(scope, prompt + "x")[1] == keys[1]);
}

// Equal keys across scopes would let a team read another team's blocks, or a
// model use blocks computed with other weights.
TEST_CASE("every part of the scope separates prompts") {
  const std::string prompt(kBlockBytes, 'x');
  const std::vector<PromptScope> scopes = {
      {"t", "m", "a", "v"}, {"u", "m", "a", "v"}, {"t", "n", "a", "v"},
      {"t", "m", "b", "v"}, {"t", "m", "a", "w"}, {"tm", "", "a", "v"},
      {"t", "ma", "", "v"}, {"", "tm", "a", "v"}};
  for (size_t i = 0; i < scopes.size(); ++i) {
    for (size_t k = i + 1; k < scopes.size(); ++k) {
      CHECK(ChainedBlockKeys(scopes[i], prompt) !=
            ChainedBlockKeys(scopes[k], prompt));
    }
  }
}

TEST_CASE("keys round-trip through their text form") {
  const BlockKey key{0x0123456789abcdefULL, 0xfULL};
  CHECK(ToHex(key) == "0123456789abcdef000000000000000f");
  CHECK(ParseBlockKey(ToHex(key)) == key);
  CHECK_FALSE(ParseBlockKey("0123"));
  CHECK_FALSE(ParseBlockKey("0123456789ABCDEF000000000000000f"));
}

TEST_CASE("one conversation per owner, and no owner far above the average") {
  ConversationOwners owners;
  owners.SetHosts({"h1", "h2", "h3", "h4"});
  std::map<std::string, int> count;
  for (uint64_t i = 0; i < 400; ++i) {
    const auto now = common::TimePoint(std::chrono::milliseconds(i * 10));
    const std::string owner = owners.OwnerOf(i * 7919, now);
    CHECK_FALSE(owner.empty());
    ++count[owner];
  }
  for (const auto& [host, queries] : count)
    CHECK(queries <= 130);
  // A single busy conversation is spread once its owner is overloaded.
  ConversationOwners busy;
  busy.SetHosts({"h1", "h2", "h3", "h4"});
  std::map<std::string, int> spread;
  for (int i = 0; i < 400; ++i)
    ++spread[busy.OwnerOf(1, common::TimePoint())];
  CHECK(spread.size() > 1);
}

TEST_CASE("a host that leaves moves only its own conversations") {
  ConversationOwners before;
  ConversationOwners after;
  before.SetHosts({"h1", "h2", "h3", "h4"});
  after.SetHosts({"h1", "h2", "h3"});
  for (uint64_t i = 0; i < 30; ++i) {
    const common::TimePoint now{std::chrono::minutes(i)};
    const std::string owner = before.OwnerOf(i, now);
    if (owner != "h4")
      CHECK(after.OwnerOf(i, now) == owner);
  }
}

}  // namespace
}  // namespace jujuberock::routing
