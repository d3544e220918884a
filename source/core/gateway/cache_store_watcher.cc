#include "core/gateway/cache_store_watcher.h"

#include <algorithm>
#include <vector>

#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using events::Event;
using events::Field;
using events::LogLine;

// Kept short, so that a failed store is detected before reads planned from its
// contents can reach its next instance.
constexpr common::Duration kEventWait = std::chrono::milliseconds(300);
// Share of a store's concurrent calls that all hosts together may use.
constexpr double kUsableCallShare = 0.8;
// Hosts that would have to poll less often do not use the stores.
constexpr common::Duration kLongestPeriod = std::chrono::milliseconds(3000);
constexpr common::Duration kFailurePause = std::chrono::milliseconds(200);

}  // namespace

void CacheStoreWatcher::Refresh(const catalog::ConfigView& config) {
  std::vector<catalog::CacheStoreProperties> stores;
  this->configured.clear();
  for (const catalog::Service& service : config.config().services) {
    // Only stores that evict nothing by themselves report their contents
    // reliably.
    if (!service.cache_store || !service.cache_store->managed)
      continue;
    stores.push_back(*service.cache_store);
    this->configured[service.cache_store->address] =
        service.cache_store->max_event_calls;
  }
  this->cache_store_index.SetStores(stores);
  this->SetPeriod();
  for (const auto& [address, max_calls] : this->configured) {
    if (!this->followed.insert(address).second)
      continue;
    runtime::SpawnLocal(
        [this, address = address] { this->PollStore(address); });
  }
}

std::optional<common::Duration> CacheStoreWatcher::PollPeriod(
    int64_t max_calls) const {
  const double usable =
      std::max(1.0, kUsableCallShare * static_cast<double>(max_calls));
  const double share =
      std::min(1.0, usable / static_cast<double>(this->host_count));
  const auto period =
      common::FromSeconds(common::ToSeconds(kEventWait) / share);
  if (period <= kLongestPeriod)
    return period;
  const double polling_hosts = usable * common::ToSeconds(kLongestPeriod) /
                               common::ToSeconds(kEventWait);
  if (static_cast<double>(this->host_rank) >= polling_hosts)
    return std::nullopt;
  return kLongestPeriod;
}

void CacheStoreWatcher::SetHosts(size_t count, size_t rank) {
  this->host_count = std::max<size_t>(1, count);
  this->host_rank = rank;
  this->SetPeriod();
}

void CacheStoreWatcher::SetPeriod() {
  common::Duration max_period = kEventWait;
  for (const auto& [address, max_calls] : this->configured)
    max_period =
        std::max(max_period, this->PollPeriod(max_calls).value_or(max_period));
  this->cache_store_index.SetPollPeriod(max_period);
}

void CacheStoreWatcher::PollStore(const std::string& address) {
  bool is_reachable = false;
  while (!this->stopping) {
    // Looked up again after each call: the configuration may have changed.
    const auto configured_store = this->configured.find(address);
    if (configured_store == this->configured.end())
      break;
    const int64_t max_calls = configured_store->second;
    if (!this->PollPeriod(max_calls)) {
      this->cache_store_index.OnPollFailed(address);
      runtime::SleepFor(kLongestPeriod);
      continue;
    }
    const common::TimePoint polled_at = runtime::BootNow();
    const auto events = this->control.CacheEvents(
        address, this->cache_store_index.NextEvent(address), kEventWait);
    if (is_reachable != events.has_value())
      LogLine(this->log,
              events ? Event::kDependencyRegained : Event::kDependencyLost)
          .Add(Field::kDependency, "cache_store:" + address);
    is_reachable = events.has_value();
    if (!events) {
      this->cache_store_index.OnPollFailed(address);
      runtime::SleepFor(kFailurePause);
      continue;
    }
    this->cache_store_index.OnEvents(address, *events, polled_at,
                                     runtime::BootNow());
    const auto period = this->PollPeriod(max_calls);
    runtime::SleepFor(period.value_or(kLongestPeriod) - kEventWait);
  }
  this->followed.erase(address);
}

}  // namespace jujuberock::gateway
