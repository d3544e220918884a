#ifndef CORE_MEMBERSHIP_SERVICE_H_
#define CORE_MEMBERSHIP_SERVICE_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/host/http2_transport.h"
#include "core/host/peer_transport.h"
#include "core/membership/coordinator.h"
#include "core/platform/client.h"
#include "core/runtime/worker_pool.h"
#include "core/table/shared_view.h"

namespace jujuberock::membership {

// Resolves names of hosts for the transport.
host::HostResolver ResolverOf(const Coordinator& coordinator);

// Runs a Coordinator: carries its messages between hosts, its lists and
// watches to the platform, and the answers back. It keeps the table up to date
// and knows which hosts and endpoints may be used.
//
// To wire it, in this order:
//   table::SharedView table(view_options);
//   table.SetListener(...);             // called with each change in force
//   membership::Coordinator coordinator(table, self, options, EntropySeed());
//   host::Http2Transport transport(pool, timers, counters, transport_options,
//                                  membership::ResolverOf(coordinator));
//   membership::Service service(coordinator, transport, platform, pool, timers,
//                               counters);
//   ... other parts register their messages with transport.Handle(...) ...
//   transport.Serve();
//   service.Start();
// `self` is {host_name, zone, host_address, wall time at start in ms, kAlive}.
// The host is ready for callers when coordinator.ready(). The poller of
// endpoints calls OnEndpointReport() with what each report says; the router
// leaves out endpoints for which coordinator.IsLeaving() holds and hears of
// changes through the endpoint listener. A planned stop calls Announce() first.
// Destroy the service before the transport, from a thread that is no worker.
//
// Metrics: `table_ready`, `membership_alive_hosts`, `membership_is_delegate`
// (gauges), `membership_changes_total{state}`,
// `membership_calls_failed_total{message}`.
class Service {
 public:
  using EndpointListener = std::function<void(const EndpointChange&)>;
  using HostListener = std::function<void(const HostChange&)>;

  // Registers its handlers with the transport.
  Service(Coordinator& coordinator,
          host::PeerTransport& transport,
          platform::Client& platform,
          runtime::WorkerPool& pool,
          common::TimerService& timers,
          common::CounterRegistry& counters);
  // Stops.
  ~Service();
  Service(const Service&) = delete;
  Service& operator=(const Service&) = delete;

  // Called on any worker when an endpoint begins or ceases to be left out, or
  // a host of the zone changes state. Set them before Start().
  void SetEndpointListener(EndpointListener listener);
  void SetHostListener(HostListener listener);

  void Start();
  // Ends all work; takes up to the platform's keep-alive period.
  void Stop();

  // A report of an endpoint showed whether it is leaving.
  void OnEndpointReport(const std::string& endpoint, bool leaving);
  // Tells the zone that this host is leaving.
  void Announce();

  // Asks every known host for its digest and returns those that differ, a
  // host that does not answer among them. Takes up to one second; suspends the
  // calling fiber.
  std::vector<table::HostLag> CollectLags();

 private:
  class Entry;

  void Register(std::string_view message);
  void Perform(Step step);
  void Call(const PeerCall& call);
  void CallPlatform(const table::FollowAction& action);
  void List(const table::FollowAction& action);
  void Watch(const table::FollowAction& action);
  void UpdateGauges();
  void Spawn(std::function<void()> body);

  Coordinator& coordinator;
  host::PeerTransport& transport;
  platform::Client& platform;
  runtime::WorkerPool& pool;
  common::TimerService& timers;
  common::CounterRegistry& counters;
  common::Gauge& ready_gauge;
  common::Gauge& alive_gauge;
  common::Gauge& delegate_gauge;
  EndpointListener endpoint_listener;
  HostListener host_listener;
  // Shared with handlers and timers, which may be called after the service is
  // gone: each counts itself, then looks whether the service is stopping.
  struct Gate {
    std::atomic<bool> stopping{false};
    std::atomic<size_t> running{0};
  };
  std::shared_ptr<Gate> gate = std::make_shared<Gate>();
  std::atomic<bool> was_ready{false};
  common::TimerSubscription tick;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_SERVICE_H_
