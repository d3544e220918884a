#ifndef CORE_DISPATCH_DEMAND_H_
#define CORE_DISPATCH_DEMAND_H_

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Mean of an amount per second over the last seconds, with exponentially
// falling weights. Not thread-safe.
class Demand {
 public:
  void Add(double amount, common::TimePoint now);
  // Amount per second.
  double At(common::TimePoint now) const;

 private:
  static constexpr double kMemorySeconds = 4;

  double rate = 0;
  common::TimePoint changed_at;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_DEMAND_H_
