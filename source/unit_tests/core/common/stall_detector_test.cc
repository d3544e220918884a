#include "core/common/stall_detector.h"

#include <catch2/catch.hpp>

namespace jujuberock::common {
namespace {

using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

StallDetector Ticking(int until_ms) {
  StallDetector detector(milliseconds(450));
  for (int ms = 0; ms <= until_ms; ms += 100)
    detector.OnTick(At(ms));
  return detector;
}

TEST_CASE("a message arrives when it is read while the process runs") {
  const StallDetector detector = Ticking(1000);
  CHECK(detector.EarliestArrival(At(1090)) == At(1090));
  CHECK(detector.resumed_at() == TimePoint());
}

TEST_CASE("a message can have arrived at any time before the first tick") {
  const StallDetector detector(milliseconds(450));
  CHECK(detector.EarliestArrival(At(5000)) == At(5000));
}

// Guards against taking a message that waited for a suspended process for a new
// one, in either order of the timer and the reader after the suspension.
TEST_CASE("a message may have arrived during a stall that has just ended") {
  StallDetector detector = Ticking(1000);
  CHECK(detector.EarliestArrival(At(5000)) == At(1000));
  detector.OnTick(At(5001));
  CHECK(detector.EarliestArrival(At(5002)) == At(1000));
  CHECK(detector.resumed_at() == At(5001));
  for (int ms = 5100; ms <= 6100; ms += 100)
    detector.OnTick(At(ms));
  CHECK(detector.EarliestArrival(At(6100)) == At(6100));
}

}  // namespace
}  // namespace jujuberock::common
