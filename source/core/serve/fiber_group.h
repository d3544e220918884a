#ifndef CORE_SERVE_FIBER_GROUP_H_
#define CORE_SERVE_FIBER_GROUP_H_

#include <atomic>
#include <chrono>
#include <functional>
#include <thread>
#include <utility>
#include <vector>

#include "core/common/timer_service.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::serve {

// Background fibers and timers of one object. Stop() must be called from a
// thread that is not a worker, before anything that the fibers use is
// destroyed.
class FiberGroup {
 public:
  explicit FiberGroup(runtime::WorkerPool& pool) : pool(pool) {}
  ~FiberGroup() { this->Stop(); }
  FiberGroup(const FiberGroup&) = delete;
  FiberGroup& operator=(const FiberGroup&) = delete;

  // Runs the body on the next worker in turn.
  void Spawn(std::function<void()> body) {
    ++this->running;
    this->pool.Spawn([this, body = std::move(body)] { this->Run(body); });
  }

  void Every(common::TimerService& timers,
             common::Duration period,
             common::TimerService::Callback callback) {
    this->subscriptions.push_back(timers.Every(
        period, [this, callback = std::move(callback)](common::TimePoint now) {
          ++this->running;
          this->Run([&] { callback(now); });
        }));
  }

  bool stopping() const { return this->stop; }

  void Stop() {
    this->stop = true;
    this->subscriptions.clear();
    // A timer's callback may be between its own check and the count.
    for (size_t i = 0; i < this->pool.size(); ++i)
      this->PassThrough(i);
    while (this->running.load() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  void Run(const std::function<void()>& body) {
    try {
      if (!this->stop)
        body();
    } catch (...) {
      --this->running;
      throw;
    }
    --this->running;
  }

  void PassThrough(size_t worker) {
    std::atomic<bool> passed{false};
    this->pool.Spawn(worker, [&passed] { passed = true; });
    while (!passed)
      std::this_thread::sleep_for(std::chrono::microseconds(100));
  }

  runtime::WorkerPool& pool;
  std::atomic<bool> stop{false};
  std::atomic<int> running{0};
  std::vector<common::TimerSubscription> subscriptions;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_FIBER_GROUP_H_
