#include "core/dispatch/stop_policy.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a request whose deadline fits starts without a known duration") {
  CHECK(MayStartWhileStopping({seconds(4), std::nullopt, false}, seconds(4)));
  CHECK(MayStartWhileStopping({seconds(4), seconds(9), false}, seconds(4)));
}

// Guards against requests that are passed on late in a stop and cut at its end,
// some of which must not be repeated.
TEST_CASE("a request starts in a stop only if similar ones would end") {
  CHECK_FALSE(
      MayStartWhileStopping({seconds(9), std::nullopt, true}, seconds(7)));
  CHECK_FALSE(
      MayStartWhileStopping({seconds(9), seconds(6), true}, seconds(7)));
  CHECK(MayStartWhileStopping({seconds(9), seconds(5), true}, seconds(7)));
  CHECK(
      MayStartWhileStopping({seconds(9), milliseconds(400), true}, seconds(5)));
}

TEST_CASE("a request that must not be repeated needs a wider margin") {
  CHECK_FALSE(
      MayStartWhileStopping({seconds(9), seconds(5), false}, seconds(7)));
  CHECK(MayStartWhileStopping({seconds(9), seconds(4), false}, seconds(7)));
}

}  // namespace
}  // namespace jujuberock::dispatch
