#include "core/rollout/version_requirements.h"

#include <catch2/catch.hpp>

namespace jujuberock::rollout {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr common::Duration kBound = std::chrono::seconds(8);

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

// Version 1 was announced long ago, version 2 at time 0.
VersionRequirements TwoVersions() {
  VersionRequirements versions;
  versions.OnAnnounced(1, kBound, At(-60000), At(-60000));
  versions.OnAnnounced(2, kBound, At(0), At(0));
  return versions;
}

TEST_CASE("a version is not required right after its announcement") {
  const VersionRequirements versions = TwoVersions();
  CHECK(versions.newest() == 2);
  CHECK(versions.RequiredAt(At(6300)) == 1);
  CHECK(versions.RequiredAt(At(6500)) == 2);
}

// Guards against requests on old weights from a host that restarts during a
// rollout: it learned of the version when it started, 0.9 s after the
// announcement, and sent a request to an outdated engine 7 s after that.
TEST_CASE("a host that has just started requires a version early") {
  VersionRequirements versions;
  versions.OnAnnounced(2, kBound, std::nullopt, At(900));
  CHECK(versions.RequiredAt(At(900)) == 0);
  CHECK(versions.RequiredAt(At(2900)) == 2);
}

// Guards against runs on old weights that were sent in time but waited in the
// queue of a busy engine until after the bound.
TEST_CASE("a run on an older version must begin before the bound") {
  const VersionRequirements versions = TwoVersions();
  CHECK_FALSE(versions.StartDeadline(2));
  const auto deadline = versions.StartDeadline(1);
  REQUIRE(deadline);
  CHECK(*deadline > At(6400));
  CHECK(*deadline < At(0) + kBound);
}

TEST_CASE("the oldest outstanding version limits the start of a run") {
  VersionRequirements versions = TwoVersions();
  versions.OnAnnounced(3, kBound, At(4000), At(4000));
  REQUIRE(versions.StartDeadline(1));
  CHECK(*versions.StartDeadline(1) < At(0) + kBound);
  REQUIRE(versions.StartDeadline(2));
  CHECK(*versions.StartDeadline(2) > At(0) + kBound);
}

// Guards against refusals from 1.6 s after the announcement on, while no engine
// had an order yet: the first version of a model that was ever announced
// reached hosts that had been running for 30 s.
TEST_CASE(
    "the first version is not required early by a host that was running") {
  VersionRequirements versions;
  versions.OnAnnounced(2, kBound, At(0), At(0));
  CHECK(versions.RequiredAt(At(6300)) == 0);
  CHECK(versions.RequiredAt(At(6500)) == 2);
}

TEST_CASE("a version announced during an outage counts from the last answer") {
  VersionRequirements versions;
  SECTION("the outage was short") {
    versions.OnAnnounced(2, kBound, At(0), At(2000));
    CHECK(versions.RequiredAt(At(6300)) == 0);
    CHECK(versions.RequiredAt(At(6500)) == 2);
  }
  SECTION("the outage was longer than the bound") {
    versions.OnAnnounced(2, kBound, At(0), At(20000));
    CHECK(versions.RequiredAt(At(21500)) == 0);
    CHECK(versions.RequiredAt(At(21700)) == 2);
  }
}

// Guards against requests on the oldest weights after a third version was
// announced while engines were still late with the second.
TEST_CASE("a newer announcement does not cancel an earlier requirement") {
  VersionRequirements versions = TwoVersions();
  SECTION("the earlier version is required already") {
    versions.OnAnnounced(3, kBound, At(9000), At(9000));
    CHECK(versions.RequiredAt(At(9100)) == 2);
    CHECK(versions.RequiredAt(At(15500)) == 3);
  }
  SECTION("the earlier version is required later") {
    versions.OnAnnounced(3, kBound, At(4000), At(4000));
    CHECK(versions.RequiredAt(At(6300)) == 1);
    CHECK(versions.RequiredAt(At(6500)) == 2);
    CHECK(versions.RequiredAt(At(10500)) == 3);
  }
}

TEST_CASE("announcing an older version has no effect") {
  VersionRequirements versions = TwoVersions();
  CHECK_FALSE(versions.OnAnnounced(2, kBound, At(5000), At(5000)));
  CHECK_FALSE(versions.OnAnnounced(1, kBound, At(5000), At(5000)));
  CHECK(versions.RequiredAt(At(6500)) == 2);
}

}  // namespace
}  // namespace jujuberock::rollout
