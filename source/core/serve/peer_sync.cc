#include "core/serve/peer_sync.h"

#include <utility>

#include "core/common/error.h"
#include "core/serve/peer_messages.h"

namespace jujuberock::serve {

using admission::LimitDemand;
using admission::LimitGrant;
using common::Error;
using common::RankedLock;
using common::TimePoint;

namespace {

constexpr common::Duration kLimitsPeriod = admission::kGrantLifetime / 4;
// Marks are sent on every crash and repeated at this period for hosts that have
// started since.
constexpr common::Duration kMarksPeriod = std::chrono::seconds(10);
// Verdicts on prompt parts are due at a time, and crashes come at any.
constexpr common::Duration kPartMarksPeriod = std::chrono::milliseconds(100);
// A reserved endpoint must drain first, which takes longer than this period.
constexpr common::Duration kReservationsPeriod = std::chrono::milliseconds(100);
constexpr common::Duration kMessageTimeout = std::chrono::milliseconds(500);

}  // namespace

PeerSync::PeerSync(runtime::WorkerPool& pool,
                   common::TimerService& timers,
                   host::PeerTransport& peers,
                   AdmissionGate& gate,
                   GuardedSuspects& suspects,
                   GuardedPartSuspects& part_suspects,
                   GuardedRouter& router,
                   EndpointMonitor& endpoint_monitor,
                   DetachedStreams& detached_streams,
                   common::MetricRegistry& counters,
                   const std::string& self)
    : timers(timers),
      peers(peers),
      gate(gate),
      suspects(suspects),
      part_suspects(part_suspects),
      router(router),
      endpoint_monitor(endpoint_monitor),
      detached_streams(detached_streams),
      late_replies(counters.GetCounter("index_queries_late_total")),
      blocked_parts(counters.GetGauge("prompt_parts_blocked")),
      self(self),
      hosts({self}),
      limit_share(self),
      fibers(pool) {
  this->SetHosts({self}, {self}, {self});
}

void PeerSync::RegisterHandlers() {
  const auto handle = [this](std::string_view message, auto handler) {
    this->peers.RegisterHandler(
        std::string(message),
        [handler](const std::string&, std::string_view body) {
          return handler(body);
        });
  };
  handle(kLimitGrantMessage, [this](std::string_view body) {
    return EncodeLimitGrants(this->GrantLimits(DecodeLimitDemands(body)));
  });
  handle(kSuspectMarksMessage, [this](std::string_view body) -> std::string {
    const std::vector<suspects::CrashMark> marks = DecodeSuspectMarks(body);
    this->suspects.With([&](suspects::SuspectList& list) {
      list.Merge(marks, this->timers.Now());
    });
    this->RemoveExplainedMarks();
    return "";
  });
  handle(kPartMarksMessage, [this](std::string_view body) -> std::string {
    const std::vector<suspects::PartMark> marks = DecodePartMarks(body);
    this->part_suspects.With([&](suspects::PartSuspects& list) {
      list.Merge(marks, this->timers.Now());
    });
    this->RemoveExplainedMarks();
    return "";
  });
  this->peers.RegisterHandler(
      std::string(kReservationsMessage),
      [this](const std::string& from, std::string_view body) -> std::string {
        const std::vector<routing::Reservation> reservations =
            DecodeReservations(body);
        this->router.With([&](routing::Router& router) {
          router.OnReservations(from, reservations, this->timers.Now());
        });
        return "";
      });
  handle(kLoadReportsMessage, [this](std::string_view body) -> std::string {
    this->endpoint_monitor.OnLoadReports(body);
    return "";
  });
  handle(kIndexQueryMessage, [this](std::string_view body) {
    const routing::IndexQuery query = DecodeIndexQuery(body);
    return EncodeIndexReply(this->router.With(
        [&](routing::Router& router) { return router.AnswerQuery(query); }));
  });
  handle(kIndexUpdateMessage, [this](std::string_view body) -> std::string {
    const routing::IndexUpdate update = DecodeIndexUpdate(body);
    this->router.With([&](routing::Router& router) {
      router.ApplyUpdate(update, this->timers.Now());
    });
    return "";
  });
  handle(kStreamTakenMessage, [this](std::string_view body) -> std::string {
    this->detached_streams.TakeOver(DecodeStreamTaken(body));
    return "";
  });
}

void PeerSync::Start() {
  this->fibers.Every(this->timers, kLimitsPeriod,
                     [this](TimePoint) { this->RequestLimits(); });
  this->fibers.Every(this->timers, kReservationsPeriod, [this](TimePoint) {
    this->SendReservationChanges();
    this->BroadcastReservations();
  });
  this->fibers.Every(this->timers, kMarksPeriod, [this](TimePoint) {
    this->BroadcastMarks();
    this->BroadcastPartMarks();
  });
  this->fibers.Every(this->timers, kPartMarksPeriod, [this](TimePoint now) {
    this->DecideOnParts(now);
    this->ExchangePartMarks();
  });
}

void PeerSync::SetHosts(const std::vector<std::string>& hosts,
                        const std::vector<std::string>& limit_hosts,
                        const std::vector<std::string>& all_hosts) {
  RankedLock lock(this->mutex);
  this->hosts = hosts;
  this->all_hosts = all_hosts;
  this->limit_owner.SetHosts(limit_hosts);
  this->limit_share.SetHosts(limit_hosts);
  this->owners.SetHosts(hosts);
}

void PeerSync::SetTeam(const std::string& team,
                       double weight,
                       uint32_t zone_limit) {
  uint32_t share;
  {
    RankedLock lock(this->mutex);
    this->teams[team] = {weight, zone_limit};
    this->limit_owner.SetLimit(team, zone_limit);
    this->limit_share.SetLimit(team, zone_limit);
    share = this->limit_share.ShareOf(team, this->timers.Now());
  }
  this->gate.SetTeam(team, weight, share);
}

void PeerSync::RemoveTeam(const std::string& team) {
  RankedLock lock(this->mutex);
  this->teams.erase(team);
}

std::vector<std::string> PeerSync::OtherHosts(bool in_all_zones) {
  RankedLock lock(this->mutex);
  std::vector<std::string> others;
  for (const std::string& host : in_all_zones ? this->all_hosts : this->hosts) {
    if (host != this->self)
      others.push_back(host);
  }
  return others;
}

void PeerSync::Send(const std::string& host,
                    std::string_view message,
                    const std::string& body) {
  this->fibers.Spawn([this, host, message, body] {
    try {
      this->peers.Call(host, message, body,
                       this->timers.Now() + kMessageTimeout);
    } catch (const Error&) {
      // All of these messages are best effort; the transport counts failures.
    }
  });
}

void PeerSync::SendToZone(std::string_view message, const std::string& body) {
  for (const std::string& host : this->OtherHosts())
    this->Send(host, message, body);
}

void PeerSync::SendToAllZones(std::string_view message,
                              const std::string& body) {
  for (const std::string& host : this->OtherHosts(true))
    this->Send(host, message, body);
}

void PeerSync::BroadcastMarks() {
  const std::vector<suspects::CrashMark> marks =
      this->suspects.With([&](suspects::SuspectList& list) {
        return list.Marks(this->timers.Now());
      });
  if (marks.empty())
    return;
  this->SendToAllZones(kSuspectMarksMessage, EncodeSuspectMarks(marks));
}

void PeerSync::DecideOnParts(TimePoint now) {
  const size_t host_count = this->OtherHosts(true).size() + 1;
  const size_t blocked =
      this->part_suspects.With([&](suspects::PartSuspects& list) {
        list.SetHostCount(host_count);
        list.Tick(now);
        return list.CountBlocked(now);
      });
  this->blocked_parts.Set(static_cast<int64_t>(blocked));
}

void PeerSync::ExchangePartMarks() {
  const bool is_changed = this->part_suspects.With(
      [](suspects::PartSuspects& list) { return list.TakeChanged(); });
  if (!is_changed)
    return;
  this->RemoveExplainedMarks();
  this->BroadcastPartMarks();
}

void PeerSync::RemoveExplainedMarks() {
  const std::vector<suspects::EndpointCrash> explained =
      this->part_suspects.With(
          [](suspects::PartSuspects& list) { return list.ExplainedCrashes(); });
  if (explained.empty())
    return;
  this->suspects.With(
      [&](suspects::SuspectList& list) { list.RemoveCrashes(explained); });
}

void PeerSync::BroadcastPartMarks() {
  const std::vector<suspects::PartMark> marks =
      this->part_suspects.With([&](suspects::PartSuspects& list) {
        return list.Marks(this->timers.Now());
      });
  if (!marks.empty())
    this->SendToAllZones(kPartMarksMessage, EncodePartMarks(marks));
}

void PeerSync::BroadcastReservations() {
  const std::vector<routing::Reservation> reservations =
      this->router.With([&](routing::Router& router) {
        return router.Reservations(this->timers.Now());
      });
  if (!reservations.empty())
    this->SendToZone(kReservationsMessage, EncodeReservations(reservations));
}

void PeerSync::SendReservationChanges() {
  const std::vector<routing::Reservation> changes =
      this->router.With([&](routing::Router& router) {
        return router.TakeReservationChanges(this->timers.Now());
      });
  if (!changes.empty())
    this->SendToAllZones(kReservationsMessage, EncodeReservations(changes));
}

void PeerSync::SendLoadReports(const std::string& bytes) {
  this->SendToZone(kLoadReportsMessage, bytes);
}

void PeerSync::NotifyTakenOver(const std::string& host,
                               const std::string& stream) {
  this->Send(host, kStreamTakenMessage, EncodeStreamTaken(stream));
}

std::vector<LimitGrant> PeerSync::GrantLimits(
    const std::vector<LimitDemand>& demands) {
  const TimePoint now = this->timers.Now();
  RankedLock lock(this->mutex);
  std::vector<LimitGrant> grants;
  for (const LimitDemand& demand : demands) {
    // This host has no limit to grant from for a team that it does not know
    // yet.
    if (this->teams.contains(demand.team))
      grants.push_back(this->limit_owner.OnDemand(demand, now));
  }
  return grants;
}

void PeerSync::RequestLimits() {
  std::vector<std::string> names;
  std::vector<std::string> hosts_now;
  {
    RankedLock lock(this->mutex);
    hosts_now = this->hosts;
    for (const auto& [team, share] : this->teams)
      names.push_back(team);
  }
  std::map<std::string, std::vector<LimitDemand>> by_owner;
  for (const std::string& team : names) {
    const LimitDemand demand{team, this->self, this->gate.running(team),
                             this->gate.queued(team)};
    // A host without requests of the team keeps its even share and needs no
    // grant.
    if (demand.running + demand.queued > 0)
      by_owner[admission::LimitOwnerOf(team, hosts_now)].push_back(demand);
  }
  for (const auto& [owner, demands] : by_owner) {
    this->fibers.Spawn([this, owner = owner, demands = demands] {
      this->RequestLimitsFrom(owner, demands);
    });
  }
  this->ApplyLimits();
}

void PeerSync::RequestLimitsFrom(const std::string& owner,
                                 const std::vector<LimitDemand>& demands) {
  const TimePoint sent = this->timers.Now();
  std::vector<LimitGrant> grants;
  try {
    grants = owner == this->self
                 ? this->GrantLimits(demands)
                 : DecodeLimitGrants(this->peers.Call(
                       owner, kLimitGrantMessage, EncodeLimitDemands(demands),
                       sent + kMessageTimeout));
  } catch (const Error&) {
    // Without a grant, the even share over the last known hosts applies.
    return;
  }
  {
    RankedLock lock(this->mutex);
    for (const LimitGrant& grant : grants)
      this->limit_share.OnGrant(grant, sent);
  }
  this->ApplyLimits();
}

void PeerSync::ApplyLimits() {
  const TimePoint now = this->timers.Now();
  RankedLock lock(this->mutex);
  for (const auto& [team, share] : this->teams)
    this->gate.SetTeam(team, share.weight,
                       this->limit_share.ShareOf(team, now));
}

std::string PeerSync::OwnerOf(const std::string& conversation,
                              const routing::RouteRequest& request) {
  const auto hash = routing::ConversationOwners::ConversationOf(
      request.team, conversation, request.block_keys);
  if (!hash || request.block_keys.empty())
    return this->self;
  RankedLock lock(this->mutex);
  return this->owners.OwnerOf(*hash, this->timers.Now());
}

std::string PeerSync::QueryOwner(const std::string& conversation,
                                 routing::RouteRequest& request) {
  const std::string owner = this->OwnerOf(conversation, request);
  if (owner == this->self || owner.empty())
    return owner;
  try {
    request.owner_reply = DecodeIndexReply(this->peers.Call(
        owner, kIndexQueryMessage, EncodeIndexQuery({request.block_keys}),
        this->timers.Now() + routing::kOwnerReplyTimeout));
  } catch (const Error&) {
    this->late_replies.Add();
    request.load_only = true;
  }
  return owner;
}

void PeerSync::NotifyOwner(const std::string& owner,
                           const routing::RouteRequest& request,
                           const routing::RouteDecision& decision) {
  if (owner == this->self || owner.empty())
    return;
  const routing::IndexUpdate update =
      this->router.With([&](routing::Router& router) {
        return router.MakeUpdate(request, decision);
      });
  if (!update.events.empty())
    this->Send(owner, kIndexUpdateMessage, EncodeIndexUpdate(update));
}

}  // namespace jujuberock::serve
