#ifndef CORE_COMMON_STALL_DETECTOR_H_
#define CORE_COMMON_STALL_DETECTOR_H_

#include "core/common/time.h"

namespace jujuberock::common {

// Detects that the process did not run for a while, because it was suspended or
// had no processor. Messages that arrived in the meantime are read only after
// that, so the time at which they are read says little about their age. Pure
// state machine, not thread-safe.
class StallDetector {
 public:
  // A gap between two ticks that is longer than `threshold` is a stall.
  explicit StallDetector(Duration threshold) : threshold(threshold) {}

  // Called periodically, several times within the threshold.
  void OnTick(TimePoint now);

  // Earliest time at which a message that is read now can have arrived.
  TimePoint EarliestArrival(TimePoint now) const;
  // End of the last stall; the earliest time point if there was none.
  TimePoint resumed_at() const { return this->stall_end; }

 private:
  bool IsStall(TimePoint since, TimePoint now) const {
    return this->has_ticked && now - since > this->threshold;
  }

  Duration threshold;
  bool has_ticked = false;
  TimePoint last_tick;
  TimePoint stall_begin;
  TimePoint stall_end;
};

}  // namespace jujuberock::common

#endif  // CORE_COMMON_STALL_DETECTOR_H_
