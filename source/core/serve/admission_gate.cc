#include "core/serve/admission_gate.h"

#include <string>

#include <boost/fiber/future.hpp>

#include "core/caller/problem.h"

namespace jujuberock::serve {

using admission::Decision;
using admission::DecisionState;
using admission::Ticket;
using common::RankedLock;
using common::ResultCode;
using common::TimePoint;

struct AdmissionGate::Waiter {
  boost::fibers::promise<bool> admitted;
};

Admission::~Admission() {
  if (this->gate)
    this->gate->Release(this->ticket);
}

AdmissionGate::AdmissionGate(const common::TimerService& timers,
                             common::MetricRegistry& counters)
    : timers(timers),
      counters(counters),
      admitted(counters.GetCounter("admission_admitted_total")),
      expired(counters.GetCounter("admission_expired_total")),
      wait_time(counters.GetHistogram("admission_wait_seconds")) {}

AdmissionGate::~AdmissionGate() = default;

Admission AdmissionGate::Acquire(const admission::AdmissionRequest& request) {
  const TimePoint start = this->timers.Now();
  WaiterPtr waiter;
  Decision decision;
  std::vector<WaiterPtr> also_admitted;
  {
    RankedLock lock(this->mutex);
    decision = this->controller.Submit(request, start);
    if (decision.state == DecisionState::kQueued) {
      waiter = std::make_shared<Waiter>();
      this->waiters[decision.ticket] = waiter;
    }
    also_admitted = this->TakeWaiters(decision.also_admitted);
  }
  for (const WaiterPtr& other : also_admitted)
    other->admitted.set_value(true);
  if (decision.state == DecisionState::kRefused) {
    const std::string name(common::InfoOf(decision.code).name);
    this->counters.GetCounter("admission_refused_total", {{"code", name}})
        .Add();
    throw caller::RefusedError(decision.code, "refused by admission control",
                               decision.retry_after);
  }
  if (waiter && !waiter->admitted.get_future().get()) {
    this->expired.Add();
    throw caller::RefusedError(ResultCode::kDeadlineUnreachable,
                               "the request was queued until its deadline "
                               "could no longer be met",
                               decision.retry_after);
  }
  this->admitted.Add();
  this->wait_time.Observe(this->timers.Now() - start);
  return Admission(this, decision.ticket);
}

std::vector<AdmissionGate::WaiterPtr> AdmissionGate::TakeWaiters(
    const std::vector<Ticket>& tickets) {
  std::vector<WaiterPtr> taken;
  for (const Ticket ticket : tickets) {
    const auto found = this->waiters.find(ticket);
    if (found == this->waiters.end())
      continue;
    taken.push_back(std::move(found->second));
    this->waiters.erase(found);
  }
  return taken;
}

void AdmissionGate::Release(Ticket ticket) {
  std::vector<WaiterPtr> next;
  {
    RankedLock lock(this->mutex);
    next =
        this->TakeWaiters(this->controller.Finish(ticket, this->timers.Now()));
  }
  // Waking a fiber may suspend this one, so it happens without the lock.
  for (const WaiterPtr& waiter : next)
    waiter->admitted.set_value(true);
}

void AdmissionGate::SetService(std::string_view service,
                               uint32_t max_running,
                               uint32_t max_queue) {
  RankedLock lock(this->mutex);
  auto found = this->service_limits.find(service);
  if (found == this->service_limits.end()) {
    const ServiceLimit limit{admission::ConcurrencyLimit(max_running), 0};
    found = this->service_limits.emplace(service, limit).first;
  }
  ServiceLimit& limit = found->second;
  limit.running.SetMax(max_running);
  limit.max_queue = max_queue;
  this->controller.SetService(service, limit.running.value(), max_queue);
}

void AdmissionGate::OnFirstToken(std::string_view service,
                                 common::Duration elapsed,
                                 common::Duration patience) {
  RankedLock lock(this->mutex);
  const auto found = this->service_limits.find(service);
  if (found == this->service_limits.end())
    return;
  ServiceLimit& limit = found->second;
  limit.running.OnFirstToken(elapsed, patience,
                             this->controller.service_running(service));
  this->controller.SetService(service, limit.running.value(), limit.max_queue);
}

void AdmissionGate::SetTeam(std::string_view team,
                            double weight,
                            uint32_t max_running) {
  RankedLock lock(this->mutex);
  this->controller.SetTeam(team, weight, max_running);
}

void AdmissionGate::OnTick(TimePoint now) {
  std::vector<WaiterPtr> admitted_now;
  std::vector<WaiterPtr> expired_now;
  {
    RankedLock lock(this->mutex);
    const admission::TickResult result = this->controller.OnTick(now);
    admitted_now = this->TakeWaiters(result.admitted);
    expired_now = this->TakeWaiters(result.expired);
  }
  for (const WaiterPtr& waiter : admitted_now)
    waiter->admitted.set_value(true);
  for (const WaiterPtr& waiter : expired_now)
    waiter->admitted.set_value(false);
}

uint32_t AdmissionGate::running(std::string_view team) {
  RankedLock lock(this->mutex);
  return this->controller.running(team);
}

uint32_t AdmissionGate::queued(std::string_view team) {
  RankedLock lock(this->mutex);
  return this->controller.queued(team);
}

}  // namespace jujuberock::serve
