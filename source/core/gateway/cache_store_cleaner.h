#ifndef CORE_GATEWAY_CACHE_STORE_CLEANER_H_
#define CORE_GATEWAY_CACHE_STORE_CLEANER_H_

#include <map>
#include <string>

#include "core/events/event_log.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/host_registry.h"
#include "core/gateway/platform_view.h"
#include "core/reuse/cache_store_index.h"
#include "core/reuse/version_retirement.h"

namespace jujuberock::gateway {

// Frees prompt parts of replaced weight versions in the cache stores. The
// stores evict nothing by themselves and would be full after a few weight
// updates. Rendezvous hashing assigns each store to a host; if that host leaves
// parts behind, the next hosts in order take over. Freeing a part twice is
// harmless, because nothing is saved again under an old version.
class CacheStoreCleaner {
 public:
  CacheStoreCleaner(const PlatformView& view,
                    Dispatcher& dispatcher,
                    const HostRegistry& host_registry,
                    reuse::CacheStoreIndex& cache_store_index,
                    EndpointControl& control,
                    events::EventLog& log)
      : view(view),
        dispatcher(dispatcher),
        host_registry(host_registry),
        cache_store_index(cache_store_index),
        control(control),
        log(log) {}

  // Runs until Stop(); call on a fiber of its own.
  void Run();
  void Stop() { this->stopping = true; }

 private:
  struct Model {
    reuse::VersionRetirement retirement;
    // Oldest weight version in use, and since when it is the oldest.
    uint64_t oldest = 0;
    common::TimePoint oldest_since;
  };

  void UpdateOldestVersions(common::TimePoint now);
  void UpdateOldestVersionsOf(const dispatch::ServicePool& pool,
                              const std::vector<std::string>& models,
                              common::TimePoint now);
  void Clean(const std::string& model, uint64_t oldest, size_t max_rank);
  // Frees one batch; returns whether there may be more to free.
  bool CleanStore(const std::string& address,
                  const std::string& model,
                  uint64_t oldest);

  const PlatformView& view;
  Dispatcher& dispatcher;
  const HostRegistry& host_registry;
  reuse::CacheStoreIndex& cache_store_index;
  EndpointControl& control;
  events::EventLog& log;
  std::map<std::string, Model> models;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_CACHE_STORE_CLEANER_H_
