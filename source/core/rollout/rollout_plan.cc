#include "core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace jujuberock::rollout {

namespace {

constexpr common::Duration kOrderRetryDelay = std::chrono::milliseconds(300);

}  // namespace

void RolloutPlan::SetTarget(uint64_t target) {
  if (target <= this->version)
    return;
  this->version = target;
  for (auto& [id, reservation] : this->reservations) {
    // An engine that is still loading refuses the new order, which is then soon
    // sent again.
    reservation.is_ordered = false;
  }
}

bool RolloutPlan::Reserve(const std::vector<PlannedEndpoint>& endpoints,
                          common::TimePoint now) {
  bool changed = false;
  std::set<std::string> outdated;
  for (const PlannedEndpoint& endpoint : endpoints) {
    if (endpoint.version < this->version)
      outdated.insert(endpoint.id);
  }
  // Endpoints that are gone or up to date release their reservation.
  const size_t before = this->reservations.size();
  std::erase_if(this->reservations, [&](const auto& entry) {
    return !outdated.contains(entry.first);
  });
  changed = before != this->reservations.size();
  const auto max_reserved = static_cast<size_t>(
      std::max(1.0, std::floor(this->options.max_updating_share *
                               static_cast<double>(endpoints.size()))));
  std::vector<PlannedEndpoint> by_load = endpoints;
  std::stable_sort(by_load.begin(), by_load.end(),
                   [](const PlannedEndpoint& a, const PlannedEndpoint& b) {
                     return a.in_flight < b.in_flight;
                   });
  std::erase_if(this->upcoming, [&](const std::string& id) {
    return !outdated.contains(id) || this->reservations.contains(id);
  });
  // Upcoming endpoints come first, in the order of their announcement, then the
  // others by load.
  std::vector<std::string> queue = this->upcoming;
  for (const PlannedEndpoint& endpoint : by_load) {
    if (outdated.contains(endpoint.id) &&
        !this->reservations.contains(endpoint.id) &&
        std::find(queue.begin(), queue.end(), endpoint.id) == queue.end())
      queue.push_back(endpoint.id);
  }
  size_t next = 0;
  // Deferred endpoints come last, so that they are reserved only if none of the
  // others is left.
  std::stable_partition(queue.begin(), queue.end(), [&](const std::string& id) {
    const auto deferral = this->deferred.find(id);
    return deferral == this->deferred.end() || now >= deferral->second;
  });
  for (; next < queue.size() && this->reservations.size() < max_reserved;
       ++next) {
    this->reservations[queue[next]].reserved_at = now;
    changed = true;
  }
  const size_t end = std::min(queue.size(), next + max_reserved);
  this->upcoming.assign(queue.begin() + static_cast<ptrdiff_t>(next),
                        queue.begin() + static_cast<ptrdiff_t>(end));
  return changed;
}

void RolloutPlan::Defer(const std::vector<std::string>& ids,
                        common::TimePoint until) {
  for (const std::string& id : ids)
    this->deferred[id] = until;
}

std::vector<std::string> RolloutPlan::Due(common::TimePoint now) const {
  std::vector<std::string> due;
  for (const auto& [id, reservation] : this->reservations) {
    const bool timed_out =
        reservation.is_ordered &&
        now - reservation.ordered_at >= this->options.order_timeout;
    const bool notice_passed =
        now - reservation.reserved_at >= this->options.notice;
    const auto deferral = this->deferred.find(id);
    if (deferral != this->deferred.end() && now < deferral->second)
      continue;
    if (notice_passed && now >= reservation.retry_at &&
        (!reservation.is_ordered || timed_out))
      due.push_back(id);
  }
  return due;
}

std::vector<std::string> RolloutPlan::Ordered() const {
  std::vector<std::string> ordered;
  for (const auto& [id, reservation] : this->reservations) {
    if (reservation.is_ordered)
      ordered.push_back(id);
  }
  return ordered;
}

void RolloutPlan::OnOrdered(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  found->second.is_ordered = true;
  found->second.ordered_at = now;
}

void RolloutPlan::OnOrderFailed(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  found->second.is_ordered = false;
  found->second.retry_at = now + kOrderRetryDelay;
}

void RolloutPlan::OnUpdated(const std::string& id) {
  this->reservations.erase(id);
}

std::vector<std::string> RolloutPlan::Reserved() const {
  std::vector<std::string> ids;
  for (const auto& [id, reservation] : this->reservations)
    ids.push_back(id);
  return ids;
}

}  // namespace jujuberock::rollout
