#ifndef CORE_GATEWAY_GATEWAY_H_
#define CORE_GATEWAY_GATEWAY_H_

#include <atomic>
#include <functional>
#include <memory>

#include "core/catalog/object_store.h"
#include "core/common/counters.h"
#include "core/events/event_log.h"
#include "core/forward/connection_pool.h"
#include "core/forward/types.h"
#include "core/gateway/decoder.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/host_board.h"
#include "core/gateway/peer_loads.h"
#include "core/gateway/request_task.h"
#include "core/gateway/rollout_duty.h"
#include "core/gateway/settings.h"
#include "core/gateway/store_cleaner.h"
#include "core/gateway/store_watch.h"
#include "core/gateway/view_keeper.h"
#include "core/runtime/http_server.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

// The platform as a host sees it; implemented by the platform adapter.
struct PlatformPeers {
  catalog::ObjectStore& store;
  const ObjectDecoder& decoder;
  const forward::Codec& codec;
  EndpointControl& control;
};

// One host: serves callers, follows the platform's store, answers the
// readiness probe. All its state lives on worker 0 of the pool.
class Gateway {
 public:
  Gateway(Settings settings,
          runtime::WorkerPool& workers,
          PlatformPeers peers,
          events::EventLog& log,
          common::CounterRegistry& counters);
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  // Takes what may change while the process runs: the level of the log.
  void Reload(const Settings& settings);
  // Planned stop: not ready, serves what still comes, then closes. Returns
  // when all requests have ended or the grace is nearly over.
  void Stop();

 private:
  void Serve(const runtime::HttpRequest& request,
             runtime::ResponseWriter& writer);
  void ServeReadiness(runtime::ResponseWriter& writer);
  void SendRefusal(const common::Error& error,
                   std::optional<common::Duration> retry_after,
                   runtime::ResponseWriter& writer);
  void StartPeerLoads();
  void OnViewChange();
  void OnHostObject(const catalog::ObjectChange& change);
  void Tick();
  void NoteViewAge(common::TimePoint now);

  Settings settings;
  runtime::WorkerPool& workers;
  PlatformPeers peers;
  events::EventLog& log;
  common::CounterRegistry& counters;
  forward::ConnectionPool connections;
  ViewKeeper view;
  Dispatcher dispatcher;
  reuse::StoreBook store_book;
  StoreWatch store_watch;
  RolloutDuty rollout;
  HostBoard hosts;
  StoreCleaner cleaner;
  std::unique_ptr<PeerLoads> peer_loads;
  RequestParts parts;
  std::unique_ptr<runtime::HttpServer> caller_server;
  std::unique_ptr<runtime::HttpServer> ready_server;
  std::unique_ptr<runtime::HttpServer> metrics_server;
  std::atomic<bool> stopping{false};
  bool was_fresh = false;
  // Set on worker 0 when the planned stop began.
  std::optional<common::TimePoint> stop_began;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_GATEWAY_H_
