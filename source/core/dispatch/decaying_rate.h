#ifndef CORE_DISPATCH_DECAYING_RATE_H_
#define CORE_DISPATCH_DECAYING_RATE_H_

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Exponentially weighted moving average of an amount per second. Not
// thread-safe.
class DecayingRate {
 public:
  void Add(double amount, common::TimePoint now);
  // Amount per second.
  double At(common::TimePoint now) const;

 private:
  static constexpr double kTimeConstantSeconds = 4;

  double rate = 0;
  common::TimePoint changed_at;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_DEMAND_H_
