#include "core/rollout/insistence.h"

#include <catch2/catch.hpp>

namespace jujuberock::rollout {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr common::Duration kBound = std::chrono::seconds(8);

TEST_CASE("a version that was just named may wait for its engines") {
  const TimePoint learnt(std::chrono::seconds(100));
  CHECK(InsistFrom({learnt, false}, kBound) == learnt + milliseconds(6400));
}

// Guards against requests on old weights from a host that was restarted while
// engines were changing: it learnt of the version when it started, 0.9 s after
// the version was named, and sent a request to an old engine 7 s after that.
TEST_CASE("a host that has just started insists early") {
  const TimePoint learnt(std::chrono::seconds(100));
  CHECK(InsistFrom({learnt, true}, kBound) <= learnt + milliseconds(2000));
}

}  // namespace
}  // namespace jujuberock::rollout
