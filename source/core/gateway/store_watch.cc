#include "core/gateway/store_watch.h"

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
    this->wanted.insert(service.cache_store->address);
  }
  this->book.SetStores(stores);
  for (const std::string& address : this->wanted) {
    if (!this->followed.insert(address).second)
      continue;
    runtime::SpawnHere([this, address] { this->Follow(address); });
  }
}

void StoreWatch::Follow(const std::string& address) {
  bool answered = false;
  while (!this->stopping && this->wanted.contains(address)) {
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
  }
  this->followed.erase(address);
}

}  // namespace jujuberock::gateway
