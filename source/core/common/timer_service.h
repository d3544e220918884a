#ifndef CORE_COMMON_TIMER_SERVICE_H_
#define CORE_COMMON_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "core/common/time.h"

namespace jujuberock::common {

// Cancels its timer when it is destroyed. A callback that is already running on
// another thread may finish after that.
class TimerSubscription {
 public:
  TimerSubscription() = default;
  explicit TimerSubscription(std::function<void()> cancel)
      : cancel(std::move(cancel)) {}
  TimerSubscription(TimerSubscription&& other) noexcept
      : cancel(std::exchange(other.cancel, nullptr)) {}
  TimerSubscription& operator=(TimerSubscription&& other) noexcept {
    this->Cancel();
    this->cancel = std::exchange(other.cancel, nullptr);
    return *this;
  }
  ~TimerSubscription() { this->Cancel(); }

  void Cancel() {
    if (auto callback = std::exchange(this->cancel, nullptr))
      callback();
  }

 private:
  std::function<void()> cancel;
};

// Source of time. Components subscribe to it instead of reading clocks or
// sleeping.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  virtual ~TimerService() = default;

  virtual TimePoint Now() const = 0;
  virtual UnixTime WallNow() const = 0;

  // Runs the callback once at `when`, or immediately if that time has passed.
  [[nodiscard]] virtual TimerSubscription At(TimePoint when,
                                             Callback callback) = 0;

  // Runs the callback every `period`, for the first time after one period.
  [[nodiscard]] virtual TimerSubscription Every(Duration period,
                                                Callback callback) = 0;
};

// A timer service whose time is advanced by the caller, for tests and the
// policy experiments. Not thread-safe.
class ManualTimerService : public TimerService {
 public:
  explicit ManualTimerService(UnixTime wall_start = UnixTime());

  TimePoint Now() const override { return this->now; }
  UnixTime WallNow() const override;
  TimerSubscription At(TimePoint when, Callback callback) override;
  TimerSubscription Every(Duration period, Callback callback) override;

  // Runs every callback due until `until` in order of due time, then sets Now()
  // to `until`.
  void AdvanceTo(TimePoint until);
  void Advance(Duration by) { this->AdvanceTo(this->now + by); }

 private:
  struct Entry {
    Callback callback;
    Duration period;  // zero for a one-shot timer
  };
  using Key = std::pair<TimePoint, uint64_t>;

  TimerSubscription Add(TimePoint when, Duration period, Callback callback);

  TimePoint now;
  UnixTime wall_start;
  uint64_t next_id = 1;
  // Shared with subscriptions, which may outlive the service.
  std::shared_ptr<std::map<Key, Entry>> entries;
};

}  // namespace jujuberock::common

#endif  // CORE_COMMON_TIMER_SERVICE_H_
