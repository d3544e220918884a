#include "core/dispatch/service_reach.h"

#include <string>

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;

common::TimePoint At(int ms) {
  return common::TimePoint(milliseconds(1'000'000 + ms));
}

void FailConnects(ServiceReach& reach, int first, int last, int ms) {
  for (int i = first; i < last; ++i)
    reach.OnUnreached("e" + std::to_string(i), At(ms));
}

// Guards against a host without ways to the endpoints that goes on sending.
TEST_CASE("a host that reaches nobody after two failures is impaired") {
  ServiceReach reach;
  reach.OnReached("e0", At(0));
  CHECK_FALSE(reach.IsImpaired(100));
  reach.OnUnreached("e1", At(1010));
  CHECK_FALSE(reach.IsImpaired(100));
  reach.OnUnreached("e1", At(1020));
  CHECK_FALSE(reach.IsImpaired(100));
  reach.OnUnreached("e2", At(1030));
  CHECK(reach.IsImpaired(100));
}

// Guards against a host that hears little and takes crashed endpoints, which
// fail again and again, for a cut of its own ways.
TEST_CASE("a host that tries others and reaches them is not impaired") {
  ServiceReach reach;
  reach.OnReached("e0", At(0));
  for (int ms = 0; ms < 5000; ms += 300) {
    FailConnects(reach, 1, 3, ms + 290);
    CHECK(reach.IsSuspect(100));
    CHECK_FALSE(reach.IsImpaired(100));
    reach.OnReached("e50", At(ms + 300));
  }
}

// Guards against handing requests over because some endpoints have crashed.
TEST_CASE("a host that still reaches others is not impaired") {
  ServiceReach reach;
  FailConnects(reach, 0, 40, 10);
  reach.OnReached("e50", At(20));
  CHECK_FALSE(reach.IsImpaired(100));
  // One of them is tried again in vain.
  reach.OnUnreached("e0", At(30));
  CHECK_FALSE(reach.IsImpaired(100));
}

// Guards against a host that can't open connections while those that are open
// live on.
TEST_CASE("a host that can't connect to most endpoints is impaired") {
  ServiceReach reach;
  FailConnects(reach, 0, 51, 10);
  reach.OnReached("e99", At(20));
  CHECK(reach.IsImpaired(100));
  reach.OnReached("e0", At(30));
  CHECK_FALSE(reach.IsImpaired(100));
}

TEST_CASE("the only endpoint of a service decides") {
  ServiceReach reach;
  CHECK_FALSE(reach.IsImpaired(1));
  CHECK_FALSE(reach.IsImpaired(0));
  reach.OnUnreached("e0", At(0));
  CHECK(reach.IsImpaired(1));
  reach.OnReached("e0", At(10));
  CHECK_FALSE(reach.IsImpaired(1));
}

// Guards against endpoints that are gone or were not tried for long and still
// count.
TEST_CASE("endpoints that are gone or were not tried for long are forgotten") {
  ServiceReach reach;
  FailConnects(reach, 0, 2, 0);
  CHECK(reach.IsImpaired(3));
  reach.Forget("e0");
  CHECK_FALSE(reach.IsImpaired(3));
  reach.OnUnreached("e2", At(5000));
  CHECK(reach.IsImpaired(3));
  reach.Tick(At(0) + ServiceReach::kMemory);
  CHECK(reach.unreached_count() == 1);
  CHECK_FALSE(reach.IsImpaired(3));
}

}  // namespace
}  // namespace jujuberock::dispatch
