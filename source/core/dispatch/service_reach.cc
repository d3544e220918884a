#include "core/dispatch/service_reach.h"

#include <algorithm>

namespace jujuberock::dispatch {

namespace {

// One endpoint that can't be reached says nothing about the host, unless it is
// the only one.
constexpr size_t kMinUnreached = 2;

}  // namespace

void ServiceReach::OnReached(std::string_view endpoint, common::TimePoint now) {
  this->last_reached = now;
  const auto found = this->unreached.find(endpoint);
  if (found != this->unreached.end())
    this->unreached.erase(found);
}

void ServiceReach::OnUnreached(const std::string& endpoint,
                               common::TimePoint now) {
  const auto [entry, is_new] =
      this->unreached.try_emplace(endpoint, Failures{now, now});
  entry->second.last = now;
}

void ServiceReach::Tick(common::TimePoint now) {
  std::erase_if(this->unreached, [&](const auto& entry) {
    return now - entry.second.last >= kMemory;
  });
}

bool ServiceReach::IsSuspect(size_t endpoints) const {
  return this->unreached.size() >=
         std::clamp<size_t>(endpoints, 1, kMinUnreached);
}

bool ServiceReach::IsImpaired(size_t endpoints) const {
  if (!this->IsSuspect(endpoints))
    return false;
  if (2 * this->unreached.size() > endpoints)
    return true;
  const auto has_failed_since = [this](const auto& entry) {
    return entry.second.last > this->last_reached + kQuietTime;
  };
  return static_cast<size_t>(std::count_if(this->unreached.begin(),
                                           this->unreached.end(),
                                           has_failed_since)) >= kMinUnreached;
}

}  // namespace jujuberock::dispatch
