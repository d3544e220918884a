#ifndef CORE_COMMON_TIME_H_
#define CORE_COMMON_TIME_H_

#include <chrono>
#include <cstdint>

namespace jujuberock::common {

using Duration = std::chrono::microseconds;

// Clock type of monotonic time points. It has no now(): state machines are
// passed the time, and only core/runtime reads a real clock.
struct MonotonicClock {
  using rep = Duration::rep;
  using period = Duration::period;
  using duration = Duration;
  using time_point = std::chrono::time_point<MonotonicClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): name of a standard clock.
  static constexpr bool is_steady = true;
};

// A monotonic time in microseconds since an arbitrary start.
using TimePoint = MonotonicClock::time_point;

// Wall clock time in milliseconds since the Unix epoch. Used only for hour
// bands and journal retention, never to order events.
using UnixTime = std::chrono::sys_time<std::chrono::milliseconds>;

constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

constexpr double ToMilliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

constexpr Duration FromSeconds(double seconds) {
  return Duration(static_cast<int64_t>(seconds * 1e6));
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_TIME_H_
