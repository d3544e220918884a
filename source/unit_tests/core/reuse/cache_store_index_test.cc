#include "core/reuse/cache_store_index.h"

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jujuberock::reuse {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr const char* kStore = "10.0.0.1:80";

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

catalog::CacheStoreProperties Properties() {
  catalog::CacheStoreProperties properties;
  properties.address = kStore;
  properties.capacity_tokens = 10000;
  properties.link_mbps = 100000;
  properties.managed = true;
  return properties;
}

dispatch::Prompt MakePrompt() {
  dispatch::Prompt prompt;
  prompt.prompt_tokens = 1100;
  prompt.parts = {{"a", 400}, {"b", 500}, {"own", 200}};
  return prompt;
}

FetchConditions Conditions() {
  FetchConditions conditions;
  conditions.token_bytes = 100000;
  conditions.engine_link_mbps = 100000;
  conditions.limits.max_wait_ms = 300;
  conditions.read_time = milliseconds(400);
  return conditions;
}

StoreEvents Events(uint64_t epoch, std::vector<StoreEvent> events) {
  StoreEvents answer;
  answer.epoch = epoch;
  answer.clock_ms = 5000;
  answer.events = std::move(events);
  return answer;
}

CacheStoreIndex MakeAnsweringIndex(int at) {
  CacheStoreIndex index;
  index.SetStores({Properties()});
  index.OnEvents(kStore, Events(1, {}), At(0), At(0));
  index.OnEvents(kStore, Events(1, {}), At(at), At(at));
  return index;
}

TEST_CASE("parts are saved once, except the request's own part") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  const ReusePlan first =
      index.Plan("v1", MakePrompt(), Conditions(), At(4000));
  CHECK(first.targets == std::vector<std::string>{kStore, kStore, ""});
  CHECK(first.source_tokens == 0);
  const ReusePlan again =
      index.Plan("v1", MakePrompt(), Conditions(), At(4010));
  CHECK(again.targets == std::vector<std::string>{"", "", ""});
}

// Guards against parts of a prompt that leave the regions which may see it.
TEST_CASE("a store outside the homes is neither read from nor saved to") {
  CacheStoreIndex index;
  catalog::CacheStoreProperties properties = Properties();
  properties.zone = "z1";
  index.SetStores({properties});
  index.OnEvents(kStore, Events(1, {}), At(0), At(0));
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4000));
  const catalog::ZoneRegions regions({{"z1", "north"}, {"z2", "south"}});
  const std::vector<std::string> any;
  const std::vector<std::string> south = {"south"};
  const std::vector<std::string> north = {"north"};
  FetchConditions conditions = Conditions();
  conditions.homes = {regions, any, south};
  const ReusePlan outside =
      index.Plan("v1", MakePrompt(), conditions, At(4000));
  CHECK(outside.sources == std::vector<std::string>{"", "", ""});
  CHECK(outside.targets == std::vector<std::string>{"", "", ""});
  CHECK_FALSE(index.FindStoredParts("v1", MakePrompt(), conditions, At(4000))[0]
                  .readable);
  conditions.homes = {regions, north, any};
  const ReusePlan inside = index.Plan("v1", MakePrompt(), conditions, At(4000));
  CHECK(inside.sources[0] == kStore);
  CHECK(inside.targets[1] == kStore);
}

// Guards against reading parts that the store holds only partially.
TEST_CASE("a part is read only after the store reported it complete") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.Plan("v1", MakePrompt(), Conditions(), At(4000));
  CHECK(index.Plan("v1", MakePrompt(), Conditions(), At(4100)).source_tokens ==
        0);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4100),
                 At(4200));
  const ReusePlan plan = index.Plan("v1", MakePrompt(), Conditions(), At(4200));
  CHECK(plan.sources == std::vector<std::string>{kStore, "", ""});
  CHECK(plan.until_ms == uint64_t{5000 + 400});
}

// Guards against using parts that were cached under other weights or for an
// isolated team.
TEST_CASE("a part with another salt is not read") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  CHECK(index.Plan("v2", MakePrompt(), Conditions(), At(4100)).source_tokens ==
        0);
}

// Guards against reading a part from a restarted store while another host is
// saving the same part there again.
TEST_CASE("a store that does not answer is not used") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  SECTION("a poll failed") {
    index.OnPollFailed(kStore);
    CHECK(
        index.Plan("v1", MakePrompt(), Conditions(), At(4200)).source_tokens ==
        0);
  }
  SECTION("its last answer is old") {
    CHECK(
        index.Plan("v1", MakePrompt(), Conditions(), At(6000)).source_tokens ==
        0);
  }
}

