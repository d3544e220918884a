#ifndef CORE_SERVE_ADMISSION_GATE_H_
#define CORE_SERVE_ADMISSION_GATE_H_

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/admission/concurrency_limit.h"
#include "core/admission/controller.h"
#include "core/common/metrics.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"

namespace jujuberock::serve {

class AdmissionGate;

// RAII handle of an admitted request. Releases its slot when destroyed.
class Admission {
 public:
  Admission() = default;
  Admission(AdmissionGate* gate, admission::Ticket ticket)
      : gate(gate), ticket(ticket) {}
  Admission(Admission&& other) noexcept
      : gate(std::exchange(other.gate, nullptr)), ticket(other.ticket) {}
  Admission& operator=(Admission&& other) noexcept {
    std::swap(this->gate, other.gate);
    std::swap(this->ticket, other.ticket);
    return *this;
  }
  ~Admission();

 private:
  AdmissionGate* gate = nullptr;
  admission::Ticket ticket = 0;
};

// Suspends fibers until the admission controller has decided about their
// requests. Thread-safe.
class AdmissionGate {
 public:
  AdmissionGate(const common::TimerService& timers,
                common::MetricRegistry& counters);
  ~AdmissionGate();

  // Suspends the calling fiber until the request is admitted. Throws
  // RefusedError with the controller's code, or with kDeadlineUnreachable if
  // the request expired in the queue. In both cases the request has not run.
  Admission Acquire(const admission::AdmissionRequest& request);

  // `max_running` is this host's share of the endpoints' slots. The concurrency
  // limit drops below it while first tokens arrive late.
  void SetService(std::string_view service,
                  uint32_t max_running,
                  uint32_t max_queue);
  // Adjusts the service's concurrency limit. `elapsed` is the time from the
  // dispatch of a request to its first token, `patience` the time from its
  // arrival to its deadline.
  void OnFirstToken(std::string_view service,
                    common::Duration elapsed,
                    common::Duration patience);
  void SetTeam(std::string_view team, double weight, uint32_t max_running);
  // Expires queued requests that can no longer meet their deadline.
  void OnTick(common::TimePoint now);

  uint32_t running(std::string_view team);
  uint32_t queued(std::string_view team);

 private:
  friend class Admission;
  struct Waiter;
  using WaiterPtr = std::shared_ptr<Waiter>;

  void Release(admission::Ticket ticket);
  // Removes and returns the waiters of these tickets. The mutex must be held.
  std::vector<WaiterPtr> TakeWaiters(
      const std::vector<admission::Ticket>& tickets);

  const common::TimerService& timers;
  common::MetricRegistry& counters;
  common::Counter& admitted;
  common::Counter& expired;
  common::DurationHistogram& wait_time;
  common::RankedMutex mutex{common::LockRank::kAdmission};
  struct ServiceLimit {
    admission::ConcurrencyLimit running;
    uint32_t max_queue = 0;
  };

  admission::Controller controller;
  std::map<std::string, ServiceLimit, std::less<>> service_limits;
  std::unordered_map<admission::Ticket, WaiterPtr> waiters;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_ADMISSION_GATE_H_
