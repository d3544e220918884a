#include "core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <tuple>
#include <utility>

namespace jujuberock::rollout {

namespace {

constexpr common::Duration kOrderRetryDelay = std::chrono::milliseconds(300);
// An endpoint whose order failed this often makes room for others, because it
// may be dead.
constexpr int kMaxOrderFailures = 4;
constexpr common::Duration kFailureDeferral = std::chrono::milliseconds(1000);

}  // namespace

void RolloutPlan::SetTarget(uint64_t target) {
  if (target <= this->version)
    return;
  this->version = target;
  for (auto& [id, reservation] : this->reservations) {
    if (reservation.state == OrderState::kNone)
      continue;
    // An engine that is still loading the former target reports that it is
    // busy, and gets the new order when it has finished.
    reservation.state = OrderState::kUncertain;
    reservation.retry_at = common::TimePoint();
  }
}

bool RolloutPlan::IsDeferred(const std::string& id,
                             common::TimePoint now) const {
  const auto deferral = this->deferred.find(id);
  return deferral != this->deferred.end() && now < deferral->second;
}

bool RolloutPlan::IsLoading(const Reservation& reservation,
                            common::TimePoint now) const {
  switch (reservation.state) {
    case OrderState::kNone:
      return false;
    case OrderState::kUncertain:
      return true;
    case OrderState::kExecuting:
      return now - reservation.active_at < this->options.order_timeout;
  }
  return false;
}

size_t RolloutPlan::MaxLoading(size_t endpoint_count) const {
  const double share =
      this->options.max_loading_share * static_cast<double>(endpoint_count);
  return static_cast<size_t>(std::max(1.0, std::round(share)));
}

common::TimePoint RolloutPlan::LoadStart(const Reservation& reservation,
                                         common::TimePoint now) {
  return reservation.state == OrderState::kExecuting ? reservation.ordered_at
                                                     : now;
}

size_t RolloutPlan::CountToReserve(common::TimePoint now) const {
  // The first loads are assumed to be as short as the notice.
  const common::Duration usual = this->load_time.value_or(this->options.notice);
  size_t occupied = 0;
  for (const auto& [id, reservation] : this->reservations) {
    const bool ends_within_notice =
        this->IsLoading(reservation, now) &&
        LoadStart(reservation, now) + usual <= now + this->options.notice;
    occupied += ends_within_notice ? 0 : 1;
  }
  if (this->reservations.size() >= 2 * this->max_loading)
    return 0;
  return this->max_loading - std::min(occupied, this->max_loading);
}

std::vector<std::string> RolloutPlan::Candidates(
    std::vector<PlannedEndpoint> endpoints,
    common::TimePoint now) const {
  std::erase_if(endpoints, [&](const PlannedEndpoint& endpoint) {
    return endpoint.version >= this->version ||
           this->reservations.contains(endpoint.id);
  });
  std::stable_sort(endpoints.begin(), endpoints.end(),
                   [](const PlannedEndpoint& a, const PlannedEndpoint& b) {
                     return std::tie(a.version, a.in_flight) <
                            std::tie(b.version, b.in_flight);
                   });
  // Deferred endpoints come last, so that they are reserved only if none of the
  // others is left.
  std::stable_partition(endpoints.begin(), endpoints.end(),
                        [&](const PlannedEndpoint& endpoint) {
                          return !this->IsDeferred(endpoint.id, now);
                        });
  std::vector<std::string> ids;
  for (const PlannedEndpoint& endpoint : endpoints)
    ids.push_back(endpoint.id);
  return ids;
}

bool RolloutPlan::Reserve(const std::vector<PlannedEndpoint>& endpoints,
                          common::TimePoint now) {
  std::set<std::string> outdated;
  for (const PlannedEndpoint& endpoint : endpoints) {
    if (endpoint.version < this->version)
      outdated.insert(endpoint.id);
  }
  const size_t before = this->reservations.size();
  std::erase_if(this->reservations, [&](const auto& entry) {
    return !outdated.contains(entry.first);
  });
  std::erase_if(this->deferred,
                [&](const auto& entry) { return now >= entry.second; });
  bool changed = before != this->reservations.size();
  this->max_loading = this->MaxLoading(endpoints.size());
  const std::vector<std::string> candidates = this->Candidates(endpoints, now);
  const size_t count = std::min(this->CountToReserve(now), candidates.size());
  for (size_t i = 0; i < count; ++i) {
    this->reservations[candidates[i]].reserved_at = now;
    changed = true;
  }
  return changed;
}

void RolloutPlan::Defer(const std::vector<std::string>& ids,
                        common::TimePoint until) {
  for (const std::string& id : ids)
    this->deferred[id] = until;
}

void RolloutPlan::OnStored(const std::vector<std::string>& ids,
                           common::TimePoint now) {
  for (const std::string& id : ids) {
    const auto found = this->reservations.find(id);
    if (found != this->reservations.end() && !found->second.stored_at)
      found->second.stored_at = now;
  }
}

std::vector<std::string> RolloutPlan::Due(common::TimePoint now) const {
  if (now < this->earliest_order)
    return {};
  using Waiting = std::pair<common::TimePoint, std::string>;
  std::vector<Waiting> waiting;
  std::vector<std::string> due;
  size_t loading = 0;
  for (const auto& [id, reservation] : this->reservations) {
    const bool may_retry =
        now >= reservation.retry_at && !this->IsDeferred(id, now);
    if (this->IsLoading(reservation, now)) {
      ++loading;
      // A repeated order needs no further load.
      if (reservation.state == OrderState::kUncertain && may_retry)
        due.push_back(id);
      continue;
    }
    const bool notice_passed =
        reservation.stored_at &&
        now - *reservation.stored_at >= this->options.notice;
    if (notice_passed && may_retry)
      waiting.emplace_back(reservation.reserved_at, id);
  }
  std::sort(waiting.begin(), waiting.end());
  const size_t free = this->max_loading - std::min(loading, this->max_loading);
  for (size_t i = 0; i < std::min(free, waiting.size()); ++i)
    due.push_back(waiting[i].second);
  return due;
}

std::vector<std::string> RolloutPlan::Ordered() const {
  std::vector<std::string> ordered;
  for (const auto& [id, reservation] : this->reservations) {
    if (reservation.state != OrderState::kNone)
      ordered.push_back(id);
  }
  return ordered;
}

void RolloutPlan::OnOrdered(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  Reservation& reservation = found->second;
  reservation.state = OrderState::kExecuting;
  reservation.ordered_at = now;
  reservation.active_at = now;
  reservation.idle_valid_from = now + this->options.max_report_age;
  reservation.failures = 0;
}

void RolloutPlan::OnOrderUnanswered(const std::string& id,
                                    common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  found->second.state = OrderState::kUncertain;
  found->second.retry_at = now;
}

void RolloutPlan::OnOrderFailed(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  Reservation& reservation = found->second;
  reservation.retry_at = now + kOrderRetryDelay;
  if (reservation.state == OrderState::kExecuting)
    reservation.state = OrderState::kNone;
  if (++reservation.failures < kMaxOrderFailures)
    return;
  this->reservations.erase(found);
  this->deferred[id] = now + kFailureDeferral;
}

void RolloutPlan::OnReport(const std::string& id,
                           bool busy,
                           common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  Reservation& reservation = found->second;
  if (busy) {
    if (reservation.state != OrderState::kExecuting)
      reservation.ordered_at = now;
    reservation.state = OrderState::kExecuting;
    reservation.active_at = now;
    reservation.idle_valid_from = now;
    reservation.failures = 0;
    return;
  }
  // The order had no effect, for example because the endpoint restarted, or it
  // loaded a former target.
  if (reservation.state == OrderState::kExecuting &&
      now >= reservation.idle_valid_from)
    reservation.state = OrderState::kNone;
}

void RolloutPlan::OnUpdated(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  if (found->second.state == OrderState::kExecuting) {
    const common::Duration took = now - found->second.ordered_at;
    this->load_time = (this->load_time.value_or(took) + took) / 2;
  }
  this->reservations.erase(found);
}

std::vector<std::string> RolloutPlan::Reserved() const {
  std::vector<std::string> ids;
  for (const auto& [id, reservation] : this->reservations)
    ids.push_back(id);
  return ids;
}

}  // namespace jujuberock::rollout
