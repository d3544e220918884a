#include "core/serve/config_sync.h"

#include <glog/logging.h>

#include <utility>

#include "core/common/error.h"
#include "core/runtime/sleep.h"

namespace jujuberock::serve {

using common::Error;
using table::Kind;
using table::Object;

namespace {

// Pause between two watches, so that an outage is not made worse.
constexpr common::Duration kRetryPause = std::chrono::milliseconds(200);

size_t IndexOf(Kind kind) {
  return static_cast<size_t>(kind);
}

}  // namespace

ConfigSync::ConfigSync(runtime::WorkerPool& pool,
                       common::TimerService& timers,
                       platform::Client& platform,
                       table::SharedView& view,
                       common::CounterRegistry& counters,
                       ConfigSyncOptions options,
                       OnChange on_change)
    : timers(timers),
      platform(platform),
      view(view),
      options(options),
      on_change(std::move(on_change)),
      changes(counters.GetCounter("config_changes_total")),
      failures(counters.GetCounter("config_platform_failures_total")),
      fibers(pool) {}

void ConfigSync::Start() {
  for (size_t i = 0; i < table::kKinds; ++i) {
    const auto kind = static_cast<Kind>(i);
    this->fibers.Spawn([this, kind] { this->WatchLoop(kind); });
    this->fibers.Every(this->timers, this->options.relist_period,
                       [this, kind](common::TimePoint) { this->List(kind); });
  }
}

bool ConfigSync::complete() const {
  for (const KindState& kind : this->kinds) {
    if (!kind.listed)
      return false;
  }
  return true;
}

void ConfigSync::WatchLoop(Kind kind) {
  KindState& state = this->kinds[IndexOf(kind)];
  while (!this->fibers.stopping()) {
    const bool listed = this->List(kind);
    try {
      if (listed)
        this->platform.Watch(table::NameOf(kind), state.version,
                             this->options.watch_idle_limit,
                             [this](const Object& object) {
                               this->Merge({object});
                               return !this->fibers.stopping();
                             });
    } catch (const Error& error) {
      this->failures.Add();
    }
    runtime::SleepFor(kRetryPause);
  }
}

bool ConfigSync::List(Kind kind) {
  KindState& state = this->kinds[IndexOf(kind)];
  try {
    const platform::ObjectList list = this->platform.List(table::NameOf(kind));
    const std::vector<Object> changed = this->view.ApplyList(kind, list);
    state.version = list.version;
    if (!this->up.exchange(true))
      LOG(INFO) << "the platform answers";
    if (!changed.empty()) {
      this->changes.Add(changed.size());
      this->on_change(changed);
    }
    state.listed = true;
    return true;
  } catch (const Error& error) {
    this->failures.Add();
    if (this->up.exchange(false))
      LOG(WARNING) << "the platform does not answer: " << error.what();
    return false;
  }
}

void ConfigSync::Merge(const std::vector<Object>& objects) {
  const std::vector<Object> changed = this->view.Apply(objects);
  if (changed.empty())
    return;
  this->changes.Add(changed.size());
  this->on_change(changed);
}

}  // namespace jujuberock::serve
