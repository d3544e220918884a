#include "core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace jujuberock::rollout {

namespace {

constexpr common::Duration kFailedOrderPause = std::chrono::milliseconds(300);

}  // namespace

void RolloutPlan::SetTarget(uint64_t target) {
  if (target <= this->version)
    return;
  this->version = target;
  for (auto& [id, change] : this->changes) {
    // An engine that is still busy refuses; it is asked again soon.
    change.is_ordered = false;
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
  // Endpoints that are gone or up to date need no place any more.
  const size_t before = this->changes.size();
  std::erase_if(this->changes, [&](const auto& entry) {
    return !outdated.contains(entry.first);
  });
  changed = before != this->changes.size();
  const auto most = static_cast<size_t>(
      std::max(1.0, std::floor(this->options.changing_share *
                               static_cast<double>(endpoints.size()))));
  std::vector<PlannedEndpoint> candidates = endpoints;
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const PlannedEndpoint& a, const PlannedEndpoint& b) {
                     return a.in_flight < b.in_flight;
                   });
  std::erase_if(this->upcoming, [&](const std::string& id) {
    return !outdated.contains(id) || this->changes.contains(id);
  });
  // Those that were announced first come first; then those with least work.
  std::vector<std::string> order = this->upcoming;
  for (const PlannedEndpoint& endpoint : candidates) {
    if (outdated.contains(endpoint.id) &&
        !this->changes.contains(endpoint.id) &&
        std::find(order.begin(), order.end(), endpoint.id) == order.end())
      order.push_back(endpoint.id);
  }
  size_t taken = 0;
  // Places are not given to those that must wait.
  std::stable_partition(order.begin(), order.end(), [&](const std::string& id) {
    const auto held_back = this->deferred.find(id);
    return held_back == this->deferred.end() || now >= held_back->second;
  });
  for (; taken < order.size() && this->changes.size() < most; ++taken) {
    this->changes[order[taken]].reserved_at = now;
    changed = true;
  }
  const size_t end = std::min(order.size(), taken + most);
  this->upcoming.assign(order.begin() + static_cast<ptrdiff_t>(taken),
                        order.begin() + static_cast<ptrdiff_t>(end));
  return changed;
}

void RolloutPlan::Defer(const std::vector<std::string>& ids,
                        common::TimePoint until) {
  for (const std::string& id : ids)
    this->deferred[id] = until;
}

std::vector<std::string> RolloutPlan::Due(common::TimePoint now) const {
  std::vector<std::string> due;
  for (const auto& [id, change] : this->changes) {
    const bool timed_out = change.is_ordered && now - change.ordered_at >=
                                                    this->options.order_timeout;
    const bool noticed = now - change.reserved_at >= this->options.notice;
    const auto held_back = this->deferred.find(id);
    if (held_back != this->deferred.end() && now < held_back->second)
      continue;
    if (noticed && now >= change.not_before &&
        (!change.is_ordered || timed_out))
      due.push_back(id);
  }
  return due;
}

std::vector<std::string> RolloutPlan::Ordered() const {
  std::vector<std::string> ordered;
  for (const auto& [id, change] : this->changes) {
    if (change.is_ordered)
      ordered.push_back(id);
  }
  return ordered;
}

void RolloutPlan::OnOrdered(const std::string& id, common::TimePoint now) {
  const auto found = this->changes.find(id);
  if (found == this->changes.end())
    return;
  found->second.is_ordered = true;
  found->second.ordered_at = now;
}

void RolloutPlan::OnOrderFailed(const std::string& id, common::TimePoint now) {
  const auto found = this->changes.find(id);
  if (found == this->changes.end())
    return;
  found->second.is_ordered = false;
  found->second.not_before = now + kFailedOrderPause;
}

void RolloutPlan::OnUpdated(const std::string& id) {
  this->changes.erase(id);
}

std::vector<std::string> RolloutPlan::Reserved() const {
  std::vector<std::string> ids;
  for (const auto& [id, change] : this->changes)
    ids.push_back(id);
  return ids;
}

}  // namespace jujuberock::rollout
