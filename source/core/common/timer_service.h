#ifndef CORE_COMMON_TIMER_SERVICE_H_
#define CORE_COMMON_TIMER_SERVICE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "core/common/time.h"

namespace jujuberock::common {

// Ends a subscription when it is destroyed. A callback that already runs on
// another thread may still finish after that.
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
    if (auto run = std::exchange(this->cancel, nullptr))
      run();
  }

 private:
  std::function<void()> cancel;
};

// Source of time. Parts subscribe to it instead of reading clocks or sleeping.
class TimerService {
 public:
  using Callback = std::function<void(TimePoint now)>;

  virtual ~TimerService() = default;

  virtual TimePoint Now() const = 0;
  virtual UnixTime WallNow() const = 0;

  // Runs the callback once at `when`, or at once when that has passed.
  [[nodiscard]] virtual TimerSubscription At(TimePoint when,
                                             Callback callback) = 0;

  // Runs the callback every `period`, first after one period.
  [[nodiscard]] virtual TimerSubscription Every(Duration period,
                                                Callback callback) = 0;
};

// A timer service that tests and the policy experiments drive by hand. Not
// thread-safe.
class ManualTimerService : public TimerService {
 public:
  explicit ManualTimerService(UnixTime wall_start = UnixTime());

  TimePoint Now() const override { return this->now; }
  UnixTime WallNow() const override;
  TimerSubscription At(TimePoint when, Callback callback) override;
  TimerSubscription Every(Duration period, Callback callback) override;

  // Runs every callback due up to `until` in order of time, then sets Now().
  void AdvanceTo(TimePoint until);
  void Advance(Duration by) { this->AdvanceTo(this->now + by); }

 private:
  struct Entry {
    Callback callback;
    Duration period;  // zero: once
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
