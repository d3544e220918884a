#ifndef CORE_SERVE_PEER_SYNC_H_
#define CORE_SERVE_PEER_SYNC_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/limit_grants.h"
#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/routing/conversation_owners.h"
#include "core/serve/admission_gate.h"
#include "core/serve/detached_streams.h"
#include "core/serve/endpoint_monitor.h"
#include "core/serve/fiber_group.h"
#include "core/serve/guarded.h"

namespace jujuberock::serve {

// Exchanges request state with other hosts: team limits, suspects,
// reservations, load reports, where conversations' blocks are, and streams that
// were resumed at another host. Thread-safe.
class PeerSync {
 public:
  PeerSync(runtime::WorkerPool& pool,
           common::TimerService& timers,
           host::PeerTransport& peers,
           AdmissionGate& gate,
           GuardedSuspects& suspects,
           GuardedPartSuspects& part_suspects,
           GuardedRouter& router,
           EndpointMonitor& endpoint_monitor,
           DetachedStreams& detached_streams,
           common::MetricRegistry& counters,
           const std::string& self);

  // Registers the message handlers. Call it before the transport starts
  // serving.
  void RegisterHandlers();
  void Start();
  void Stop() { this->fibers.Stop(); }

  // Sets the live hosts of the zone, the hosts that share its limits, and the
  // live hosts of all zones; each includes this host. A leaving host keeps its
  // share of the limits, since it could not finish its queued requests without.
  void SetHosts(const std::vector<std::string>& hosts,
                const std::vector<std::string>& limit_hosts,
                const std::vector<std::string>& all_hosts);
  // Sets the team's weight and the zone's part of its limit.
  void SetTeam(const std::string& team, double weight, uint32_t zone_limit);
  void RemoveTeam(const std::string& team);
  // Sends the suspect marks to the hosts of all zones. This happens right after
  // a crash, since the caller may resend the request to any host, and one
  // request may crash at most two endpoints in total.
  void BroadcastMarks();
  // Sends the marks of prompt parts to the hosts of all zones if they have
  // changed. Called after a crash and periodically.
  void ExchangePartMarks();
  // Sends the endpoints that this host has reserved for suspects to the hosts
  // of the zone, if any.
  void BroadcastReservations();
  // Sends the endpoints that this host has just reserved or released to the
  // hosts of all zones, since these may choose the same endpoints.
  void SendReservationChanges();
  void SendLoadReports(const std::string& bytes);
  // Notifies the host that had the stream, so that it does not cancel it.
  void NotifyTakenOver(const std::string& host, const std::string& stream);

  // Asks the owner of the conversation where its blocks are, unless this host
  // is the owner. Waits at most routing::kOwnerReplyTimeout. Returns the
  // owner's name.
  std::string QueryOwner(const std::string& conversation,
                         routing::RouteRequest& request);
  // Notifies the owner which endpoint the request was sent to.
  void NotifyOwner(const std::string& owner,
                   const routing::RouteRequest& request,
                   const routing::RouteDecision& decision);

 private:
  struct TeamShare {
    double weight = 1;
    uint32_t zone_limit = 0;
  };

  std::string OwnerOf(const std::string& conversation,
                      const routing::RouteRequest& request);
  std::vector<std::string> OtherHosts(bool in_all_zones = false);
  void SendToZone(std::string_view message, const std::string& body);
  void SendToAllZones(std::string_view message, const std::string& body);
  void DecideOnParts(common::TimePoint now);
  void BroadcastPartMarks();
  // Removes the marks of requests that were in flight beside a blocked part.
  void RemoveExplainedMarks();
  void Send(const std::string& host,
            std::string_view message,
            const std::string& body);
  void RequestLimits();
  void RequestLimitsFrom(const std::string& owner,
                         const std::vector<admission::LimitDemand>& demands);
  void ApplyLimits();
  std::vector<admission::LimitGrant> GrantLimits(
      const std::vector<admission::LimitDemand>& demands);

  common::TimerService& timers;
  host::PeerTransport& peers;
  AdmissionGate& gate;
  GuardedSuspects& suspects;
  GuardedPartSuspects& part_suspects;
  GuardedRouter& router;
  EndpointMonitor& endpoint_monitor;
  DetachedStreams& detached_streams;
  common::Counter& late_replies;
  common::Gauge& blocked_parts;
  std::string self;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::vector<std::string> hosts;
  std::vector<std::string> all_hosts;
  std::map<std::string, TeamShare> teams;
  admission::LimitOwner limit_owner;
  admission::LimitShare limit_share;
  routing::ConversationOwners owners;
  // Declared last: its fibers use the members above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_PEER_SYNC_H_
