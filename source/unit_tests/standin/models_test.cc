#include <catch2/catch.hpp>
#include <string>

#include "core/common/hash.h"
#include "standin/batch_scheduler.h"
#include "standin/block_tiers.h"
#include "standin/platform_store.h"
#include "standin/prefix_cache.h"
#include "standin/token_bucket.h"

namespace jujuberock::standin {
namespace {

using std::chrono::milliseconds;

// Guards against two conditional writes on the same version that both succeed.
// Every other guarantee depends on this one.
TEST_CASE("a conditional write takes effect once for each version") {
  PlatformStore store;
  REQUIRE(store.Write("team", "a", 0, "first", R"({"x":1})") == 1);
  REQUIRE_FALSE(store.Write("team", "a", 0, "second", R"({"x":2})"));
  REQUIRE(store.Write("team", "a", 1, "third", R"({"x":3})") == 2);
  REQUIRE_FALSE(store.Write("team", "a", 1, "late", R"({"x":4})"));
  REQUIRE(store.Find("team", "a")->token == "third");
}

// Guards against deletions that a watch does not report, and against a
// recreated object that reuses a version number.
TEST_CASE("a deletion leaves a tombstone with a new version") {
  PlatformStore store;
  store.Write("team", "a", 0, "t", "1");
  REQUIRE_FALSE(store.Delete("team", "a", 9));
  REQUIRE(store.Delete("team", "a", 1) == 2);
  REQUIRE(store.Find("team", "a") == nullptr);
  REQUIRE(store.List("team").empty());
  REQUIRE(store.ChangesSince("team", 1).at(0)->deleted);
  REQUIRE(store.Write("team", "a", 0, "t", "2") == 3);
}

// Guards against a simulation in which prefill is free: all routing policies
// would then perform the same.
TEST_CASE("prefill delays the first token in proportion to the prompt") {
  BatchScheduler scheduler({.slots = 2,
                            .prefill_tokens_per_s = 10000,
                            .prefill_chunk_tokens = 1000,
                            .decode_ms = 5,
                            .decode_ms_per_request = 1});
  scheduler.Submit({"a", 2000, 2, 0});
  REQUIRE(scheduler.BeginStep() == milliseconds(100));
  REQUIRE(scheduler.FinishStep().empty());
  REQUIRE(scheduler.BeginStep() == milliseconds(105));
  REQUIRE(scheduler.FinishStep().size() == 1);
  scheduler.Submit({"b", 0, 1, 0});
  REQUIRE(scheduler.BeginStep() == milliseconds(6));
  REQUIRE(scheduler.FinishStep().size() == 2);
  REQUIRE_FALSE(scheduler.BeginStep());
}

TEST_CASE("waiting requests start by priority, then by arrival") {
  BatchScheduler scheduler({.slots = 1});
  scheduler.Submit({"low", 0, 1, 0});
  scheduler.Submit({"high", 0, 1, 5});
  scheduler.Submit({"high2", 0, 1, 5});
  REQUIRE(scheduler.Cancel("high2"));
  std::string order;
  while (scheduler.BeginStep())
    order += scheduler.FinishStep().at(0).id + " ";
  REQUIRE(order == "high low ");
}

// Guards against a cache that never evicts, so that no prompt would ever need a
// restore, and against evictions without an event.
TEST_CASE("the prefix cache evicts the least recently used block") {
  PrefixCache cache(2, 100);
  const common::TimePoint now;
  cache.Put("a", {{"t", "v"}, "1"}, now);
  cache.Put("b", {{"t", "v"}, "2"}, now);
  cache.Touch("a");
  cache.Put("c", {{"t", "v"}, "3"}, now);
  REQUIRE(cache.Find("a"));
  REQUIRE_FALSE(cache.Find("b"));
  const auto events = cache.EventsSince(2, now);
  REQUIRE(events.size() == 2);
  REQUIRE(events[0].key == "b");
  REQUIRE_FALSE(events[0].added);
  cache.DropEvents();
  REQUIRE(cache.first_event_sequence() == 4);
}

TEST_CASE("least recently used blocks move to disk, then are evicted") {
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
  tiers.SetOccupiedBytes(20);
  REQUIRE(tiers.used_bytes() == 0);
}

// Guards against a store that accounts for its bandwidth in other units than
// for its size: restore times could then not be predicted.
TEST_CASE("a store with scaled bodies accounts for their simulated size") {
  BlockTiers tiers(
      {.memory_bytes = 2000, .disk_bytes = 0, .bytes_per_body_byte = 100});
  REQUIRE(tiers.Seal("a", {"t", "v", "", std::string(10, 'x')}));
  REQUIRE(tiers.used_bytes() == 1000);
  REQUIRE(tiers.Seal("b", {"t", "v", "", std::string(11, 'x')}));
  REQUIRE(tiers.GenerationOf("a") == 0);
  REQUIRE_FALSE(tiers.Seal("c", {"t", "v", "", std::string(21, 'x')}));
  REQUIRE(tiers.first_event_sequence() == 0);
  REQUIRE(tiers.next_event_sequence() == 3);
}

TEST_CASE("a token bucket delays units above its rate") {
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
