#ifndef CORE_MEMBERSHIP_SERVICE_H_
#define CORE_MEMBERSHIP_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/host/http2_transport.h"
#include "core/host/peer_transport.h"
#include "core/membership/coordinator.h"
#include "core/platform/client.h"
#include "core/runtime/worker_pool.h"
#include "core/table/shared_view.h"

namespace jujuberock::membership {

// Returns a resolver of host names to addresses for the transport. It refers to
// `coordinator`, which must outlive it.
host::HostResolver ResolverOf(const Coordinator& coordinator);

// Runs a Coordinator: sends its messages to other hosts and its lists and
// watches to the platform, and passes the answers back. This keeps the table up
// to date and tells which hosts and endpoints may be used.
//
// Set it up in this order:
//   table::SharedView table(view_options);
//   table.SetListener(...);             // called with each change in force
//   membership::Coordinator coordinator(table, self, options, EntropySeed());
//   host::Http2Transport transport(pool, timers, counters, transport_options,
//                                  membership::ResolverOf(coordinator));
//   membership::Service service(coordinator, transport, platform, pool, timers,
//                               counters);
//   ... other components register their messages with
//   transport.RegisterHandler(...) ... transport.Serve(); service.Start();
// `self` is {host_name, zone, host_address, wall time at start in ms, kAlive}.
// The host is ready for callers when coordinator.ready() holds. The component
// that polls endpoints calls OnEndpointReport() for each report. The router
// excludes endpoints for which coordinator.IsLeaving() holds, and the endpoint
// listener tells it of changes. A planned stop calls AnnounceStop() first.
// Destroy the service before the transport, from a thread that is not a worker.
//
// Metrics: `table_ready`, `table_invalid_objects`, `membership_alive_hosts`,
// `membership_is_delegate` (gauges), `membership_changes_total{state}`,
// `membership_calls_failed_total{message}`.
class Service {
 public:
  using EndpointListener = std::function<void(const EndpointChange&)>;
  using HostListener = std::function<void(const HostChange&)>;

  // Registers the handlers of its messages with the transport.
  Service(Coordinator& coordinator,
          host::PeerTransport& transport,
          platform::Client& platform,
          runtime::WorkerPool& pool,
          common::TimerService& timers,
          common::MetricRegistry& counters);
  // Calls Stop().
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // The listeners are called on any worker, when an endpoint is excluded or no
  // longer excluded and when a host of the zone changes state. Set them before
  // Start().
  void SetEndpointListener(EndpointListener listener);
  void SetHostListener(HostListener listener);

  void Start();
  // Ends all work. Takes up to the platform's keep-alive period.
  void Stop();

  // Handles a report of an endpoint that says whether it is leaving.
  void OnEndpointReport(const std::string& endpoint, bool leaving);
  // Announces to the zone that this host is leaving.
  void AnnounceStop();

  // Asks every known host for its digest and returns the hosts whose
  // configuration differs, including those that do not answer. Takes up to one
  // second and suspends the calling fiber.
  std::vector<table::LaggingHost> CollectLaggingHosts();

 private:
  class ActiveScope;

  void Register(std::string_view message);
  void Perform(Effects effects);
  void Call(const PeerCall& call);
  void CallPlatform(const table::WatcherCall& watcher_call);
  void List(const table::WatcherCall& watcher_call);
  void Watch(const table::WatcherCall& watcher_call);
  void UpdateGauges();
  void Spawn(std::function<void()> body);

  Coordinator& coordinator;
  host::PeerTransport& transport;
  platform::Client& platform;
  runtime::WorkerPool& pool;
  common::TimerService& timers;
  common::MetricRegistry& counters;
  common::Gauge& ready_gauge;
  common::Gauge& invalid_gauge;
  common::Gauge& alive_gauge;
  common::Gauge& delegate_gauge;
  EndpointListener endpoint_listener;
  HostListener host_listener;
  // Shared with handlers and timers, which may be called after the service was
  // destroyed: each first adds itself to `running`, then checks `stopping`.
  struct StopState {
    std::atomic<bool> stopping{false};
    std::atomic<size_t> running{0};
  };
  std::shared_ptr<StopState> stop_state = std::make_shared<StopState>();
  std::atomic<bool> was_ready{false};
  common::TimerSubscription tick_timer;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_SERVICE_H_
