#ifndef CORE_RUNTIME_BOOT_CLOCK_H_
#define CORE_RUNTIME_BOOT_CLOCK_H_

#include "core/common/time.h"

namespace jujuberock::runtime {

// Time since boot (CLOCK_BOOTTIME), including time spent suspended. The ages of
// views and leases use it because a steady clock does not advance during
// suspend.
common::TimePoint BootNow();

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_BOOT_CLOCK_H_
