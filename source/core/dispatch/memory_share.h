#ifndef CORE_DISPATCH_MEMORY_SHARE_H_
#define CORE_DISPATCH_MEMORY_SHARE_H_

#include "core/common/time.h"

namespace jujuberock::dispatch {

// What a run was expected to wait for memory, as of its send.
struct MemoryForecast {
  // Expected time to the first token without that wait, and the wait.
  common::Duration without_wait{0};
  common::Duration wait{0};
};

// Learns which share of the memory that runs may need at most they really take:
// runs share the parts of their prompts, generate less than they may, and end
// before other hosts learn of it. A first token that came although the engine
// should have had no memory for it shows that the share is lower; one that was
// as late as expected shows that it is not. Not thread-safe.
class MemoryShare {
 public:
  void Observe(const MemoryForecast& forecast, common::Duration first_token);
  double value() const { return this->share; }

 private:
  static constexpr double kMinShare = 0.25;
  static constexpr double kStep = 0.02;
  // Step back towards 1 for each run that no wait was expected of.
  static constexpr double kReturnStep = 0.0005;

  double share = 1;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_MEMORY_SHARE_H_
