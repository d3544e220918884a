#include "core/reuse/store_book.h"

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

catalog::CacheStoreTraits Traits() {
  catalog::CacheStoreTraits traits;
  traits.address = kStore;
  traits.capacity_tokens = 10000;
  traits.link_mbps = 100000;
  traits.managed = true;
  return traits;
}

dispatch::Prompt MakePrompt() {
  dispatch::Prompt prompt;
  prompt.prompt_tokens = 1100;
  prompt.parts = {{"a", 400}, {"b", 500}, {"own", 200}};
  return prompt;
}

FetchTerms Terms() {
  FetchTerms terms;
  terms.token_bytes = 100000;
  terms.engine_link_mbps = 100000;
  terms.limits.most_wait_ms = 300;
  terms.read_time = milliseconds(400);
  return terms;
}

StoreEvents Events(uint64_t epoch, std::vector<StoreEvent> events) {
  StoreEvents answer;
  answer.epoch = epoch;
  answer.clock_ms = 5000;
  answer.events = std::move(events);
  return answer;
}

StoreBook MakeAnsweringBook(int at) {
  StoreBook book;
  book.SetStores({Traits()});
  book.OnEvents(kStore, Events(1, {}), At(0), At(0));
  book.OnEvents(kStore, Events(1, {}), At(at), At(at));
  return book;
}

TEST_CASE("parts are saved once, except the request's own part") {
  StoreBook book = MakeAnsweringBook(4000);
  const ReusePlan first = book.Plan("v1", MakePrompt(), Terms(), At(4000));
  CHECK(first.targets == std::vector<std::string>{kStore, kStore, ""});
  CHECK(first.source_tokens == 0);
  const ReusePlan again = book.Plan("v1", MakePrompt(), Terms(), At(4010));
  CHECK(again.targets == std::vector<std::string>{"", "", ""});
}

// Guards against reading parts that the store holds only partially.
TEST_CASE("a part is read only after the store reported it complete") {
  StoreBook book = MakeAnsweringBook(4000);
  book.Plan("v1", MakePrompt(), Terms(), At(4000));
  CHECK(book.Plan("v1", MakePrompt(), Terms(), At(4100)).source_tokens == 0);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4100),
                At(4200));
  const ReusePlan plan = book.Plan("v1", MakePrompt(), Terms(), At(4200));
  CHECK(plan.sources == std::vector<std::string>{kStore, "", ""});
  CHECK(plan.until_ms == uint64_t{5000 + 400});
}

// Guards against using parts that were cached under other weights or for an
// isolated team.
TEST_CASE("a part with another salt is not read") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  CHECK(book.Plan("v2", MakePrompt(), Terms(), At(4100)).source_tokens == 0);
}

// Guards against reading a part from a restarted store while another host is
// saving the same part there again.
TEST_CASE("a store that does not answer is not used") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  SECTION("a poll failed") {
    book.OnNoAnswer(kStore);
    CHECK(book.Plan("v1", MakePrompt(), Terms(), At(4200)).source_tokens == 0);
  }
  SECTION("its last answer is old") {
    CHECK(book.Plan("v1", MakePrompt(), Terms(), At(6000)).source_tokens == 0);
  }
}

TEST_CASE(
    "after a store restarts, nothing is saved until earlier reads ended") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  book.OnEvents(kStore, Events(2, {}), At(5000), At(5000));
  CHECK(book.known_parts() == 0);
  const ReusePlan early = book.Plan("v1", MakePrompt(), Terms(), At(5100));
  CHECK(early.targets == std::vector<std::string>{"", "", ""});
  const auto quiet = StoreBook::kMaxAnswerAge + StoreBook::kMaxReadTime;
  book.OnEvents(kStore, Events(2, {}), At(5000) + quiet, At(5000) + quiet);
  CHECK(book.Plan("v1", MakePrompt(), Terms(), At(5000) + quiet)
            .targets[0]
            .empty());
  const TimePoint later = At(8000);
  book.OnEvents(kStore, Events(2, {}), later, later);
  CHECK(book.Plan("v1", MakePrompt(), Terms(), later).targets[0] == kStore);
}

// Load pattern: more fetches than the store's link can carry. Guards against a
// growing queue of late fetches, whose parts the engines then prefill on top of
// their other work.
TEST_CASE("parts beyond the link's capacity are not fetched") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  int fetched = 0;
  for (int i = 0; i < 400; ++i)
    fetched +=
        book.Plan("v1", MakePrompt(), Terms(), At(4100)).source_tokens > 0 ? 1
                                                                           : 0;
  // 400 tokens are 0.32 Gbit and occupy the link for 3.2 ms. A fetch is worth a
  // total time of 44 ms.
  CHECK(fetched > 5);
  CHECK(fetched < 30);
}

