#ifndef CORE_RUNTIME_WALL_TIMER_SERVICE_H_
#define CORE_RUNTIME_WALL_TIMER_SERVICE_H_

#include <atomic>

#include "core/common/timer_service.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime {

// TimerService on the system clocks, used by real processes. Each callback runs
// on its own fiber, on one worker of the pool, and may suspend. The pool must
// outlive the service.
class WallTimerService : public common::TimerService {
 public:
  WallTimerService(WorkerPool& pool, size_t worker)
      : pool(pool), worker(worker) {}

  common::TimePoint Now() const override;
  common::UnixTime WallNow() const override;
  common::TimerSubscription At(common::TimePoint when,
                               Callback callback) override;
  common::TimerSubscription Every(common::Duration period,
                                  Callback callback) override;

 private:
  struct Entry;

  common::TimerSubscription Start(std::shared_ptr<Entry> entry);

  WorkerPool& pool;
  size_t worker;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_WALL_TIMER_SERVICE_H_
