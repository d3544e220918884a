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
    // An engine that is still loading refuses the new order, which is then soon
    // sent again.
    reservation.is_ordered = false;
  }
}

bool RolloutPlan::IsDeferred(const std::string& id,
                             common::TimePoint now) const {
  const auto deferral = this->deferred.find(id);
  return deferral != this->deferred.end() && now < deferral->second;
}

bool RolloutPlan::IsLoading(const Reservation& reservation,
                            common::TimePoint now) const {
  return reservation.is_ordered &&
         now - reservation.ordered_at < this->options.order_timeout;
}

size_t RolloutPlan::MaxLoading(size_t endpoint_count) const {
  const double share =
      this->options.max_loading_share * static_cast<double>(endpoint_count);
  return static_cast<size_t>(std::max(1.0, std::round(share)));
}

size_t RolloutPlan::CountToReserve(common::TimePoint now) const {
  // The first loads are assumed to be as short as the notice.
  const common::Duration usual = this->load_time.value_or(this->options.notice);
  size_t occupied = 0;
  for (const auto& [id, reservation] : this->reservations) {
    const bool ends_within_notice =
        this->IsLoading(reservation, now) &&
        now - reservation.ordered_at + this->options.notice >= usual;
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

std::vector<std::string> RolloutPlan::Due(common::TimePoint now) const {
  using Waiting = std::pair<common::TimePoint, std::string>;
  std::vector<Waiting> waiting;
  size_t loading = 0;
  for (const auto& [id, reservation] : this->reservations) {
    if (this->IsLoading(reservation, now)) {
      ++loading;
      continue;
    }
    const bool notice_passed =
        now - reservation.reserved_at >= this->options.notice;
    if (notice_passed && now >= reservation.retry_at &&
        !this->IsDeferred(id, now))
      waiting.emplace_back(reservation.reserved_at, id);
  }
  std::sort(waiting.begin(), waiting.end());
  const size_t free = this->max_loading - std::min(loading, this->max_loading);
  std::vector<std::string> due;
  for (size_t i = 0; i < std::min(free, waiting.size()); ++i)
    due.push_back(waiting[i].second);
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
  if (++found->second.failures < kMaxOrderFailures)
    return;
  this->reservations.erase(found);
  this->deferred[id] = now + kFailureDeferral;
}

void RolloutPlan::OnUpdated(const std::string& id, common::TimePoint now) {
  const auto found = this->reservations.find(id);
  if (found == this->reservations.end())
    return;
  if (found->second.is_ordered) {
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
