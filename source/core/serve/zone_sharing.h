#ifndef CORE_SERVE_ZONE_SHARING_H_
#define CORE_SERVE_ZONE_SHARING_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/admission/limit_grants.h"
#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/host/peer_transport.h"
#include "core/routing/conversation_owners.h"
#include "core/serve/admission_gate.h"
#include "core/serve/decisions.h"
#include "core/serve/detached_streams.h"
#include "core/serve/fiber_group.h"
#include "core/serve/fleet.h"

namespace jujuberock::serve {

// What the hosts of a zone tell each other about requests: team limits,
// suspects, load reports, where conversations' blocks are, and streams that
// went on at another host. Thread-safe.
class ZoneSharing {
 public:
  ZoneSharing(runtime::WorkerPool& pool,
              common::TimerService& timers,
              host::PeerTransport& peers,
              AdmissionGate& gate,
              GuardedSuspects& suspects,
              GuardedRouter& router,
              Fleet& fleet,
              DetachedStreams& detached,
              common::CounterRegistry& counters,
              const std::string& self);

  // Registers the handlers of its messages; call it before the transport
  // serves.
  void RegisterHandlers();
  void Start();
  void Stop() { this->fibers.Stop(); }

  // Live hosts of the zone, those that share its limits, and those of all
  // zones, each with this one. A leaving host without a share could not finish
  // what it has queued.
  void SetHosts(const std::vector<std::string>& hosts,
                const std::vector<std::string>& sharing,
                const std::vector<std::string>& all);
  // The zone's part of a team's limit and the team's weight.
  void SetTeam(const std::string& team, double weight, uint32_t zone_limit);
  void RemoveTeam(const std::string& team);
  // Sends the marks of a crash at once, to all zones: the caller may send the
  // request again anywhere, and two endpoints altogether are what it may cost.
  void SpreadMarks();
  // Sends the endpoints that this host keeps free for suspects, if any.
  void SpreadReservations();
  void SendLoadReports(const std::string& bytes);
  // The host that had the stream must not cancel it.
  void TellTakenOver(const std::string& host, const std::string& stream);

  // Asks the conversation's owner, unless this host is it, where its blocks
  // are. Waits at most routing::kOwnerAnswerLimit. Returns the owner's name.
  std::string AskOwner(const std::string& conversation,
                       routing::RouteRequest& request);
  // Tells the owner where the request went.
  void TellOwner(const std::string& owner,
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
  void Send(const std::string& host,
            std::string_view message,
            const std::string& body);
  void AskForLimits();
  void AskOwnerForLimits(const std::string& owner,
                         const std::vector<admission::LimitDemand>& demands);
  void ApplyLimits();
  std::vector<admission::LimitGrant> Grant(
      const std::vector<admission::LimitDemand>& demands);

  common::TimerService& timers;
  host::PeerTransport& peers;
  AdmissionGate& gate;
  GuardedSuspects& suspects;
  GuardedRouter& router;
  Fleet& fleet;
  DetachedStreams& detached;
  common::Counter& late_answers;
  std::string self;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::vector<std::string> hosts;
  std::vector<std::string> all_hosts;
  std::map<std::string, TeamShare> teams;
  admission::LimitOwner limit_owner;
  admission::LimitShare limit_share;
  routing::ConversationOwners owners;
  // Last: its fibers use everything above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_ZONE_SHARING_H_
