#ifndef CORE_RUNTIME_BOOT_CLOCK_H_
#define CORE_RUNTIME_BOOT_CLOCK_H_

#include "core/common/time.h"

namespace jujuberock::runtime {

// Time since the machine started, including the time that it was suspended.
// Ages of views and leases need it: a steady clock stands still in a suspend.
common::TimePoint BootNow();

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_BOOT_CLOCK_H_
