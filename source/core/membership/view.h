#ifndef CORE_MEMBERSHIP_VIEW_H_
#define CORE_MEMBERSHIP_VIEW_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/membership/gossip_queue.h"
#include "core/membership/message.h"
#include "core/table/peer_set.h"
#include "core/table/snapshot.h"

namespace jujuberock::membership {

struct Options {
  // One host of the zone is probed in each period.
  common::Duration probe_period = std::chrono::seconds(1);
  // A probe without an ack for this long is repeated through other hosts.
  common::Duration ack_timeout = std::chrono::milliseconds(300);
  // Hosts that are asked to repeat it.
  size_t indirect_probes = 2;
  // Time that a suspected host has to refute before it is declared dead. The
  // host that suspects it first-hand probes it again in every period, the
  // others once.
  common::Duration suspicion_timeout = std::chrono::seconds(3);
  // Every n-th probe goes to a dead host that the platform still lists, so that
  // both sides of a partition rejoin after it heals.
  uint64_t dead_probe_every = 4;
  // Time after which a host that the platform does not list is removed. The
  // platform's list lags, so a host that has just started may be missing from
  // it.
  common::Duration unlisted_grace = std::chrono::minutes(10);
  // A longer gap between ticks means that this process was paused, so missing
  // acks say nothing about other hosts.
  common::Duration max_tick_gap = std::chrono::milliseconds(800);
  // Random delay of up to this long before a leaving endpoint is announced,
  // since most hosts see it leave at the same time.
  common::Duration announce_jitter = std::chrono::seconds(1);
  // Period and number of sends of an announcement to hosts that have not
  // acknowledged it.
  common::Duration announce_retry_period = std::chrono::milliseconds(500);
  int announce_attempts = 4;
  // A leaving endpoint counts as live again after this time without a renewal,
  // which hosts that still see it leaving send once per renewal period.
  common::Duration leaving_lifetime = std::chrono::minutes(2);
  common::Duration leaving_renewal_period = std::chrono::seconds(40);
  // Time in which a delegate sends its summary to every other zone once.
  common::Duration zone_probe_cycle = std::chrono::seconds(6);
  // An unchanged summary gets a new sequence number this often.
  common::Duration summary_renewal_period = std::chrono::seconds(20);
  // A summary that was not received for this long is dropped.
  common::Duration summary_lifetime = std::chrono::seconds(60);
  // Limit on the gossip in one message.
  size_t gossip_bytes = 400;
};

struct OutgoingMessage {
  std::string to;
  Message message;
};

struct HostChange {
  std::string host;
  HostState state;
};

struct EndpointChange {
  std::string endpoint;
  // False when the endpoint may get work again.
  bool leaving;
};

struct Actions {
  std::vector<OutgoingMessage> messages;
  std::vector<HostChange> host_changes;
  std::vector<EndpointChange> endpoint_changes;
};

struct Member {
  HostInfo info;
  // Whether the platform lists it now.
  bool listed = false;
  // Since when the platform does not list it.
  std::optional<common::TimePoint> unlisted_since;
  // When a suspected host is declared dead.
  common::TimePoint dead_at;
  // When a suspected host is probed again, so that it can refute.
  std::optional<common::TimePoint> reprobe_at;
};

struct ZoneState {
  ZoneSummary summary;
  common::TimePoint received_at;
};

// One host's view of its zone: which hosts are alive, which endpoints are
// leaving and which hosts of other zones to contact. Failure detection follows
// SWIM: the hosts of the zone are probed in turn; one that does not answer is
// probed through others, then suspected, and declared dead if it does not
// refute in time. Updates are piggybacked on probes, so the cost per host does
// not depend on the size of the zone. Views of different hosts may disagree;
// that costs speed only. Not thread-safe.
class View {
 public:
  // `self.incarnation` should exceed that of any earlier process of this name,
  // for example the wall time at start in milliseconds. If it does not, the
  // host raises it when it receives the earlier one.
  View(HostInfo self, Options options, uint64_t seed);

  // To be called about every 100 ms.
  Actions OnTick(common::TimePoint now);
  // Handles a message or an answer. The reply, if any, is a message to `from`.
  Actions OnMessage(const std::string& from,
                    const Message& message,
                    common::TimePoint now);
  // Takes over the `host` and `endpoint` rows of the table after a change.
  Actions OnPlatformList(const table::Snapshot& rows, common::TimePoint now);
  // Handles the state that an endpoint gave in a load report or in the reply to
  // an order. `version` is the version of the endpoint's object.
  Actions OnEndpointReport(const std::string& endpoint,
                           table::Version version,
                           bool leaving,
                           common::TimePoint now);
  // Announces to the zone that this host is stopping.
  Actions OnStop(common::TimePoint now);
  // Adds a host from the settings, to be probed until the table lists the
  // hosts.
  void AddSeed(const HostInfo& seed);

