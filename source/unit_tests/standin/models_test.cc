#include <catch2/catch.hpp>
#include <string>

#include "core/common/hash.h"
#include "standin/batch_model.h"
#include "standin/block_tiers.h"
#include "standin/platform_store.h"
#include "standin/prefix_cache.h"
#include "standin/token_bucket.h"

namespace jujuberock::standin {
namespace {

using std::chrono::milliseconds;

// Guards against a platform that accepts two writers of the same version, on
// which every other guarantee depends.
TEST_CASE("a conditional write takes effect once for each version") {
  PlatformStore store;
  REQUIRE(store.Write("team", "a", 0, "first", {{"x", 1}}) == 1);
  REQUIRE_FALSE(store.Write("team", "a", 0, "second", {{"x", 2}}));
  REQUIRE(store.Write("team", "a", 1, "third", {{"x", 3}}) == 2);
  REQUIRE_FALSE(store.Write("team", "a", 1, "late", {{"x", 4}}));
  REQUIRE(store.Find("team", "a")->token == "third");
}

// Guards against deletions that a watch does not show, and against a new
// object that takes an old version number.
TEST_CASE("a deletion is a tombstone with a version of its own") {
  PlatformStore store;
  store.Write("team", "a", 0, "t", 1);
  REQUIRE_FALSE(store.Delete("team", "a", 9));
  REQUIRE(store.Delete("team", "a", 1) == 2);
  REQUIRE(store.Find("team", "a") == nullptr);
  REQUIRE(store.List("team").empty());
  REQUIRE(store.ChangesSince("team", 1).at(0)->deleted);
  REQUIRE(store.Write("team", "a", 0, "t", 2) == 3);
}

// Guards against a batch in which prompts cost nothing, so that no policy
// could be told from another.
TEST_CASE("a prompt delays its first token by its length") {
  BatchModel model({.slots = 2,
                    .prefill_tokens_per_s = 10000,
                    .prefill_chunk_tokens = 1000,
                    .decode_ms = 5,
                    .decode_ms_per_request = 1});
  model.Submit({"a", 2000, 2, 0});
  REQUIRE(model.BeginStep() == milliseconds(100));
  REQUIRE(model.FinishStep().empty());
  REQUIRE(model.BeginStep() == milliseconds(105));
  REQUIRE(model.FinishStep().size() == 1);
  model.Submit({"b", 0, 1, 0});
  REQUIRE(model.BeginStep() == milliseconds(6));
  REQUIRE(model.FinishStep().size() == 2);
  REQUIRE_FALSE(model.BeginStep());
}

TEST_CASE("waiting requests start by priority, then by arrival") {
  BatchModel model({.slots = 1});
  model.Submit({"low", 0, 1, 0});
  model.Submit({"high", 0, 1, 5});
  model.Submit({"high2", 0, 1, 5});
  REQUIRE(model.Cancel("high2"));
  std::string order;
  while (model.BeginStep())
    order += model.FinishStep().at(0).id + " ";
  REQUIRE(order == "high low ");
}

// Guards against a cache that never evicts, with which no prompt would ever
// need a restore, and against events that hide an eviction.
TEST_CASE("the prefix cache evicts the least recently used block") {
  PrefixCache cache(2, 100);
  const common::TimePoint now;
  cache.Put("a", {{"t", "v"}, "1"}, now);
  cache.Put("b", {{"t", "v"}, "2"}, now);
  cache.Use("a");
  cache.Put("c", {{"t", "v"}, "3"}, now);
  REQUIRE(cache.Find("a"));
  REQUIRE_FALSE(cache.Find("b"));
  const auto events = cache.EventsSince(2, now);
  REQUIRE(events.size() == 2);
  REQUIRE(events[0].key == "b");
  REQUIRE_FALSE(events[0].added);
  cache.DropEvents();
  REQUIRE(cache.first_sequence() == 4);
}

TEST_CASE("a store moves old blocks to disk and then evicts them") {
  BlockTiers tiers({.memory_bytes = 20, .disk_bytes = 10});
  const std::string body(10, 'x');
  for (const char* key : {"a", "b", "c", "d"})
    REQUIRE(tiers.Seal(key, {"t", "v", common::Hash128Hex(body), body}));
  REQUIRE(tiers.GenerationOf("a") == 0);
  REQUIRE(tiers.Read("b").from_disk);
  REQUIRE_FALSE(tiers.Read("d").from_disk);
  tiers.Corrupt("d");
  const auto corrupt = tiers.Read("d").block;
  REQUIRE(common::Hash128Hex(corrupt->body) != corrupt->checksum);
  const uint64_t generation = tiers.GenerationOf("d");
  REQUIRE(tiers.Seal("d", {"t", "v", "", body}));
  REQUIRE(tiers.GenerationOf("d") > generation);
  tiers.Occupy(20);
  REQUIRE(tiers.used_bytes() == 0);
}

// Guards against a store whose link is accounted in another unit than its
// size, with which no restore could be predicted.
TEST_CASE("a scaled store counts the size that its bodies stand for") {
  BlockTiers tiers(
      {.memory_bytes = 2000, .disk_bytes = 0, .bytes_per_body_byte = 100});
  REQUIRE(tiers.Seal("a", {"t", "v", "", std::string(10, 'x')}));
  REQUIRE(tiers.used_bytes() == 1000);
  REQUIRE(tiers.Seal("b", {"t", "v", "", std::string(11, 'x')}));
  REQUIRE(tiers.GenerationOf("a") == 0);
  REQUIRE_FALSE(tiers.Seal("c", {"t", "v", "", std::string(21, 'x')}));
  REQUIRE(tiers.first_event() == 0);
  REQUIRE(tiers.next_event() == 3);
}

TEST_CASE("a token bucket delays what exceeds its rate") {
  TokenBucket bucket(1000, 100);
  const common::TimePoint now(std::chrono::hours(1));
  REQUIRE(bucket.Reserve(100, now) == common::Duration::zero());
  REQUIRE(bucket.Reserve(100, now) == milliseconds(100));
  REQUIRE(bucket.Reserve(100, now) == milliseconds(200));
  REQUIRE_FALSE(bucket.TryTake(now));
  REQUIRE(bucket.TryTake(now + milliseconds(201)));
}

}  // namespace
}  // namespace jujuberock::standin
