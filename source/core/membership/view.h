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
#include "core/membership/message.h"
#include "core/membership/news_queue.h"
#include "core/table/peer_set.h"
#include "core/table/snapshot.h"

namespace jujuberock::membership {

struct Options {
  // One neighbour is probed in each period.
  common::Duration probe_period = std::chrono::seconds(1);
  // A probe without an answer for this long is repeated through other hosts.
  common::Duration ack_timeout = std::chrono::milliseconds(300);
  size_t relays = 2;
  // Time in which a suspected host can refute before it counts as dead. The
  // host that suspects probes it again in every period, the others once.
  common::Duration suspicion = std::chrono::seconds(3);
  // Every so many probes go to a dead host that the platform still lists, so
  // that the sides of a healed partition find each other.
  uint64_t dead_probe_every = 4;
  // Time after which a host that the platform does not list is forgotten. The
  // platform's list lags, so a host that just started may not be in it yet.
  common::Duration unlisted_grace = std::chrono::minutes(10);
  // A gap between ticks longer than this means that the process was paused:
  // the answers it waited for say nothing about the others.
  common::Duration pause_limit = std::chrono::milliseconds(800);
  // Hosts wait up to this long before they announce a leaving endpoint, since
  // most of them see it at the same time.
  common::Duration announce_jitter = std::chrono::seconds(1);
  // Announcements to hosts that did not answer are repeated this often.
  common::Duration announce_retry = std::chrono::milliseconds(500);
  int announce_tries = 4;
  // Without renewal an endpoint that was seen leaving counts as live again.
  common::Duration leaving_lifetime = std::chrono::minutes(2);
  common::Duration leaving_renewal = std::chrono::seconds(40);
  // Time in which a delegate has spoken to every other zone.
  common::Duration zone_period = std::chrono::seconds(6);
  // A summary without changes is renewed this often.
  common::Duration zone_renewal = std::chrono::seconds(20);
  // A zone that was not heard of for this long has no known contacts.
  common::Duration zone_lifetime = std::chrono::seconds(60);
  // News carried by one message.
  size_t news_bytes = 400;
};

struct Send {
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
  std::vector<Send> sends;
  std::vector<HostChange> host_changes;
  std::vector<EndpointChange> endpoint_changes;
};

struct Member {
  HostNews news;
  // In the platform's list now.
  bool listed = false;
  // When the platform first failed to list it.
  std::optional<common::TimePoint> unlisted_since;
  // When a suspected host counts as dead.
  common::TimePoint dead_at;
  // When a suspected host is probed again, so that it can refute.
  std::optional<common::TimePoint> check_at;
};

struct ZoneState {
  ZoneNews news;
  common::TimePoint heard;
};

// Which hosts of the zone live, which endpoints are leaving and whom to talk
// to in other zones, as one host sees it. Neighbours are probed in turn (SWIM);
// a host that does not answer is probed through others, then suspected, and
// dead when it does not refute in time. News travels on probes, so the cost of
// a host does not depend on the size of the zone. Views of hosts may differ;
// that costs speed only. Not thread-safe.
class View {
 public:
  // `self.incarnation` should exceed that of an earlier process of this name,
  // for example the wall time at start in milliseconds. If it does not, the
  // host raises it when it hears of the earlier one.
  View(HostNews self, Options options, uint64_t seed);

  // Call it every 100 ms or so.
  Actions OnTick(common::TimePoint now);
  // A message or an answer. Answers to a message are sends to `from`.
  Actions OnMessage(const std::string& from,
                    const Message& message,
                    common::TimePoint now);
  // The `host` and `endpoint` rows of the table, after they changed.
  Actions OnPlatformList(const table::Snapshot& rows, common::TimePoint now);
  // A load report or an order's answer showed the state of an endpoint whose
  // object has this version.
  Actions OnEndpointReport(const std::string& endpoint,
                           table::Version version,
                           bool leaving,
                           common::TimePoint now);
  // This host stops: tells its zone at once.
  Actions OnStop(common::TimePoint now);
  // Addresses from the settings, probed until hosts are known.
  void AddSeed(const HostNews& seed);

