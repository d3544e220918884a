#ifndef CORE_GATEWAY_ADMISSION_GATE_H_
#define CORE_GATEWAY_ADMISSION_GATE_H_

#include <functional>
#include <map>

#include <boost/fiber/condition_variable.hpp>

#include "core/common/time.h"
#include "core/dispatch/admission_floor.h"
#include "core/dispatch/admission_queue.h"

namespace jujuberock::gateway {

// Suspends the fibers of the requests of one service that wait on this host,
// and wakes them in the order of the queue when room may have been freed. A
// wake-up goes to the first one; one that can't be sent passes it on to the
// next, up to a limit, since the first ones may need an endpoint that the
// others don't. All calls are made on one worker.
class AdmissionGate {
 public:
  // Holds a request's place in the queue.
  class Waiter {
   public:
    Waiter(AdmissionGate& gate, const dispatch::WaitingRequest& request);
    ~Waiter();
    Waiter(const Waiter&) = delete;
    Waiter& operator=(const Waiter&) = delete;

    // Suspends the fiber until the request is to be tried again, but for
    // `longest` at most.
    void Wait(bool waits_for_room, common::Duration longest);

   private:
    friend class AdmissionGate;

    AdmissionGate& gate;
    dispatch::AdmissionQueue::Place place;
    boost::fibers::condition_variable_any wake_up;
    bool is_woken = false;
    // Whether another request is to be tried if this one has to go on waiting.
    bool passes_on = false;
  };

  explicit AdmissionGate(std::function<common::TimePoint()> now)
      : now(std::move(now)) {}

  // Room may have been freed: a send has ended, an endpoint has reported its
  // load or come back, or the configuration has changed.
  void OnRoomFreed();
  bool MustWait(const dispatch::WaitingRequest& request) const {
    return this->queue.MustWait(request, this->now());
  }
  size_t waiting() const { return this->queue.size(); }
  dispatch::AdmissionFloor& floor() { return this->admission_floor; }

 private:
  // Requests that one wake-up tries at most.
  static constexpr size_t kTriesPerWakeUp = 4;
  // Interval at which the first request is tried without a wake-up, because
  // what the engines have pending shrinks with time.
  static constexpr common::Duration kFirstInterval =
      std::chrono::milliseconds(25);

  void Wake(Waiter& waiter);
  // Wakes the next request of the wake-up in progress.
  void PassOn(dispatch::AdmissionQueue::Place tried);

  std::function<common::TimePoint()> now;
  dispatch::AdmissionQueue queue;
  dispatch::AdmissionFloor admission_floor;
  std::map<dispatch::AdmissionQueue::Place, Waiter*> waiters;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ADMISSION_GATE_H_
