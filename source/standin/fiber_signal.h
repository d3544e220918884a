#ifndef STANDIN_FIBER_SIGNAL_H_
#define STANDIN_FIBER_SIGNAL_H_

#include <mutex>

#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/mutex.hpp>

#include "core/common/time.h"

namespace jujuberock::standin {

// Condition variable for fibers of one worker. A fiber that checks its
// predicate and then waits can not miss a notification, since no other fiber of
// the worker runs in between.
class FiberSignal {
 public:
  void Wait() {
    std::unique_lock lock(this->mutex);
    this->condition.wait(lock);
  }

  // Returns after a notification or after `timeout`.
  void WaitFor(common::Duration timeout) {
    std::unique_lock lock(this->mutex);
    this->condition.wait_for(lock, timeout);
  }

  void NotifyAll() { this->condition.notify_all(); }

 private:
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable condition;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_FIBER_SIGNAL_H_
