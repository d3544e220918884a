#ifndef CORE_GATEWAY_GATEWAY_H_
#define CORE_GATEWAY_GATEWAY_H_

#include <atomic>
#include <functional>
#include <memory>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/metrics.h"
#include "core/events/event_log.h"
#include "core/forward/connection_pool.h"
#include "core/forward/types.h"
#include "core/gateway/cache_store_cleaner.h"
#include "core/gateway/cache_store_watcher.h"
#include "core/gateway/decoder.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/endpoint_watches.h"
#include "core/gateway/handover_server.h"
#include "core/gateway/host_registry.h"
#include "core/gateway/peer_loads.h"
#include "core/gateway/planned_stop.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/relay_client.h"
#include "core/gateway/relay_server.h"
#include "core/gateway/relayed_store.h"
#include "core/gateway/request_task.h"
#include "core/gateway/rollout_controller.h"
#include "core/gateway/settings.h"
#include "core/gateway/stream_registry.h"
#include "core/runtime/byte_budget.h"
#include "core/runtime/http_server.h"
#include "core/runtime/process_limits.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

// Interfaces to the platform, implemented by the platform adapter.
struct PlatformInterfaces {
  catalog::ObjectStore& store;
  const ObjectDecoder& decoder;
  const forward::Codec& codec;
  EndpointControl& control;
};

// One host: serves callers, watches the platform's store and responds to the
// readiness probe. All its state is confined to worker 0 of the pool.
class Gateway {
 public:
  Gateway(Settings settings,
          runtime::WorkerPool& workers,
          PlatformInterfaces platform,
          events::EventLog& log,
          common::MetricRegistry& counters,
          std::function<common::UnixTime()> wall_now);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Applies the settings that may change at run time: the log level.
  void Reload(const Settings& settings);
  // Graceful shutdown: reports not ready, keeps serving for a while, then
  // drains. Returns when all requests have ended or the grace period is nearly
  // over; requests whose answer has not started by then get a final one.
  void Stop();

 private:
  void Serve(runtime::HttpRequest& request, runtime::ResponseWriter& writer);
  // Throws RefusedError if the host stops and takes no more requests.
  void CheckAccepting(std::string_view attempt_id);
  // Logs a request that is answered with an error before it is routed.
  void LogRefused(const common::Error& error,
                  std::string_view attempt_id) const;
  runtime::HttpServerOptions OptionsFor(
      const catalog::CallerLimits& limits) const;
  // The same for the port for requests of other hosts.
  runtime::HttpServerOptions HandoverOptionsFor(
      const catalog::CallerLimits& limits) const;
  // The response to a request that was not read, or whose handler failed.
  runtime::HttpResponse RenderError(const common::Error& error) const;
  void ReportHeldBytes(common::TimePoint now);
  void ServeReadiness(runtime::ResponseWriter& writer);
  void SendRefusal(const common::Error& error,
                   std::optional<common::Duration> retry_after,
                   runtime::ResponseWriter& writer);
  // The servers whose requests a stop lets finish.
  std::vector<runtime::HttpServer*> RequestServers() const;
  // Waits until the draining servers have no connection left.
  void AwaitDrained(common::TimePoint limit);
  // Open the ports for other hosts. Throw kInvalidSettings if one is in use.
  void OpenPeerLoads();
  void OpenRelays();
  void OpenHandover();
  void OnViewChanged();
  void OnHostObject(const catalog::ObjectChange& change);
  void Tick();
  void LogViewFreshness(common::TimePoint now);

  Settings settings;
  catalog::ZoneRegions regions;
  runtime::WorkerPool& workers;
  PlatformInterfaces platform;
  events::EventLog& log;
  common::MetricRegistry& counters;
  forward::ConnectionPool connections;
  forward::ConnectionPool peer_connections;
  handover::PeerChoice peer_choice;
  RelayClient relay_client;
  RelayedStore store;
  PlatformView view;
  Dispatcher dispatcher;
  EndpointWatches endpoint_watches;
  reuse::CacheStoreIndex cache_store_index;
  CacheStoreWatcher cache_store_watcher;
  rollout::OrderHistory order_history;
  HostRegistry host_registry;
  StreamRegistry stream_registry;
  RolloutController rollout_controller;
  CacheStoreCleaner cache_store_cleaner;
  std::unique_ptr<PeerLoads> peer_loads;
  // Null without relays.
  std::unique_ptr<RelayServer> relay_server;
  PlannedStop planned_stop;
  RequestDependencies request_deps;
  runtime::ProcessLimits limits;
  std::shared_ptr<runtime::ByteBudget> budget;
  common::Gauge& held_bytes;
  common::Gauge& bodies_refused;
  common::Gauge& bodies_ended;
  common::Gauge& connections_displaced;
  // Most bytes that were held since the heap was trimmed.
  size_t peak_held = 0;
  common::TimePoint trimmed_at;
  // Of the last warning that callers were refused or closed.
  uint64_t limited_callers = 0;
  common::TimePoint limits_reported_at;
  std::unique_ptr<runtime::HttpServer> caller_server;
  // Null when requests are not handed over between hosts.
  std::unique_ptr<HandoverServer> handover_server;
  std::unique_ptr<runtime::HttpServer> readiness_server;
  std::unique_ptr<runtime::HttpServer> metrics_server;
  std::atomic<bool> stopping{false};
  bool was_view_fresh = false;
  // Set by a graceful shutdown: requests that arrive later are refused.
  // Accessed on worker 0 only.
  std::optional<common::TimePoint> accept_until;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_GATEWAY_H_
