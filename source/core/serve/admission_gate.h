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
#include "core/common/counters.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"

namespace jujuberock::serve {

class AdmissionGate;

// An admitted request; gives its place up when it is destroyed.
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

// Lets fibers wait for the admission controller's decision. Thread-safe.
class AdmissionGate {
 public:
  AdmissionGate(const common::TimerService& timers,
                common::CounterRegistry& counters);
  ~AdmissionGate();

  // Suspends the fiber until the request is admitted. Throws RefusedError with
  // the controller's code, or kDeadlineUnreachable when it expired; in each
  // case the request has not run.
  Admission Enter(const admission::AdmissionRequest& request);

  // `max_running` is this host's share of the endpoints' slots; fewer run when
  // first tokens come late.
  void SetService(std::string_view service,
                  uint32_t max_running,
                  uint32_t max_queue);
  // A first token came this long after its dispatch.
  void OnFirstToken(std::string_view service,
                    common::Duration elapsed,
                    common::Duration patience);
  void SetTeam(std::string_view team, double weight, uint32_t max_running);
  // Expires requests that can not meet their deadline any more.
  void OnTick(common::TimePoint now);

  uint32_t running(std::string_view team);
  uint32_t queued(std::string_view team);

 private:
  friend class Admission;
  struct Waiter;
  using WaiterPtr = std::shared_ptr<Waiter>;

  void Leave(admission::Ticket ticket);
  // Removes the waiters of these tickets; the mutex must be held.
  std::vector<WaiterPtr> TakeWaiters(
      const std::vector<admission::Ticket>& tickets);

  const common::TimerService& timers;
  common::CounterRegistry& counters;
  common::Counter& admitted;
  common::Counter& expired;
  common::DurationHistogram& wait_time;
  common::RankedMutex mutex{common::LockRank::kAdmission};
  struct ServiceLimit {
    admission::ConcurrencyLimit running;
    uint32_t max_queue = 0;
  };

  admission::Controller controller;
  std::map<std::string, ServiceLimit, std::less<>> limits;
  std::unordered_map<admission::Ticket, WaiterPtr> waiters;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_ADMISSION_GATE_H_
