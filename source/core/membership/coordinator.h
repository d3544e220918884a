#ifndef CORE_MEMBERSHIP_COORDINATOR_H_
#define CORE_MEMBERSHIP_COORDINATOR_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/membership/view.h"
#include "core/platform/object.h"
#include "core/table/platform_watcher.h"
#include "core/table/shared_view.h"
#include "core/table/sync.h"

namespace jujuberock::membership {

struct CoordinatorOptions {
  Options membership;
  table::SyncOptions sync;
  table::WatcherOptions watcher;
  // A starting host asks only its peers for this long before it turns to the
  // platform, so that starts do not load the platform.
  common::Duration bootstrap_grace = std::chrono::seconds(2);
  // A starting host asks its peers again this often.
  common::Duration bootstrap_retry_period = std::chrono::milliseconds(500);
};

// A call to another host. Its answer is passed to OnAnswer(), its failure to
// OnCallFailed().
struct PeerCall {
  std::string to;
  std::string message;
  std::string body;
  // Set if the call belongs to the exchange of the table.
  std::optional<table::SyncRequest> sync;
  // Part of the initial comparison with peers at start.
  bool bootstrap = false;
};

// What the caller has to carry out after an event.
struct Effects {
  std::vector<PeerCall> calls;
  std::vector<table::WatcherCall> watcher_calls;
  std::vector<HostChange> host_changes;
  std::vector<EndpointChange> endpoint_changes;

  void Append(Effects&& other);
};

// Makes all decisions of one host on configuration and membership: exchange of
// the table, failure detection, and which hosts of the zone follow the
// platform. Uses no socket and no clock. Thread-safe.
class Coordinator {
 public:
  Coordinator(table::SharedView& table,
              HostInfo self,
              CoordinatorOptions options,
              uint64_t seed);

  const table::WatcherOptions& watcher_options() const {
    return this->options.watcher;
  }

  // Adds a host from the settings, to be asked before the table lists the
  // hosts.
  void AddSeed(const HostInfo& seed);

  // To be called every 100 ms, from one fiber.
  Effects OnTick(common::TimePoint now);

  // Handles a message and returns the answer to it. Other effects are stored in
  // `effects`. Throws common::Error kProtocolError when the message is
  // malformed.
  std::string OnRequest(const std::string& from,
                        std::string_view message,
                        std::string_view body,
                        common::TimePoint now,
                        Effects* effects);
  Effects OnAnswer(const PeerCall& call,
                   std::string_view body,
                   common::TimePoint now);
  void OnCallFailed(const PeerCall& call, common::TimePoint now);

  // Results of calls to the platform. `list` is empty when the call failed.
  void OnList(const table::WatcherCall& watcher_call,
              const std::optional<platform::ObjectList>& list,
              common::TimePoint now);
  // Returns whether the watch should go on.
  bool OnWatchChange(const table::WatcherCall& watcher_call,
                     const platform::Object& object,
                     common::TimePoint now);
  void OnWatchEnd(const table::WatcherCall& watcher_call,
                  std::optional<platform::WatchEnd> end,
                  common::TimePoint now);
  bool IsCurrent(const table::WatcherCall& watcher_call) const;

  Effects OnEndpointReport(const std::string& endpoint,
                           bool leaving,
                           common::TimePoint now);
  Effects OnStop(common::TimePoint now);

  // Whether a complete configuration is in force.
  bool ready() const;
  // Number of table objects whose newest version is invalid, so that a former
  // version or none is in force.
  size_t CountInvalidObjects() const {
    return this->table.CountInvalidObjects();
  }
  // Whether the platform or any host of the zone reports the endpoint as
  // leaving.
  bool IsLeaving(const std::string& endpoint) const;
  table::PeerSet Peers(common::TimePoint now) const;
  std::vector<std::string> Delegates() const;
  std::optional<std::string> AddressOf(const std::string& host) const;
  HostInfo self() const;
  std::map<std::string, Member> Members() const;
  std::map<std::string, ZoneState> Zones(common::TimePoint now) const;
  // Hosts of the deployment whose configuration differs from this host's, as of
  // their last message. Call RequestDigests() first for the current state.
  std::vector<table::LaggingHost> LaggingHosts(common::TimePoint now) const;
  // Calls that ask every known host for its digest, so that LaggingHosts() is
  // current. Their number grows with the number of hosts, so use it for status
  // only.
  std::vector<PeerCall> RequestDigests() const;
  // Time since the last successful contact with the platform, if any.
  std::optional<common::Duration> TimeSincePlatformContact(
      common::TimePoint now) const;

 private:
  using ViewOperation = std::function<Actions(View*)>;

  // Every other host of the deployment.
  std::set<std::string> KnownHosts() const;

  Effects RunOnView(const ViewOperation& operation);
  PeerCall MakeCall(OutgoingMessage outgoing) const;
  static PeerCall MakeCall(table::SyncRequest send, bool bootstrap);
  void ApplyTableChanges(common::TimePoint now, Effects* effects);
  void ContinueBootstrap(common::TimePoint now,
                         const table::PeerSet& peers,
                         Effects* effects);
  std::optional<std::string> NextBootstrapPeer(common::TimePoint now,
                                               const table::PeerSet& peers);

  table::SharedView& table;
  CoordinatorOptions options;
  table::Sync sync;
  mutable common::RankedMutex mutex{common::LockRank::kMembership};
  // Guarded by the mutex.
  View view;
  table::PlatformWatcher watcher;
  // The snapshot that the view was last given.
  table::SnapshotPtr applied_snapshot;
  // Progress of the initial comparison with peers. `bootstrap_peers` are those
  // still to be asked.
  std::optional<common::TimePoint> started;
  std::optional<std::deque<std::string>> bootstrap_peers;
  bool bootstrap_in_flight = false;
  bool bootstrap_done = false;
  common::TimePoint next_bootstrap_at;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_COORDINATOR_H_
