#ifndef CORE_SERVE_ZONE_DRIVER_H_
#define CORE_SERVE_ZONE_DRIVER_H_

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/membership/coordinator.h"
#include "core/platform/client.h"
#include "core/serve/fiber_group.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// Performs what the coordinator of configuration and membership decides:
// messages to other hosts, lists and watches of the platform.
class ZoneDriver {
 public:
  struct Hooks {
    // The rows in force have changed.
    std::function<void()> on_table;
    // Membership of the own zone may have changed: its live hosts, this one
    // included.
    std::function<void(const std::vector<std::string>&)> on_hosts;
    std::function<void(const std::string& endpoint, bool leaving)> on_endpoint;
  };

  ZoneDriver(runtime::WorkerPool& pool,
             common::TimerService& timers,
             membership::Coordinator& coordinator,
             host::PeerTransport& peers,
             platform::Client& platform,
             const table::SharedView& view,
             common::CounterRegistry& counters,
             const table::FollowerOptions& limits,
             Hooks hooks);

  // Registers the handlers of its messages; call it before the transport
  // serves.
  void RegisterHandlers();
  void Start();
  // Tells the zone that this host leaves.
  void AnnounceStop();

  // An endpoint's own report of whether it leaves.
  void OnEndpointReport(const std::string& endpoint, bool leaving);

  // Live hosts of the own zone, this one included, and of the deployment.
  std::vector<std::string> ZoneHosts() const {
    return this->lists.load()->zone;
  }
  std::vector<std::string> AllHosts() const { return this->lists.load()->all; }
  size_t Zones() const { return this->lists.load()->zones; }
  // True while the last call to the platform succeeded.
  bool platform_up() const { return this->up; }

 private:
  // Copied on change, so that it can be read under any lock.
  struct HostLists {
    std::vector<std::string> zone;
    std::vector<std::string> all;
    size_t zones = 1;
  };

  void Perform(membership::Step step);
  void Send(const membership::PeerCall& call);
  void Follow(const table::FollowAction& action);
  void List(const table::FollowAction& action);
  void Watch(const table::FollowAction& action);
  void RefreshHosts();
  void NoticeTable();
  void NotePlatform(bool answered);

  common::TimerService& timers;
  membership::Coordinator& coordinator;
  host::PeerTransport& peers;
  platform::Client& platform;
  const table::SharedView& view;
  table::FollowerOptions limits;
  Hooks hooks;
  common::Counter& platform_failures;
  common::Counter& peer_failures;
  std::atomic<std::shared_ptr<const HostLists>> lists;
  std::atomic<table::SnapshotPtr> seen_table;
  std::atomic<bool> up{false};
  // Last: its fibers use everything above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_ZONE_DRIVER_H_
