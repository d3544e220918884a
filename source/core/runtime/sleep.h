#ifndef CORE_RUNTIME_SLEEP_H_
#define CORE_RUNTIME_SLEEP_H_

#include "core/common/time.h"

namespace jujuberock::runtime {

// Suspends the calling fiber. For pacing I/O in peers and stand-ins only;
// decision logic subscribes to the TimerService instead.
void SleepFor(common::Duration duration);

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_SLEEP_H_
