#include "core/table/platform_follower.h"

#include <catch2/catch.hpp>

namespace jujuberock::table {
namespace {

using common::TimePoint;
using platform::WatchEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Type = FollowAction::Type;

// Completes a list of every kind at version 10 and returns the watches that
// follow.
std::vector<FollowAction> Watches(PlatformFollower* follower, TimePoint now) {
  for (const FollowAction& action : follower->OnTick(now, true)) {
    REQUIRE(action.type == Type::kList);
    follower->OnListEnd(action, 10, now);
  }
  return follower->OnTick(now, true);
}

TEST_CASE("a watch resumes from the list and from its last change") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&follower, now);
  REQUIRE(watches.size() == kKindCount);
  CHECK(follower.complete());
  CHECK(watches[0].since == 10);
  follower.OnChange(watches[0], 14);
  follower.OnWatchEnd(watches[0], WatchEnd::kExpired, now);
  const auto next = follower.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kWatch);
  CHECK(next[0].since == 14);
}

// A stalled watch looks like one without changes; only a list shows what it
// missed.
TEST_CASE("a silent watch is followed by a list") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&follower, now);
  follower.OnWatchEnd(watches[0], WatchEnd::kSilent, now);
  const auto next = follower.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kList);
}

// While a host is no delegate, gossip delivers versions out of order. A watch
// from the highest one would miss the versions in between.
TEST_CASE("a host that becomes a delegate again lists first") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto old = Watches(&follower, now);
  CHECK(follower.OnTick(now, false).empty());
  CHECK_FALSE(follower.IsCurrent(old[0]));
  const auto again = follower.OnTick(now, true);
  REQUIRE(again.size() == kKindCount);
  CHECK(again[0].type == Type::kList);
  // The end of the superseded watch must not start another one.
  follower.OnWatchEnd(old[0], WatchEnd::kExpired, now);
  CHECK(follower.OnTick(now, true).empty());
}

TEST_CASE("an unavailable platform is called once per retry delay") {
  PlatformFollower follower({});
  TimePoint now(seconds(1));
  size_t calls = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    for (const FollowAction& action : follower.OnTick(now, true)) {
      ++calls;
      follower.OnListEnd(action, std::nullopt, now);
    }
  }
  CHECK(calls <= kKindCount * 20);
  CHECK_FALSE(follower.complete());
}

}  // namespace
}  // namespace jujuberock::table
