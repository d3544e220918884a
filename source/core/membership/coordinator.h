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
#include "core/table/platform_follower.h"
#include "core/table/shared_view.h"
#include "core/table/sync.h"

namespace jujuberock::membership {

struct CoordinatorOptions {
  Options membership;
  table::SyncOptions sync;
  table::FollowerOptions follower;
  // Time in which a starting host asks only its peers, so that starts do not
  // load the platform.
  common::Duration start_grace = std::chrono::seconds(2);
  // A starting host asks its peers again after this time.
  common::Duration start_retry = std::chrono::milliseconds(500);
};

// A message to another host. Its answer goes to OnAnswer(), its failure to
// OnCallFailed().
struct PeerCall {
  std::string to;
  std::string message;
  std::string body;
  // Set for messages of the table.
  std::optional<table::SyncSend> sync;
  // Part of the merge at start.
  bool start = false;
};

// What to do after an event.
struct Step {
  std::vector<PeerCall> calls;
  std::vector<table::FollowAction> platform;
  std::vector<HostChange> host_changes;
  std::vector<EndpointChange> endpoint_changes;

  void Append(Step&& other);
};

// All decisions of one host on configuration and membership: the table's
// exchange, the failure detection, and who of the zone follows the platform.
// Holds no socket or clock; thread-safe.
class Coordinator {
 public:
  Coordinator(table::SharedView& table,
              HostNews self,
              CoordinatorOptions options,
              uint64_t seed);

  const table::FollowerOptions& follower_options() const {
    return this->options.follower;
  }

  // Hosts from the settings, asked at the start before others are known.
  void AddSeed(const HostNews& seed);

  // Call it every 100 ms, from one fiber.
  Step OnTick(common::TimePoint now);

  // Handles a message and returns its answer; `step` gets what else follows.
  // Throws common::Error kProtocolError when it is malformed.
  std::string OnRequest(const std::string& from,
                        std::string_view message,
                        std::string_view body,
                        common::TimePoint now,
                        Step* step);
  Step OnAnswer(const PeerCall& call,
                std::string_view body,
                common::TimePoint now);
  void OnCallFailed(const PeerCall& call, common::TimePoint now);

  // Results of platform calls. `list` is nothing when the call failed.
  void OnList(const table::FollowAction& action,
              const std::optional<platform::ObjectList>& list,
              common::TimePoint now);
  // Returns whether the watch is still wanted.
  bool OnWatchChange(const table::FollowAction& action,
                     const platform::Object& object,
                     common::TimePoint now);
  void OnWatchEnd(const table::FollowAction& action,
                  std::optional<platform::WatchEnd> end,
                  common::TimePoint now);
  bool IsCurrent(const table::FollowAction& action) const;

  Step OnEndpointReport(const std::string& endpoint,
                        bool leaving,
                        common::TimePoint now);
  Step OnStop(common::TimePoint now);

  // A complete configuration is in force.
  bool ready() const;
  // The platform or any host of the zone says that the endpoint is leaving.
  bool IsLeaving(const std::string& endpoint) const;
  table::PeerSet Peers(common::TimePoint now) const;
  std::vector<std::string> Delegates() const;
  std::optional<std::string> AddressOf(const std::string& host) const;
  HostNews self() const;
  std::map<std::string, Member> Members() const;
  std::map<std::string, ZoneState> Zones(common::TimePoint now) const;
  // Hosts of the deployment whose configuration differs, as of their last
  // message. Ask for their digests first to see the present state.
  std::vector<table::HostLag> Lags(common::TimePoint now) const;
  // Messages that ask each known host for its digest, so that Lags() is
  // current. The number grows with the hosts; for status only.
  std::vector<PeerCall> AskDigests() const;
  // Time since the last successful contact with the platform, if any.
  std::optional<common::Duration> PlatformSilence(common::TimePoint now) const;

 private:
  using Change = std::function<Actions(View*)>;

  std::set<std::string> KnownHosts() const;

  Step Membership(const Change& change);
  PeerCall CallOf(Send send) const;
  static PeerCall CallOf(table::SyncSend send, bool start);
  void RefreshRows(common::TimePoint now, Step* step);
  void ContinueStart(common::TimePoint now,
                     const table::PeerSet& peers,
                     Step* step);
  std::optional<std::string> NextStartPeer(common::TimePoint now,
                                           const table::PeerSet& peers);

  table::SharedView& table;
  CoordinatorOptions options;
  table::Sync sync;
  mutable common::RankedMutex mutex{common::LockRank::kMembership};
  // Guarded by the mutex.
  View view;
  table::PlatformFollower follower;
  table::SnapshotPtr rows;
  // State of the start.
  std::optional<common::TimePoint> started;
  std::optional<std::deque<std::string>> start_queue;
  bool start_in_flight = false;
  bool start_done = false;
  common::TimePoint start_next;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_COORDINATOR_H_