TEST_CASE(
    "after a store restarts, nothing is saved until earlier reads ended") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  index.OnEvents(kStore, Events(2, {}), At(5000), At(5000));
  CHECK(index.known_parts() == 0);
  const ReusePlan early =
      index.Plan("v1", MakePrompt(), Conditions(), At(5100));
  CHECK(early.targets == std::vector<std::string>{"", "", ""});
  const auto quiet =
      CacheStoreIndex::kMaxAnswerAge + CacheStoreIndex::kMaxReadTime;
  index.OnEvents(kStore, Events(2, {}), At(5000) + quiet, At(5000) + quiet);
  CHECK(index.Plan("v1", MakePrompt(), Conditions(), At(5000) + quiet)
            .targets[0]
            .empty());
  const TimePoint later = At(8000);
  index.OnEvents(kStore, Events(2, {}), later, later);
  CHECK(index.Plan("v1", MakePrompt(), Conditions(), later).targets[0] ==
        kStore);
}

// Load pattern: more fetches than the store's link can carry. Guards against a
// growing queue of late fetches, whose parts the engines then prefill on top of
// their other work.
TEST_CASE("parts beyond the link's capacity are not fetched") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  int fetched = 0;
  for (int i = 0; i < 400; ++i)
    fetched +=
        index.Plan("v1", MakePrompt(), Conditions(), At(4100)).source_tokens > 0
            ? 1
            : 0;
  // 400 tokens are 0.32 Gbit and occupy the link for 3.2 ms. A fetch is worth a
  // total time of 44 ms.
  CHECK(fetched > 5);
  CHECK(fetched < 30);
}

// Guards against stores that are full of parts that no engine can read any
// more.
TEST_CASE("parts of replaced weights are listed until they are freed") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore,
                 Events(1, {{true, "v1/m", "a", 400},
                            {true, "v2/m", "a", 400},
                            {true, "v1/m/team=t", "b", 500},
                            {true, "v1/other", "a", 400},
                            {true, "text of another program", "a", 400}}),
                 At(4100), At(4100));
  const auto none = common::Duration(0);
  auto parts = index.OutdatedParts(kStore, "m", 2, 10, none, At(4200));
  CHECK(parts.size() == 2);
  CHECK(index.OutdatedParts(kStore, "m", 2, 1, none, At(4200)).size() == 1);
  CHECK(index.OutdatedParts(kStore, "m", 1, 10, none, At(4200)).empty());
  index.OnFreed(kStore, parts);
  CHECK(index.OutdatedParts(kStore, "m", 2, 10, none, At(4200)).empty());
  CHECK(index.known_parts() == 3);
}

// Guards against freeing parts that are still read by hosts and engines that
// were partitioned from this host together with the store.
TEST_CASE("no parts of a store that has just come back are listed") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  const auto parts = Events(1, {{true, "v1/m", "a", 400}});
  index.OnEvents(kStore, parts, At(4100), At(4100));
  index.OnPollFailed(kStore);
  for (int at = 9000; at <= 11000; at += 500)
    index.OnEvents(kStore, parts, At(at), At(at));
  const auto wait = std::chrono::seconds(2);
  CHECK(index.OutdatedParts(kStore, "m", 2, 9, wait, At(10900)).empty());
  CHECK(index.OutdatedParts(kStore, "m", 2, 9, wait, At(11100)).size() == 1);
}

// Load pattern: many hosts each fetch a few parts from the same store. Guards
// against fetches that wait behind those of other hosts.
TEST_CASE("transfers of other hosts count like this host's own") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  // 8 Gbit occupy the link for 80 ms; a fetch is worth 44 ms.
  index.OnPeerTransfer(common::Hash64(kStore), 8000, At(4100));
  const ReusePlan busy = index.Plan("v1", MakePrompt(), Conditions(), At(4100));
  CHECK(busy.fetched_tokens == 0);
  CHECK(busy.skipped_tokens == 400);
  const ReusePlan free = index.Plan("v1", MakePrompt(), Conditions(), At(4200));
  CHECK(free.fetched_tokens == 400);
  REQUIRE(free.transfers.size() == 1);
  CHECK(free.transfers[0].mbit == 320);
}

// Load pattern: few fetches per host. Guards against extrapolating the few
// transfers of this host to all hosts, which made engines prefill parts instead
// of fetching them.
TEST_CASE("a transfer of this host occupies the link only once") {
  CacheStoreIndex index = MakeAnsweringIndex(4000);
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4100));
  index.Plan("v1", MakePrompt(), Conditions(), At(4100));
  const auto stored_parts =
      index.FindStoredParts("v1", MakePrompt(), Conditions(), At(4100));
  REQUIRE(stored_parts.size() == 3);
  CHECK(stored_parts[0].readable);
  CHECK(stored_parts[0].wait_ms < 10);
  CHECK_FALSE(stored_parts[1].readable);
}

// Guards against counting a fetch across zones, which occupies the links twice
// as long, like one within a zone.
TEST_CASE("a transfer to another zone counts twice") {
  catalog::CacheStoreProperties properties = Properties();
  properties.zone = "far";
  CacheStoreIndex index;
  index.SetStores({properties});
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4000));
  FetchConditions conditions = Conditions();
  conditions.engine_zone = "near";
  const ReusePlan plan = index.Plan("v1", MakePrompt(), conditions, At(4100));
  REQUIRE(plan.transfers.size() == 1);
  CHECK(plan.transfers[0].mbit == 640);
}

