#ifndef CORE_ADMISSION_LIMIT_GRANTS_H_
#define CORE_ADMISSION_LIMIT_GRANTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::admission {

// What a host has and wants of a team's limit. Message `limit_grant`.
struct LimitDemand {
  std::string team;
  std::string host;
  uint32_t running = 0;
  uint32_t queued = 0;
};

// The reply: requests of the team that the host may have running.
struct LimitGrant {
  std::string team;
  uint32_t share = 0;
  common::Duration lifetime{0};
  // The owner has taken over lately and waits until the grants of the former
  // owner have ended; the host keeps what it has.
  bool pending = false;
};

// How long a grant lasts. Hosts ask four times in that period.
inline constexpr common::Duration kGrantLifetime = std::chrono::seconds(2);

// This host's part of `limit` when it is split evenly over the hosts of a
// view. Over all hosts with the same view the parts add up to the limit.
uint32_t EvenShare(std::string_view team,
                   uint32_t limit,
                   const std::vector<std::string>& hosts,
                   std::string_view self);

// The host that hands out a team's limit in a zone (rendezvous hash).
std::string LimitOwnerOf(std::string_view team,
                         const std::vector<std::string>& hosts);

// Requests of a team by which all `hosts` of a zone together can exceed the
// zone's limit. Grants in force never add up to more than the limit. But when
// the owner falls silent, a host that used a large grant may still run what it
// started, while each other host falls back to its even share of the last
// view, of which the smallest that any of them uses has `smallest_view` hosts:
//   (hosts - 1) * ceil(limit / smallest_view)
// When the zone falls apart into parts that each see only themselves, each part
// has an owner of its own and adds one limit. Zones have fixed shares of a
// team's limit, so a cut between zones adds nothing.
uint32_t LimitOvershootBound(uint32_t limit,
                             uint32_t hosts,
                             uint32_t smallest_view,
                             uint32_t parts);

// Hands out the limits of the teams that this host owns in its zone.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class LimitOwner {
 public:
  explicit LimitOwner(common::Duration lifetime = kGrantLifetime);

  // The zone's part of the team's limit.
  void SetLimit(std::string_view team, uint32_t limit);
  // Live hosts of the zone, this one included.
  void SetHosts(std::vector<std::string> hosts);

  LimitGrant OnDemand(const LimitDemand& demand, common::TimePoint now);

 private:
  struct HostState {
    uint32_t running = 0;
    uint32_t wanted = 0;
    uint32_t granted = 0;
    common::TimePoint heard_at;
    common::TimePoint granted_until;
  };
  struct Team {
    uint32_t limit = UINT32_MAX;
    // First demand since this host became the owner.
    bool owned = false;
    common::TimePoint owned_since;
    common::TimePoint last_demand;
    std::map<std::string, HostState, std::less<>> hosts;
  };

  // What a host may be using whatever this owner answers now.
  uint32_t Reserved(const Team& team,
                    std::string_view team_name,
                    const std::string& host,
                    common::TimePoint now) const;
  uint32_t FairTarget(const Team& team, const std::string& host) const;

  common::Duration lifetime;
  std::vector<std::string> hosts;
  std::map<std::string, Team, std::less<>> teams;
};

// This host's shares of team limits.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class LimitShare {
 public:
  explicit LimitShare(std::string self);

  void SetLimit(std::string_view team, uint32_t limit);
  void SetHosts(std::vector<std::string> hosts);

  // The lifetime counts from when the demand was sent, so that the owner, which
  // counts from a later time, never believes a grant ended too early.
  void OnGrant(const LimitGrant& grant, common::TimePoint demand_sent);

  // Requests of the team that this host may have running. Without a valid
  // grant, the even share over the last view. UINT32_MAX: no limit is set.
  uint32_t ShareOf(std::string_view team, common::TimePoint now) const;

 private:
  struct Team {
    uint32_t limit = UINT32_MAX;
    uint32_t share = 0;
    common::TimePoint granted_until = common::TimePoint::min();
  };

  std::string self;
  std::vector<std::string> hosts;
  std::map<std::string, Team, std::less<>> teams;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_LIMIT_GRANTS_H_
