#include "core/runtime/wall_timer_service.h"

#include <chrono>
#include <memory>
#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

namespace jujuberock::runtime {

namespace {

std::chrono::steady_clock::time_point ToSteady(common::TimePoint when) {
  return std::chrono::steady_clock::time_point(when.time_since_epoch());
}

}  // namespace

// Accessed only on the worker's thread, except for `canceled`.
struct WallTimerService::Entry : std::enable_shared_from_this<Entry> {
  Entry(boost::asio::io_context& io,
        common::TimePoint when,
        common::Duration period,
        Callback callback)
      : timer(io), when(when), period(period), callback(std::move(callback)) {}

  void Arm() {
    this->timer.expires_at(ToSteady(this->when));
    this->timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (!error && !self->canceled)
            self->Fire();
        });
  }

  void Fire() {
    const common::TimePoint due = this->when;
    SpawnLocal([self = this->shared_from_this(), due] {
      if (!self->canceled)
        self->callback(due);
    });
    if (this->period <= common::Duration::zero())
      return;
    this->when = due + this->period;
    this->Arm();
  }

  boost::asio::steady_timer timer;
  common::TimePoint when;
  common::Duration period;
  Callback callback;
  std::atomic<bool> canceled{false};
};

common::TimePoint WallTimerService::Now() const {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return common::TimePoint(
      std::chrono::duration_cast<common::Duration>(since_start));
}

common::UnixTime WallTimerService::WallNow() const {
  return std::chrono::floor<std::chrono::milliseconds>(
      std::chrono::system_clock::now());
}

common::TimerSubscription WallTimerService::At(common::TimePoint when,
                                               Callback callback) {
  return this->Start(
      std::make_shared<Entry>(this->pool.IoContextOf(this->worker), when,
                              common::Duration::zero(), std::move(callback)));
}

common::TimerSubscription WallTimerService::Every(common::Duration period,
                                                  Callback callback) {
  return this->Start(std::make_shared<Entry>(
      this->pool.IoContextOf(this->worker), this->Now() + period, period,
      std::move(callback)));
}

common::TimerSubscription WallTimerService::Start(
    std::shared_ptr<Entry> entry) {
  boost::asio::io_context& io = this->pool.IoContextOf(this->worker);
  boost::asio::post(io, [entry] {
    if (!entry->canceled)
      entry->Arm();
  });
  return common::TimerSubscription([entry, &io] {
    entry->canceled = true;
    boost::asio::post(io, [entry] { entry->timer.cancel(); });
  });
}

}  // namespace jujuberock::runtime
