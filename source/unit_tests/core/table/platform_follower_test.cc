#include "core/table/platform_follower.h"

#include <catch2/catch.hpp>

namespace jujuberock::table {
namespace {

using common::TimePoint;
using platform::WatchEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Type = FollowAction::Type;

// Lists every kind at version 10, so that the next actions are watches.
std::vector<FollowAction> Watches(PlatformFollower* follower, TimePoint now) {
  for (const FollowAction& action : follower->OnTick(now, true)) {
    REQUIRE(action.type == Type::kList);
    follower->OnListEnd(action, 10, now);
  }
  return follower->OnTick(now, true);
}

TEST_CASE("a watch goes on from the list and from its last change") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&follower, now);
  REQUIRE(watches.size() == kKinds);
  CHECK(follower.complete());
  CHECK(watches[0].since == 10);
  follower.OnChange(watches[0], 14);
  follower.OnWatchEnd(watches[0], WatchEnd::kExpired, now);
  const auto next = follower.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kWatch);
  CHECK(next[0].since == 14);
}

// A watch that delivers nothing looks like one without changes.
TEST_CASE("a silent watch is followed by a list") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&follower, now);
  follower.OnWatchEnd(watches[0], WatchEnd::kSilent, now);
  const auto next = follower.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kList);
}

// After a time without following, gossip has filled in versions out of order;
// a watch from the highest one would skip what lies between.
TEST_CASE("a host that becomes a delegate again lists first") {
  PlatformFollower follower({});
  const TimePoint now(seconds(1));
  const auto old = Watches(&follower, now);
  CHECK(follower.OnTick(now, false).empty());
  CHECK_FALSE(follower.IsCurrent(old[0]));
  const auto again = follower.OnTick(now, true);
  REQUIRE(again.size() == kKinds);
  CHECK(again[0].type == Type::kList);
  // The end of the abandoned watch must not start a second one.
  follower.OnWatchEnd(old[0], WatchEnd::kExpired, now);
  CHECK(follower.OnTick(now, true).empty());
}

TEST_CASE("a platform that is down is asked at the retry pace") {
  PlatformFollower follower({});
  TimePoint now(seconds(1));
  size_t calls = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    for (const FollowAction& action : follower.OnTick(now, true)) {
      ++calls;
      follower.OnListEnd(action, std::nullopt, now);
    }
  }
  CHECK(calls <= kKinds * 20);
  CHECK_FALSE(follower.complete());
}

}  // namespace
}  // namespace jujuberock::table