  bool IsLeaving(const std::string& endpoint) const {
    return this->leaving.contains(endpoint);
  }
  const HostInfo& self() const { return this->own; }
  const std::map<std::string, Member>& members() const { return this->hosts; }
  table::PeerSet Peers(common::TimePoint now) const;
  std::optional<std::string> AddressOf(const std::string& host) const;
  // The hosts that represent the zone to other zones and follow the platform.
  std::vector<std::string> Delegates() const;
  // The summary of each other zone that was received last, unless it has
  // expired.
  std::map<std::string, ZoneState> Zones(common::TimePoint now) const;

 private:
  struct Probe {
    std::string target;
    common::TimePoint sent;
    bool indirect_sent = false;
    // Set if the probe is made for another host.
    std::string requester;
    uint64_t requester_sequence = 0;
  };
  struct LeavingState {
    LeavingEndpoint latest;
    common::TimePoint expires_at;
    common::TimePoint renew_at;
  };
  // An announcement that not every host has acknowledged.
  struct Announcement {
    GossipItem item;
    std::set<std::string> unacknowledged;
    uint64_t first_sequence = 0;
    common::TimePoint next_attempt;
    int attempts_left = 0;
  };

  bool IsAlive(const Member& member) const;
  std::vector<std::string> AliveHosts() const;
  Message MakeMessage(MessageType type, uint64_t sequence, bool same_zone);
  uint64_t SendProbe(const std::string& to,
                     Actions* actions,
                     common::TimePoint now);
  void CheckProbes(common::TimePoint now, Actions* actions);
  void SendIndirectProbes(uint64_t sequence,
                          const Probe& probe,
                          Actions* actions);
  void ProbeNext(common::TimePoint now, Actions* actions);
  std::optional<std::string> NextProbeTarget();
  std::optional<std::string> PickDeadHost();
  void Suspect(const std::string& host,
               common::TimePoint now,
               Actions* actions);
  void CheckSuspects(common::TimePoint now, Actions* actions);
  void CheckLeaving(common::TimePoint now, Actions* actions);
  void CheckAnnouncements(common::TimePoint now, Actions* actions);
  void Announce(const GossipItem& item, common::TimePoint now);
  void ProbeNextZone(common::TimePoint now, Actions* actions);
  void RefreshSummary(common::TimePoint now);
  void OnPause(common::Duration gap);
  void MergeHost(const HostInfo& info, common::TimePoint now, Actions* actions);
  // Returns whether `leaving` was newer than what was known.
  bool MergeLeaving(const LeavingEndpoint& leaving,
                    common::TimePoint now,
                    Actions* actions);
  void ReceiveLeaving(const LeavingEndpoint& leaving,
                      common::TimePoint now,
                      Actions* actions);
  void MergeZone(const ZoneSummary& summary, common::TimePoint now);
  void Refute(const HostInfo& info, common::TimePoint now);
  void SetState(Member* member,
                HostState state,
                common::TimePoint now,
                Actions* actions);
  void OnAck(const std::string& from, uint64_t sequence, Actions* actions);

  HostInfo own;
  Options options;
  common::Random random;
  GossipQueue queue;
  // Other hosts of this zone, by name.
  std::map<std::string, Member> hosts;
  // Addresses of hosts in other zones, by zone and name.
  std::map<std::string, std::map<std::string, std::string>> other_hosts;
  // Summaries of other zones, by zone and author.
  std::map<std::pair<std::string, std::string>, ZoneState> zones;
  std::map<std::string, LeavingState> leaving;
  // Versions of the endpoint objects in the table.
  std::map<std::string, table::Version> endpoint_versions;
  std::map<uint64_t, Probe> probes;
  // By endpoint, or by this host's name for an announcement of itself.
  std::map<std::string, Announcement> announcements;
  std::map<std::string, common::TimePoint> announce_due;
  // Hosts still to be probed in this round, the next one last.
  std::vector<std::string> probe_order;
  // This host's summary of its zone, sent while it is a delegate.
  ZoneSummary summary;
  common::TimePoint next_summary_renewal;
  uint64_t next_sequence = 1;
  uint64_t probe_count = 0;
  size_t zone_cursor = 0;
  common::TimePoint next_probe_at;
  common::TimePoint next_zone_probe_at;
  std::optional<common::TimePoint> last_tick;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_VIEW_H_
