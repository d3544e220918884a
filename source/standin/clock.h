#ifndef STANDIN_CLOCK_H_
#define STANDIN_CLOCK_H_

#include <chrono>

#include "core/common/time.h"

namespace jujuberock::standin {

inline common::TimePoint Now() {
  const auto since_epoch = std::chrono::steady_clock::now().time_since_epoch();
  return common::TimePoint(
      std::chrono::duration_cast<common::Duration>(since_epoch));
}

inline int64_t WallMilliseconds() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace jujuberock::standin

#endif  // STANDIN_CLOCK_H_
