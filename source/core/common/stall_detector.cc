#include "core/common/stall_detector.h"

namespace jujuberock::common {

namespace {

// Messages that arrived during a stall are read within this time after it.
constexpr Duration kCatchUpTime = std::chrono::seconds(1);

}  // namespace

void StallDetector::OnTick(TimePoint now) {
  if (this->IsStall(this->last_tick, now)) {
    this->stall_begin = this->last_tick;
    this->stall_end = now;
  }
  this->last_tick = now;
  this->has_ticked = true;
}

TimePoint StallDetector::EarliestArrival(TimePoint now) const {
  if (this->IsStall(this->last_tick, now))
    return this->last_tick;
  const bool is_catching_up =
      this->stall_end != TimePoint() && now - this->stall_end < kCatchUpTime;
  return is_catching_up ? this->stall_begin : now;
}

}  // namespace jujuberock::common
