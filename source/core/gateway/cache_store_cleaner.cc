#include "core/gateway/cache_store_cleaner.h"

#include <vector>

#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::TimePoint;
using events::Event;
using events::Field;
using events::LogLine;

constexpr Duration kCleanPeriod = std::chrono::milliseconds(500);
// Maximum number of parts that one call frees.
constexpr size_t kMaxPartsPerCall = 250;
// A store is cleaned only after it has been reachable for this long. When it
// has just come back, hosts and engines that were cut off together with it may
// still read from it.
constexpr Duration kMinReachableTime = std::chrono::seconds(5);
// Each further host in rendezvous order starts to clean a store after another
// period of this length.
constexpr Duration kTakeoverDelay = std::chrono::milliseconds(2500);
// A store refuses an order that arrives later than this.
constexpr Duration kOrderTimeToLive = std::chrono::milliseconds(500);

}  // namespace

void CacheStoreCleaner::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kCleanPeriod);
    const TimePoint now = runtime::BootNow();
    if (!this->view.age().IsFresh(now))
      continue;
    this->UpdateOldestVersions(now);
    for (const auto& [name, model] : this->models) {
      if (model.oldest == 0)
        continue;
      const auto max_rank =
          static_cast<size_t>((now - model.oldest_since) / kTakeoverDelay);
      this->Clean(name, model.oldest, max_rank);
    }
  }
}

void CacheStoreCleaner::UpdateOldestVersions(TimePoint now) {
  const auto config = this->view.config();
  if (!config)
    return;
  for (const catalog::Service& service : config->config().services) {
    const dispatch::ServicePool* pool = this->dispatcher.FindPool(service.name);
    if (pool && service.engine)
      this->UpdateOldestVersionsOf(*pool, service.engine->models, now);
  }
}

void CacheStoreCleaner::UpdateOldestVersionsOf(
    const dispatch::ServicePool& pool,
    const std::vector<std::string>& names,
    TimePoint now) {
  for (const std::string& name : names) {
    std::vector<reuse::EngineVersion> engines;
    for (const auto& [id, record] : pool.records())
      engines.push_back({id, record->VersionOf(name)});
    Model& model = this->models[name];
    model.retirement.OnEngines(engines, now);
    const uint64_t oldest = model.retirement.OldestInUse(now);
    if (oldest == model.oldest)
      continue;
    model.oldest = oldest;
    model.oldest_since = now;
  }
}

void CacheStoreCleaner::Clean(const std::string& model,
                              uint64_t oldest,
                              size_t max_rank) {
  for (const std::string& address : this->cache_store_index.Addresses()) {
    if (this->host_registry.RankFor(address) > max_rank)
      continue;
    while (!this->stopping && this->CleanStore(address, model, oldest)) {
    }
  }
}

bool CacheStoreCleaner::CleanStore(const std::string& address,
                                   const std::string& model,
                                   uint64_t oldest) {
  const TimePoint now = runtime::BootNow();
  const auto until_ms =
      this->cache_store_index.ToEndpointClock(now + kOrderTimeToLive);
  FreeOrder order;
  order.parts = this->cache_store_index.OutdatedParts(
      address, model, oldest, kMaxPartsPerCall, kMinReachableTime, now);
  if (order.parts.empty() || !until_ms)
    return false;
  order.epoch = this->cache_store_index.EpochOf(address);
  order.until_ms = *until_ms;
  const bool freed = this->control.Free(address, order);
  if (freed)
    this->cache_store_index.OnFreed(address, order.parts);
  LogLine(this->log, Event::kPartsFreed)
      .Add(Field::kDependency, "cache_store:" + address)
      .Add(Field::kModel, model)
      .Add(Field::kVersion, oldest)
      .Add(Field::kCount, static_cast<uint64_t>(order.parts.size()))
      .Add(Field::kReason, freed ? "freed" : "no_answer");
  return freed && order.parts.size() == kMaxPartsPerCall;
}

}  // namespace jujuberock::gateway