// Load pattern: the link of one of two stores becomes slow. Guards against
// requests that keep waiting for the slow store.
TEST_CASE("a store that delays its requests is used less") {
  CacheStoreIndex index;
  catalog::CacheStoreProperties other = Properties();
  other.address = "10.0.0.2:80";
  index.SetStores({Properties(), other});
  for (const char* address : {kStore, "10.0.0.2:80"})
    index.OnEvents(address, Events(1, {{true, "v1", "a", 400}}), At(4000),
                   At(4000));
  for (int i = 0; i < 60; ++i) {
    index.OnFetched(kStore, milliseconds(1200));
    index.OnFetched("10.0.0.2:80", milliseconds(10));
  }
  int fetched = 0;
  int home = 0;
  for (int i = 0; i < 200; ++i) {
    dispatch::Prompt prompt = MakePrompt();
    prompt.parts[0].id = "p" + std::to_string(i);
    index.OnEvents(kStore, Events(1, {{true, "v1", prompt.parts[0].id, 400}}),
                   At(4000), At(4000));
    const auto plan = index.Plan("v1", prompt, Conditions(), At(4000 + i));
    home += plan.targets[0].empty() ? 1 : 0;
    fetched += plan.sources[0] == kStore ? 1 : 0;
  }
  CHECK(home > 50);
  CHECK(fetched < home / 2);
}

constexpr const char* kFarStore = "10.0.1.1:80";

// A store in the zone "near" and one in the zone "far"; both answer.
CacheStoreIndex MakeTwoZoneIndex() {
  catalog::CacheStoreProperties near_store = Properties();
  near_store.zone = "near";
  catalog::CacheStoreProperties far_store = Properties();
  far_store.zone = "far";
  far_store.address = kFarStore;
  CacheStoreIndex index;
  index.SetStores({near_store, far_store});
  for (const char* address : {kStore, kFarStore}) {
    index.OnEvents(address, Events(1, {}), At(0), At(0));
    index.OnEvents(address, Events(1, {}), At(4000), At(4000));
  }
  return index;
}

std::string TargetIn(CacheStoreIndex& index,
                     std::string_view zone,
                     int at = 4000) {
  FetchConditions conditions = Conditions();
  conditions.engine_zone = zone;
  return index.Plan("v1", MakePrompt(), conditions, At(at)).targets[0];
}

// Load pattern: long shared parts, engines and stores in several zones. Guards
// against saves and fetches between zones, which occupy the links twice as
// long: hashing over the stores of all zones made most transfers cross zones.
TEST_CASE("a part is saved in the zone of the engine that read it") {
  SECTION("near") {
    CacheStoreIndex index = MakeTwoZoneIndex();
    CHECK(TargetIn(index, "near") == kStore);
  }
  SECTION("far") {
    CacheStoreIndex index = MakeTwoZoneIndex();
    CHECK(TargetIn(index, "far") == kFarStore);
  }
}

// Guards against parts that are read again by each engine while the store that
// should hold them is down or full.
TEST_CASE(
    "a part is saved elsewhere when the store of the zone can't take it") {
  CacheStoreIndex index = MakeTwoZoneIndex();
  SECTION("down") {
    index.OnPollFailed(kStore);
  }
  SECTION("full") {
    index.OnEvents(kStore, Events(1, {{true, "v1", "x", 9600}}), At(4000),
                   At(4000));
  }
  SECTION("busy") {
    index.OnPeerTransfer(common::Hash64(kStore), 20000, At(4000));
  }
  CHECK(TargetIn(index, "near") == kFarStore);
}

// Guards against reading a part again that a store of another zone holds.
TEST_CASE("a part is fetched from any store that holds it") {
  CacheStoreIndex index = MakeTwoZoneIndex();
  index.OnEvents(kFarStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4000));
  FetchConditions conditions = Conditions();
  conditions.limits.prefill_token_ms = 1;
  conditions.engine_zone = "near";
  const ReusePlan from_far =
      index.Plan("v1", MakePrompt(), conditions, At(4000));
  CHECK(from_far.sources[0] == kFarStore);
  CHECK(from_far.targets[0].empty());
  index.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                 At(4000));
  CHECK(index.Plan("v1", MakePrompt(), conditions, At(4500)).sources[0] ==
        kStore);
}

// Guards against a save that is lost at one store and always tried there again.
TEST_CASE("a save that was lost is tried at another store") {
  CacheStoreIndex index = MakeTwoZoneIndex();
  CHECK(TargetIn(index, "near") == kStore);
  CHECK(TargetIn(index, "near", 4500).empty());
  for (const char* address : {kStore, kFarStore})
    index.OnEvents(address, Events(1, {}), At(6600), At(6600));
  CHECK(TargetIn(index, "near", 6600) == kFarStore);
}

}  // namespace
}  // namespace jujuberock::reuse
