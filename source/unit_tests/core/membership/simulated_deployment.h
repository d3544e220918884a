#ifndef UNIT_TESTS_CORE_MEMBERSHIP_SIMULATED_DEPLOYMENT_H_
#define UNIT_TESTS_CORE_MEMBERSHIP_SIMULATED_DEPLOYMENT_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/common/timer_service.h"
#include "core/membership/coordinator.h"

namespace jujuberock::membership {

// Simulates a deployment: the Coordinators of many hosts with a fake network
// and a fake platform between them, driven by the manual timer service.
class SimulatedDeployment {
 public:
  struct Host {
    std::string name;
    std::string zone;
    std::unique_ptr<table::SharedView> table;
    std::unique_ptr<Coordinator> coordinator;
    bool killed = false;
    bool paused = false;
    // Events that reached the host while it was paused.
    std::vector<std::function<void()>> deferred;
    uint64_t bytes = 0;
    uint64_t messages = 0;
    std::map<std::string, uint64_t> bytes_by_message;
    // State changes of other hosts that this host has seen, to detect flapping.
    std::vector<HostChange> changes;
    // When it first saw each endpoint leaving.
    std::map<std::string, common::TimePoint> leaving_seen_at;
  };

  explicit SimulatedDeployment(uint64_t seed) : random(seed) {}

  Host& Add(const std::string& name,
            const std::string& zone,
            CoordinatorOptions options = {});
  Host& Get(const std::string& name) { return *this->hosts.at(name); }
  // Kills the process of this host and starts a new one with empty state.
  Host& Restart(const std::string& name, const std::vector<std::string>& seeds);
  // Makes the host ask every other host for its digest.
  void RequestDigests(const std::string& name);
  void Pause(const std::string& name) { this->Get(name).paused = true; }
  void Resume(const std::string& name);

  // Writes an object to the platform and returns its version.
  table::Version Write(table::Object object);
  // Whether every running host (of `zone`, unless that is empty) has this
  // version of the object.
  bool InForce(const std::string& kind,
               const std::string& name,
               table::Version version,
               const std::string& zone = "");
  // Runs until `done` returns true and returns the time that this took, or
  // nothing when `limit` passed first.
  std::optional<common::Duration> RunUntil(const std::function<bool()>& done,
                                           common::Duration limit);
  void Run(common::Duration length);
  // Gives every object of the platform to every host, as after a long time
  // without changes.
  void Preload();
  void ResetCounts();

  common::TimePoint now() const { return this->timers.Now(); }

  // Injected faults: hosts that cannot reach each other or the platform,
  // watches that deliver nothing, shares of messages lost and duplicated, added
  // latency.
  std::function<bool(const Host&, const Host&)> is_cut;
  std::function<bool(const Host&)> platform_is_cut;
  std::function<bool(const Host&)> watch_is_silent;
  double loss_rate = 0;
  double duplicate_rate = 0;
  common::Duration max_jitter{0};

  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Host>> stopped_hosts;
  uint64_t platform_calls = 0;
  uint64_t platform_lists = 0;

 private:
  struct Watch {
    Host* host;
    table::WatcherCall watcher_call;
    bool silent;
  };

  void At(common::Duration after, std::function<void()> event);
  void Start(Host* host);
  void Perform(Host* host, Effects effects);
  void SendCall(Host* from, PeerCall call);
  void Deliver(Host* from, Host* to, const PeerCall& call);
  void CallPlatform(Host* host, const table::WatcherCall& watcher_call);
  void OpenWatch(Host* host, const table::WatcherCall& watcher_call);
  void EndWatch(size_t id, platform::WatchEnd end);
  common::Duration Latency();
  bool IsLost(const Host& from, const Host& to);
  void CountBytes(Host* host, const std::string& message, size_t bytes);

  common::Random random;
  common::ManualTimerService timers;
  std::vector<common::TimerSubscription> ticks;
  std::multimap<common::TimePoint, std::function<void()>> events;
  std::map<std::pair<std::string, std::string>, table::Object> store;
  table::Version version = 0;
  std::map<size_t, Watch> watches;
  size_t next_watch = 0;
  uint64_t next_incarnation = 1000;
};

}  // namespace jujuberock::membership

#endif  // UNIT_TESTS_CORE_MEMBERSHIP_SIMULATED_DEPLOYMENT_H_
