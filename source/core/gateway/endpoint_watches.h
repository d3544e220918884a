#ifndef CORE_GATEWAY_ENDPOINT_WATCHES_H_
#define CORE_GATEWAY_ENDPOINT_WATCHES_H_

#include <map>
#include <memory>

#include "core/common/metrics.h"
#include "core/dispatch/endpoint_record.h"
#include "core/events/event_log.h"
#include "core/forward/connection_pool.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/settings.h"

namespace jujuberock::gateway {

// Watches a connection to each endpoint, and records in its ProcessContinuity
// whether the process behind its registration is still the same. An endpoint
// that is no longer registered is watched while requests run there. Used on one
// worker.
class EndpointWatches {
 public:
  EndpointWatches(const Settings& settings,
                  const PlatformView& view,
                  Dispatcher& dispatcher,
                  forward::ConnectionPool& connections,
                  events::EventLog& log,
                  common::MetricRegistry& counters);
  ~EndpointWatches();
  EndpointWatches(const EndpointWatches&) = delete;
  EndpointWatches& operator=(const EndpointWatches&) = delete;

  // Called when the endpoints have changed.
  void Refresh();
  // Called periodically.
  void Tick();
  void Stop();

 private:
  class Watch;

  void Start(const std::shared_ptr<dispatch::EndpointRecord>& endpoint);
  // Logs a change of whether the endpoint is certain.
  void LogCertainty(const dispatch::EndpointRecord& endpoint,
                    const char* reason);

  const Settings& settings;
  const PlatformView& view;
  Dispatcher& dispatcher;
  forward::ConnectionPool& connections;
  events::EventLog& log;
  common::Counter& uncertain;
  std::map<const dispatch::EndpointRecord*, std::shared_ptr<Watch>> watches;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ENDPOINT_WATCHES_H_
