#include "core/relay/relay_choice.h"

#include <catch2/catch.hpp>
#include <set>
#include <string>

namespace jujuberock::relay {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr TimePoint kNow{std::chrono::hours(1)};

std::vector<RelayChoice> MakeZone(size_t count, size_t min_hosts) {
  std::vector<RelayHost> all;
  for (size_t i = 0; i < count; ++i)
    all.push_back({"host." + std::to_string(i), std::to_string(i)});
  std::vector<RelayChoice> zone;
  for (const RelayHost& own : all) {
    zone.emplace_back(RelayChoiceOptions{own.name, "a", min_hosts});
    auto others = all;
    std::erase(others, own);
    zone.back().SetHosts(others);
  }
  return zone;
}

// Returns a host that is no relay.
RelayChoice Follower() {
  for (RelayChoice& choice : MakeZone(20, 12)) {
    if (!choice.IsRelay(kNow))
      return choice;
  }
  FAIL("all hosts are relays");
  return RelayChoice({});
}

// Guards against calls to the store that grow with the hosts of a zone.
TEST_CASE("large zones have a fixed number of relays that share the others") {
  for (const size_t count : {12U, 28U, 124U}) {
    std::map<std::string, size_t> followers;
    size_t relays = 0;
    for (const RelayChoice& choice : MakeZone(count, 12)) {
      const auto chosen = choice.Choose(kNow);
      CHECK(choice.IsRelay(kNow) != chosen.has_value());
      relays += choice.IsRelay(kNow) ? 1 : 0;
      if (chosen)
        ++followers[chosen->name];
    }
    CHECK(relays == kRelaysPerZone);
    CHECK(followers.size() <= kRelaysPerZone);
    for (const auto& [name, followed_by] : followers)
      CHECK(followed_by < count * 2 / 3);
  }
}

// Earlier deployments are served as before.
TEST_CASE("hosts of small zones ask the store") {
  for (const RelayChoice& choice : MakeZone(11, 12))
    CHECK_FALSE(choice.Choose(kNow));
  for (const RelayChoice& choice : MakeZone(200, 0))
    CHECK_FALSE(choice.Choose(kNow));
  RelayChoice alone({"host.0", "a", 1});
  alone.SetHosts({});
  CHECK_FALSE(alone.Choose(kNow));
  // Before the hosts are known.
  CHECK_FALSE(RelayChoice({"host.0", "a", 12}).Choose(kNow));
}

// Guards against followers that wait for a relay that was killed or frozen.
TEST_CASE("a relay that does not answer is left for longer each time") {
  RelayChoice choice = Follower();
  const RelayHost first = *choice.Choose(kNow);
  TimePoint now = kNow;
  choice.OnSilent(first.name, now);
  CHECK(choice.Choose(now)->name != first.name);
  // Other calls that were under way fail as well.
  choice.OnSilent(first.name, now + milliseconds(500));
  CHECK(choice.Choose(now + RelayChoice::kSilentPause)->name == first.name);
  now += RelayChoice::kSilentPause;
  choice.OnSilent(first.name, now);
  CHECK(choice.Choose(now + RelayChoice::kSilentPause)->name != first.name);
  now += 2 * RelayChoice::kSilentPause;
  CHECK(choice.Choose(now)->name == first.name);
  choice.OnAnswer(first.name);
  choice.OnSilent(first.name, now);
  CHECK(choice.Choose(now + RelayChoice::kSilentPause)->name == first.name);
}

TEST_CASE("a relay that refused is asked again soon") {
  RelayChoice choice = Follower();
  const RelayHost first = *choice.Choose(kNow);
  choice.OnRefused(first.name, kNow);
  // It answers for another kind.
  choice.OnAnswer(first.name);
  CHECK(choice.Choose(kNow)->name != first.name);
  CHECK(choice.Choose(kNow + RelayChoice::kRefusedPause)->name == first.name);
}

// A host in their place would begin to watch the store, and the next one too.
TEST_CASE("relays that refuse are not replaced") {
  RelayChoice choice = Follower();
  std::set<std::string> asked;
  while (const auto relay = choice.Choose(kNow)) {
    REQUIRE(asked.insert(relay->name).second);
    choice.OnRefused(relay->name, kNow);
  }
  CHECK(asked.size() == kRelaysPerZone);
  CHECK(choice.IsFollower(kNow));
}

// Guards against hosts without any view when all relays are gone.
TEST_CASE("a host that reaches no other asks the store") {
  RelayChoice choice = Follower();
  std::set<std::string> asked;
  while (const auto relay = choice.Choose(kNow)) {
    REQUIRE(asked.insert(relay->name).second);
    choice.OnSilent(relay->name, kNow);
  }
  CHECK(choice.IsRelay(kNow));
  CHECK(choice.Choose(kNow + RelayChoice::kSilentPause));
}

// Hosts need not agree about the relays: one that sees others fail asks the
// next in rank, which is no relay by its own view.
TEST_CASE("a host that is asked watches the store for a while") {
  RelayChoice choice = Follower();
  choice.OnAsked(kNow);
  CHECK(choice.IsRelay(kNow));
  CHECK_FALSE(choice.Choose(kNow));
  CHECK_FALSE(choice.IsRelay(kNow + RelayChoice::kDemandPeriod));
}

}  // namespace
}  // namespace jujuberock::relay
