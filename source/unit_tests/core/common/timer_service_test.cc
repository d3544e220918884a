#include "core/common/timer_service.h"

#include <catch2/catch.hpp>
#include <vector>

namespace jujuberock::common {
namespace {

using std::chrono::milliseconds;

TEST_CASE("callbacks run in order of their due time") {
  ManualTimerService timers;
  std::vector<int> order;
  auto second = timers.At(TimePoint(milliseconds(20)),
                          [&](TimePoint) { order.push_back(2); });
  auto first = timers.At(TimePoint(milliseconds(10)),
                         [&](TimePoint) { order.push_back(1); });
  timers.Advance(milliseconds(30));
  REQUIRE(order == std::vector<int>{1, 2});
}

TEST_CASE("a timer does not fire after its subscription was destroyed") {
  ManualTimerService timers;
  int fired = 0;
  {
    auto dropped = timers.Every(milliseconds(10), [&](TimePoint) { ++fired; });
    timers.Advance(milliseconds(25));
  }
  timers.Advance(milliseconds(100));
  REQUIRE(fired == 2);
}

}  // namespace
}  // namespace jujuberock::common