  bool IsLeaving(const std::string& endpoint) const {
    return this->leaving.contains(endpoint);
  }
  const HostNews& self() const { return this->own; }
  const std::map<std::string, Member>& members() const { return this->hosts; }
  table::PeerSet Peers(common::TimePoint now) const;
  std::optional<std::string> AddressOf(const std::string& host) const;
  // The hosts of the zone that act for it.
  std::vector<std::string> Delegates() const;
  // Newest summary of each other zone that was heard of lately.
  std::map<std::string, ZoneState> Zones(common::TimePoint now) const;

 private:
  struct Probe {
    std::string target;
    common::TimePoint sent;
    bool relayed = false;
    // Set when the probe is made for another host.
    std::string relay_for;
    uint64_t relay_sequence = 0;
  };
  struct Leaving {
    LeavingNews news;
    common::TimePoint expires;
    common::TimePoint renew_at;
  };
  // An announcement that not every host has answered.
  struct Announcement {
    News news;
    std::set<std::string> waiting;
    uint64_t first_sequence = 0;
    common::TimePoint next_try;
    int tries_left = 0;
  };

  bool IsAlive(const Member& member) const;
  std::vector<std::string> AliveHosts() const;
  Message MakeMessage(MessageType type, uint64_t sequence, bool same_zone);
  uint64_t SendProbe(const std::string& to,
                     Actions* actions,
                     common::TimePoint now);
  void CheckProbes(common::TimePoint now, Actions* actions);
  void SendRelays(uint64_t sequence, const Probe& probe, Actions* actions);
  void ProbeNext(common::TimePoint now, Actions* actions);
  std::optional<std::string> NextTarget();
  std::optional<std::string> NextDead();
  void Suspect(const std::string& host,
               common::TimePoint now,
               Actions* actions);
  void CheckSuspects(common::TimePoint now, Actions* actions);
  void CheckLeaving(common::TimePoint now, Actions* actions);
  void CheckAnnouncements(common::TimePoint now, Actions* actions);
  void Announce(const News& news, common::TimePoint now);
  void SpeakToZones(common::TimePoint now, Actions* actions);
  void RenewSummary(common::TimePoint now);
  void OnPause(common::Duration gap);
  void MergeHost(const HostNews& news, common::TimePoint now, Actions* actions);
  // Returns whether it was newer.
  bool MergeLeaving(const LeavingNews& news,
                    common::TimePoint now,
                    Actions* actions);
  void LearnLeaving(const LeavingNews& news,
                    common::TimePoint now,
                    Actions* actions);
  void MergeZone(const ZoneNews& news, common::TimePoint now);
  void Refute(const HostNews& news, common::TimePoint now);
  void SetState(Member* member,
                HostState state,
                common::TimePoint now,
                Actions* actions);
  void OnAck(const std::string& from, uint64_t sequence, Actions* actions);

  HostNews own;
  Options options;
  common::Random random;
  NewsQueue queue;
  // Hosts of the own zone, without this one.
  std::map<std::string, Member> hosts;
  // Listed hosts of other zones, by zone and name, with their addresses.
  std::map<std::string, std::map<std::string, std::string>> other_hosts;
  std::map<std::pair<std::string, std::string>, ZoneState> zones;
  std::map<std::string, Leaving> leaving;
  // Versions of the endpoint objects in the table.
  std::map<std::string, table::Version> endpoint_versions;
  std::map<uint64_t, Probe> probes;
  std::map<std::string, Announcement> announcements;
  std::map<std::string, common::TimePoint> announce_at;
  std::vector<std::string> round;
  ZoneNews summary;
  common::TimePoint summary_renewal;
  uint64_t next_sequence = 1;
  uint64_t probe_count = 0;
  size_t next_zone = 0;
  common::TimePoint next_probe;
  common::TimePoint next_zone_at;
  std::optional<common::TimePoint> last_tick;
};

}  // namespace jujuberock::membership

#endif  // CORE_MEMBERSHIP_VIEW_H_
