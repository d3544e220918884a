#ifndef UNIT_TESTS_CORE_MEMBERSHIP_FLEET_H_
#define UNIT_TESTS_CORE_MEMBERSHIP_FLEET_H_

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

// The decision objects of many hosts with a fake network and a fake platform
// between them, driven by the manual timer service.
class Fleet {
 public:
  struct Host {
    std::string name;
    std::string zone;
    std::unique_ptr<table::SharedView> table;
    std::unique_ptr<Coordinator> coordinator;
    bool killed = false;
    bool paused = false;
    // Messages that reached it while paused.
    std::vector<std::function<void()>> held;
    uint64_t bytes = 0;
    uint64_t messages = 0;
    std::map<std::string, uint64_t> bytes_by_message;
    // Host state changes it has seen, for flapping.
    std::vector<HostChange> changes;
    std::map<std::string, common::TimePoint> left_at;
  };

  explicit Fleet(uint64_t seed) : random(seed) {}

  Host& Add(const std::string& name,
            const std::string& zone,
            CoordinatorOptions options = {});
  Host& Get(const std::string& name) { return *this->hosts.at(name); }
  // Ends the old process of this name and starts one with an empty state.
  Host& Restart(const std::string& name, const std::vector<std::string>& seeds);
  // The host asks every other one for its digest.
  void AskDigests(const std::string& name);
  void Pause(const std::string& name) { this->Get(name).paused = true; }
  void Resume(const std::string& name);

  // Writes an object; returns its version.
  table::Version Write(table::Object object);
  // Whether every host that runs (of `zone`, if not empty) has this version.
  bool InForce(const std::string& kind,
               const std::string& name,
               table::Version version,
               const std::string& zone = "");
  // Runs until `done` or the limit; returns the time it took.
  std::optional<common::Duration> RunUntil(const std::function<bool()>& done,
                                           common::Duration limit);
  void Run(common::Duration length);
  // Puts every written object into every view, as after a long quiet time.
  void Preload();
  void ResetCounts();

  common::TimePoint now() const { return this->timers.Now(); }

  // Faults.
  std::function<bool(const Host&, const Host&)> cut;
  std::function<bool(const Host&)> platform_cut;
  std::function<bool(const Host&)> silent_watch;
  double loss = 0;
  double duplicates = 0;
  common::Duration jitter{0};

  std::map<std::string, std::unique_ptr<Host>> hosts;
  std::vector<std::unique_ptr<Host>> ended;
  uint64_t platform_calls = 0;
  uint64_t platform_lists = 0;

 private:
  struct Watch {
    Host* host;
    table::FollowAction action;
    bool silent;
  };

  void At(common::Duration after, std::function<void()> event);
  void Start(Host* host);
  void Perform(Host* host, Step step);
  void SendCall(Host* from, PeerCall call);
  void Deliver(Host* from, Host* to, const PeerCall& call);
  void CallPlatform(Host* host, const table::FollowAction& action);
  void OpenWatch(Host* host, const table::FollowAction& action);
  void EndWatch(size_t id, platform::WatchEnd end);
  common::Duration Latency();
  bool Lost(const Host& from, const Host& to);
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

#endif  // UNIT_TESTS_CORE_MEMBERSHIP_FLEET_H_
