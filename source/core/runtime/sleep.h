#ifndef CORE_RUNTIME_SLEEP_H_
#define CORE_RUNTIME_SLEEP_H_

#include "core/common/time.h"

namespace jujuberock::runtime {

// Suspends the calling fiber. For I/O pacing in peers and stand-ins; decisions
// subscribe to the timer service instead.
void SleepFor(common::Duration duration);

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_SLEEP_H_
