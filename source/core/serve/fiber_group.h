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

// Runs the background fibers and timers of one object. Stop() must be called
// from a thread that is not a worker, before anything that the fibers use is
// destroyed.
class FiberGroup {
 public:
  explicit FiberGroup(runtime::WorkerPool& pool) : pool(pool) {}
  ~FiberGroup() { this->Stop(); }
  FiberGroup(const FiberGroup&) = delete;
  FiberGroup& operator=(const FiberGroup&) = delete;

  // Runs the body on the next worker, round-robin.
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

  bool stopping() const { return this->stop_requested; }

  void Stop() {
    this->stop_requested = true;
    this->subscriptions.clear();
    // A timer callback that passed its own check may not have incremented
    // `running` yet.
    for (size_t i = 0; i < this->pool.size(); ++i)
      this->WaitForWorker(i);
    while (this->running.load() > 0)
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }

 private:
  void Run(const std::function<void()>& body) {
    try {
      if (!this->stop_requested)
        body();
    } catch (...) {
      --this->running;
      throw;
    }
    --this->running;
  }

  void WaitForWorker(size_t worker) {
    std::atomic<bool> reached{false};
    this->pool.Spawn(worker, [&reached] { reached = true; });
    while (!reached)
      std::this_thread::sleep_for(std::chrono::microseconds(100));
  }

  runtime::WorkerPool& pool;
  std::atomic<bool> stop_requested{false};
  std::atomic<int> running{0};
  std::vector<common::TimerSubscription> subscriptions;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_FIBER_GROUP_H_
