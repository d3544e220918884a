#ifndef CORE_SERVE_CONFIG_SYNC_H_
#define CORE_SERVE_CONFIG_SYNC_H_

#include <array>
#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/platform/client.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/fiber_group.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

struct ConfigSyncOptions {
  // Time between two lists beside the watch, against one that stays silent.
  common::Duration relist_period = std::chrono::seconds(10);
  common::Duration watch_idle_limit = std::chrono::seconds(3);
};

// Keeps the table's view up to date with the platform: lists each kind, then
// watches it. Destroy it from a thread that is not a worker.
class ConfigSync {
 public:
  using OnChange = std::function<void(const std::vector<table::Object>&)>;

  ConfigSync(runtime::WorkerPool& pool,
             common::TimerService& timers,
             platform::Client& platform,
             table::SharedView& view,
             common::CounterRegistry& counters,
             ConfigSyncOptions options,
             OnChange on_change);

  void Start();
  // True once every kind was listed.
  bool complete() const;
  // True while the last call to the platform succeeded.
  bool platform_up() const { return this->up; }

 private:
  struct KindState {
    std::atomic<bool> listed{false};
    std::atomic<uint64_t> version{0};
  };

  void WatchLoop(table::Kind kind);
  bool List(table::Kind kind);
  void Merge(const std::vector<table::Object>& objects);

  common::TimerService& timers;
  platform::Client& platform;
  table::SharedView& view;
  ConfigSyncOptions options;
  OnChange on_change;
  common::Counter& changes;
  common::Counter& failures;
  std::array<KindState, table::kKinds> kinds;
  std::atomic<bool> up{false};
  // Last: its fibers use everything above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_CONFIG_SYNC_H_
