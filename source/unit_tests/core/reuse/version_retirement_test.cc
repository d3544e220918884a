#include "core/reuse/version_retirement.h"

#include <catch2/catch.hpp>

namespace jujuberock::reuse {
namespace {

using common::TimePoint;

constexpr common::Duration kStep = std::chrono::milliseconds(100);

struct Observer {
  VersionRetirement retirement;
  TimePoint now = TimePoint(std::chrono::seconds(100));

  // Reports the same engines repeatedly for `time`.
  void ObserveFor(const std::vector<EngineVersion>& engines,
                  common::Duration time) {
    for (const TimePoint end = this->now + time; this->now < end;
         this->now += kStep)
      this->retirement.OnEngines(engines, this->now);
  }
  uint64_t Oldest() const { return this->retirement.OldestInUse(this->now); }
};

// Guards against freeing parts that an engine may still read.
TEST_CASE("a version is in use until no engine has it any more") {
  Observer observer;
  observer.ObserveFor({{"a", 1}, {"b", 1}}, std::chrono::seconds(30));
  CHECK(observer.Oldest() == 1);
  observer.ObserveFor({{"a", 2}, {"b", 1}}, std::chrono::seconds(10));
  CHECK(observer.Oldest() == 1);
  SECTION("the last engine was updated, but its reads may be in progress") {
    observer.ObserveFor({{"a", 2}, {"b", 2}}, std::chrono::milliseconds(1500));
    CHECK(observer.Oldest() == 0);
    observer.ObserveFor({{"a", 2}, {"b", 2}}, std::chrono::milliseconds(500));
    CHECK(observer.Oldest() == 2);
  }
  SECTION("the last engine disappeared, but may return with its old version") {
    observer.ObserveFor({{"a", 2}}, std::chrono::seconds(15));
    CHECK(observer.Oldest() == 1);
    observer.ObserveFor({{"a", 2}, {"b", 1}}, std::chrono::seconds(10));
    CHECK(observer.Oldest() == 1);
  }
  SECTION("the last engine is gone for good") {
    observer.ObserveFor({{"a", 2}}, std::chrono::seconds(23));
    CHECK(observer.Oldest() == 2);
  }
  SECTION("the version of an engine is unknown") {
    observer.ObserveFor({{"a", 2}, {"b", 0}}, std::chrono::seconds(23));
    CHECK(observer.Oldest() == 0);
  }
}

// Guards against freeing parts on a host that has just started and does not
// know the engines that disappeared before.
TEST_CASE("a new observer waits for engines that may return") {
  Observer observer;
  observer.ObserveFor({{"a", 2}}, std::chrono::seconds(19));
  CHECK(observer.Oldest() == 0);
  observer.ObserveFor({{"a", 2}}, std::chrono::seconds(2));
  CHECK(observer.Oldest() == 2);
}

}  // namespace
}  // namespace jujuberock::reuse
