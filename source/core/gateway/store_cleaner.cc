#include "core/gateway/store_cleaner.h"

#include <vector>

#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::TimePoint;
using events::Event;
using events::Field;
using events::Line;

constexpr Duration kPeriod = std::chrono::milliseconds(500);
// Parts that one call frees.
constexpr size_t kMostParts = 250;
// A store that has just come back may be read by hosts and engines that were
// cut off together with it.
constexpr Duration kAnsweredFor = std::chrono::seconds(5);
// The next host in order follows after this time.
constexpr Duration kFollowTime = std::chrono::milliseconds(2500);
// An order that arrives later than this is refused.
constexpr Duration kOrderLifetime = std::chrono::milliseconds(500);

}  // namespace

void StoreCleaner::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kPeriod);
    const TimePoint now = runtime::BootNow();
    if (!this->view.age().IsFresh(now))
      continue;
    this->Observe(now);
    for (const auto& [name, model] : this->models) {
      if (model.oldest == 0)
        continue;
      const auto most_rank =
          static_cast<size_t>((now - model.oldest_since) / kFollowTime);
      this->Clean(name, model.oldest, most_rank);
    }
  }
}

void StoreCleaner::Observe(TimePoint now) {
  const auto config = this->view.config();
  if (!config)
    return;
  for (const catalog::Service& service : config->config().services) {
    const dispatch::ServicePool* pool = this->dispatcher.PoolOf(service.name);
    if (pool && service.engine)
      this->ObservePool(*pool, service.engine->models, now);
  }
}

void StoreCleaner::ObservePool(const dispatch::ServicePool& pool,
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

void StoreCleaner::Clean(const std::string& model,
                         uint64_t oldest,
                         size_t most_rank) {
  for (const std::string& address : this->book.Addresses()) {
    if (this->hosts.RankFor(address) > most_rank)
      continue;
    while (!this->stopping && this->CleanStore(address, model, oldest)) {
    }
  }
}

bool StoreCleaner::CleanStore(const std::string& address,
                              const std::string& model,
                              uint64_t oldest) {
  const TimePoint now = runtime::BootNow();
  const auto until_ms = this->book.EndpointClock(now + kOrderLifetime);
  FreeOrder order;
  order.parts = this->book.OutdatedParts(address, model, oldest, kMostParts,
                                         kAnsweredFor, now);
  if (order.parts.empty() || !until_ms)
    return false;
  order.epoch = this->book.EpochOf(address);
  order.until_ms = *until_ms;
  const bool freed = this->control.Free(address, order);
  if (freed)
    this->book.OnFreed(address, order.parts);
  Line(this->log, Event::kPartsFreed)
      .Add(Field::kDependency, "cache_store:" + address)
      .Add(Field::kModel, model)
      .Add(Field::kVersion, oldest)
      .Add(Field::kCount, static_cast<uint64_t>(order.parts.size()))
      .Add(Field::kReason, freed ? "freed" : "no_answer");
  return freed && order.parts.size() == kMostParts;
}

}  // namespace jujuberock::gateway
