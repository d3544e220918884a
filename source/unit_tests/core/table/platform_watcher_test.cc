#include "core/table/platform_watcher.h"

#include <catch2/catch.hpp>

namespace jujuberock::table {
namespace {

using common::TimePoint;
using platform::WatchEnd;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Type = WatcherCall::Type;

// Completes a list of every kind at version 10 and returns the watches that
// follow.
std::vector<WatcherCall> Watches(PlatformWatcher* watcher, TimePoint now) {
  for (const WatcherCall& call : watcher->OnTick(now, true)) {
    REQUIRE(call.type == Type::kList);
    watcher->OnListEnd(call, 10, now);
  }
  return watcher->OnTick(now, true);
}

TEST_CASE("a watch resumes from the list and from its last change") {
  PlatformWatcher watcher({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&watcher, now);
  REQUIRE(watches.size() == kKindCount);
  CHECK(watcher.complete());
  CHECK(watches[0].since == 10);
  watcher.OnChange(watches[0], 14);
  watcher.OnWatchEnd(watches[0], WatchEnd::kExpired, now);
  const auto next = watcher.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kWatch);
  CHECK(next[0].since == 14);
}

// A stalled watch looks like one without changes; only a list shows what it
// missed.
TEST_CASE("a silent watch is followed by a list") {
  PlatformWatcher watcher({});
  const TimePoint now(seconds(1));
  const auto watches = Watches(&watcher, now);
  watcher.OnWatchEnd(watches[0], WatchEnd::kSilent, now);
  const auto next = watcher.OnTick(now, true);
  REQUIRE(next.size() == 1);
  CHECK(next[0].type == Type::kList);
}

// While a host is no delegate, gossip delivers versions out of order. A watch
// from the highest one would miss the versions in between.
TEST_CASE("a host that becomes a delegate again lists first") {
  PlatformWatcher watcher({});
  const TimePoint now(seconds(1));
  const auto old = Watches(&watcher, now);
  CHECK(watcher.OnTick(now, false).empty());
  CHECK_FALSE(watcher.IsCurrent(old[0]));
  const auto again = watcher.OnTick(now, true);
  REQUIRE(again.size() == kKindCount);
  CHECK(again[0].type == Type::kList);
  // The end of the superseded watch must not start another one.
  watcher.OnWatchEnd(old[0], WatchEnd::kExpired, now);
  CHECK(watcher.OnTick(now, true).empty());
}

TEST_CASE("an unavailable platform is called once per retry delay") {
  PlatformWatcher watcher({});
  TimePoint now(seconds(1));
  size_t calls = 0;
  for (int i = 0; i < 100; ++i, now += milliseconds(100)) {
    for (const WatcherCall& call : watcher.OnTick(now, true)) {
      ++calls;
      watcher.OnListEnd(call, std::nullopt, now);
    }
  }
  CHECK(calls <= kKindCount * 20);
  CHECK_FALSE(watcher.complete());
}

}  // namespace
}  // namespace jujuberock::table