// Guards against stores that are full of parts that no engine can read any
// more.
TEST_CASE("parts of replaced weights are listed until they are freed") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore,
                Events(1, {{true, "v1/m", "a", 400},
                           {true, "v2/m", "a", 400},
                           {true, "v1/m/team=t", "b", 500},
                           {true, "v1/other", "a", 400},
                           {true, "text of another program", "a", 400}}),
                At(4100), At(4100));
  const auto none = common::Duration(0);
  auto parts = book.OutdatedParts(kStore, "m", 2, 10, none, At(4200));
  CHECK(parts.size() == 2);
  CHECK(book.OutdatedParts(kStore, "m", 2, 1, none, At(4200)).size() == 1);
  CHECK(book.OutdatedParts(kStore, "m", 1, 10, none, At(4200)).empty());
  book.OnFreed(kStore, parts);
  CHECK(book.OutdatedParts(kStore, "m", 2, 10, none, At(4200)).empty());
  CHECK(book.known_parts() == 3);
}

// Guards against freeing parts that are still read by hosts and engines that
// were partitioned from this host together with the store.
TEST_CASE("no parts of a store that has just come back are listed") {
  StoreBook book = MakeAnsweringBook(4000);
  const auto parts = Events(1, {{true, "v1/m", "a", 400}});
  book.OnEvents(kStore, parts, At(4100), At(4100));
  book.OnNoAnswer(kStore);
  for (int at = 9000; at <= 11000; at += 500)
    book.OnEvents(kStore, parts, At(at), At(at));
  const auto wait = std::chrono::seconds(2);
  CHECK(book.OutdatedParts(kStore, "m", 2, 9, wait, At(10900)).empty());
  CHECK(book.OutdatedParts(kStore, "m", 2, 9, wait, At(11100)).size() == 1);
}

// Load pattern: many hosts each fetch a few parts from the same store. Guards
// against fetches that wait behind those of other hosts.
TEST_CASE("transfers of other hosts count like this host's own") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  // 8 Gbit occupy the link for 80 ms; a fetch is worth 44 ms.
  book.OnPeerTransfer(common::Hash64(kStore), 8000, At(4100));
  const ReusePlan busy = book.Plan("v1", MakePrompt(), Terms(), At(4100));
  CHECK(busy.fetched_tokens == 0);
  CHECK(busy.skipped_tokens == 400);
  const ReusePlan free = book.Plan("v1", MakePrompt(), Terms(), At(4200));
  CHECK(free.fetched_tokens == 400);
  REQUIRE(free.transfers.size() == 1);
  CHECK(free.transfers[0].mbit == 320);
}

// Load pattern: few fetches per host. Guards against extrapolating the few
// transfers of this host to all hosts, which made engines prefill parts instead
// of fetching them.
TEST_CASE("a transfer of this host occupies the link only once") {
  StoreBook book = MakeAnsweringBook(4000);
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4100));
  book.Plan("v1", MakePrompt(), Terms(), At(4100));
  const auto offer = book.Offer("v1", MakePrompt(), Terms(), At(4100));
  REQUIRE(offer.size() == 3);
  CHECK(offer[0].readable);
  CHECK(offer[0].wait_ms < 10);
  CHECK_FALSE(offer[1].readable);
}

// Guards against counting a fetch across zones, which occupies the links twice
// as long, like one within a zone.
TEST_CASE("a transfer to another zone counts twice") {
  catalog::CacheStoreTraits traits = Traits();
  traits.zone = "far";
  StoreBook book;
  book.SetStores({traits});
  book.OnEvents(kStore, Events(1, {{true, "v1", "a", 400}}), At(4000),
                At(4000));
  FetchTerms terms = Terms();
  terms.engine_zone = "near";
  const ReusePlan plan = book.Plan("v1", MakePrompt(), terms, At(4100));
  REQUIRE(plan.transfers.size() == 1);
  CHECK(plan.transfers[0].mbit == 640);
}

// Load pattern: the link of one of two stores becomes slow. Guards against
// requests that keep waiting for the slow store.
TEST_CASE("a store that delays its requests is used less") {
  StoreBook book;
  catalog::CacheStoreTraits other = Traits();
  other.address = "10.0.0.2:80";
  book.SetStores({Traits(), other});
  for (const char* address : {kStore, "10.0.0.2:80"})
    book.OnEvents(address, Events(1, {{true, "v1", "a", 400}}), At(4000),
                  At(4000));
  for (int i = 0; i < 60; ++i) {
    book.OnFetched(kStore, milliseconds(1200));
    book.OnFetched("10.0.0.2:80", milliseconds(10));
  }
  int fetched = 0;
  int home = 0;
  for (int i = 0; i < 200; ++i) {
    dispatch::Prompt prompt = MakePrompt();
    prompt.parts[0].id = "p" + std::to_string(i);
    book.OnEvents(kStore, Events(1, {{true, "v1", prompt.parts[0].id, 400}}),
                  At(4000), At(4000));
    const auto plan = book.Plan("v1", prompt, Terms(), At(4000 + i));
    home += plan.targets[0].empty() ? 1 : 0;
    fetched += plan.sources[0] == kStore ? 1 : 0;
  }
  CHECK(home > 50);
  CHECK(fetched < home / 2);
}

}  // namespace
}  // namespace jujuberock::reuse
