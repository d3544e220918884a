#ifndef CORE_GATEWAY_CACHE_STORE_WATCHER_H_
#define CORE_GATEWAY_CACHE_STORE_WATCHER_H_

#include <map>
#include <optional>
#include <set>
#include <string>

#include "core/catalog/config_view.h"
#include "core/events/event_log.h"
#include "core/gateway/endpoint_control.h"
#include "core/reuse/cache_store_index.h"

namespace jujuberock::gateway {

// Polls every configured cache store for events, with one fiber per store, and
// updates the index of their contents.
class CacheStoreWatcher {
 public:
  CacheStoreWatcher(EndpointControl& control,
                    reuse::CacheStoreIndex& cache_store_index,
                    events::EventLog& log)
      : control(control), cache_store_index(cache_store_index), log(log) {}

  // Starts to follow stores that are new in the configuration.
  void Refresh(const catalog::ConfigView& config);
  // Sets the number of hosts and this host's position among them by name.
  void SetHosts(size_t count, size_t rank);
  void Stop() { this->stopping = true; }

 private:
  void PollStore(const std::string& address);
  // Returns the time between two polls of a store that accepts `max_calls`
  // concurrent calls, or nullopt when hosts of lower rank use all of them.
  std::optional<common::Duration> PollPeriod(int64_t max_calls) const;
  void SetPeriod();

  EndpointControl& control;
  reuse::CacheStoreIndex& cache_store_index;
  events::EventLog& log;
  // Stores of the configuration in force, with the maximum number of concurrent
  // event calls of each.
  std::map<std::string, int64_t> configured;
  size_t host_count = 1;
  size_t host_rank = 0;
  // Stores that a fiber follows.
  std::set<std::string> followed;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_CACHE_STORE_WATCHER_H_
