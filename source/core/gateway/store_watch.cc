#include "core/gateway/store_watch.h"

#include <algorithm>
#include <vector>

#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using events::Event;
using events::Field;
using events::Line;

// Short, so that a store that fell silent is noticed before reads that were
// begun with its help could meet its next start.
constexpr common::Duration kEventWait = std::chrono::milliseconds(300);
// Part of a store's places for questions that the hosts use together.
constexpr double kPlacesShare = 0.8;
// Hosts that would have to ask more seldom do not use the stores.
constexpr common::Duration kLongestPeriod = std::chrono::milliseconds(3000);
constexpr common::Duration kFailurePause = std::chrono::milliseconds(200);

}  // namespace

void StoreWatch::Refresh(const catalog::ConfigView& config) {
  std::vector<catalog::CacheStoreTraits> stores;
  this->wanted.clear();
  for (const catalog::Service& service : config.config().services) {
    // Only stores that drop nothing on their own tell reliably what they hold.
    if (!service.cache_store || !service.cache_store->managed)
      continue;
    stores.push_back(*service.cache_store);
    this->wanted[service.cache_store->address] =
        service.cache_store->max_event_calls;
  }
  this->book.SetStores(stores);
  this->SetPeriod();
  for (const auto& [address, places] : this->wanted) {
    if (!this->followed.insert(address).second)
      continue;
    runtime::SpawnHere([this, address = address] { this->Follow(address); });
  }
}

std::optional<common::Duration> StoreWatch::AskPeriod(int64_t places) const {
  const double usable =
      std::max(1.0, kPlacesShare * static_cast<double>(places));
  const double share =
      std::min(1.0, usable / static_cast<double>(this->host_count));
  const auto period =
      common::FromSeconds(common::ToSeconds(kEventWait) / share);
  if (period <= kLongestPeriod)
    return period;
  const double askers = usable * common::ToSeconds(kLongestPeriod) /
                        common::ToSeconds(kEventWait);
  if (static_cast<double>(this->host_rank) >= askers)
    return std::nullopt;
  return kLongestPeriod;
}

void StoreWatch::SetHosts(size_t count, size_t rank) {
  this->host_count = std::max<size_t>(1, count);
  this->host_rank = rank;
  this->SetPeriod();
}

void StoreWatch::SetPeriod() {
  common::Duration longest = kEventWait;
  for (const auto& [address, places] : this->wanted)
    longest = std::max(longest, this->AskPeriod(places).value_or(longest));
  this->book.SetAskPeriod(longest);
}

void StoreWatch::Follow(const std::string& address) {
  bool answered = false;
  while (!this->stopping && this->wanted.contains(address)) {
    if (!this->AskPeriod(this->wanted[address])) {
      this->book.OnNoAnswer(address);
      runtime::SleepFor(kLongestPeriod);
      continue;
    }
    const common::TimePoint asked = runtime::BootNow();
    const auto events = this->control.CacheEvents(
        address, this->book.NextEvent(address), kEventWait);
    if (answered != events.has_value())
      Line(this->log,
           events ? Event::kDependencyRegained : Event::kDependencyLost)
          .Add(Field::kDependency, "cache_store:" + address);
    answered = events.has_value();
    if (!events) {
      this->book.OnNoAnswer(address);
      runtime::SleepFor(kFailurePause);
      continue;
    }
    this->book.OnEvents(address, *events, asked, runtime::BootNow());
    const auto period = this->AskPeriod(this->wanted[address]);
    runtime::SleepFor(period.value_or(kLongestPeriod) - kEventWait);
  }
  this->followed.erase(address);
}

}  // namespace jujuberock::gateway
