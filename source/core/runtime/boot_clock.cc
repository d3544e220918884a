#include "core/runtime/boot_clock.h"

#include <ctime>

namespace jujuberock::runtime {

common::TimePoint BootNow() {
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return common::TimePoint(std::chrono::seconds(now.tv_sec) +
                           std::chrono::duration_cast<common::Duration>(
                               std::chrono::nanoseconds(now.tv_nsec)));
}

}  // namespace jujuberock::runtime
