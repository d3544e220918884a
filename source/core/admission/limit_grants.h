#ifndef CORE_ADMISSION_LIMIT_GRANTS_H_
#define CORE_ADMISSION_LIMIT_GRANTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::admission {

// A host's usage of and demand for a team's limit. Message `limit_grant`.
struct LimitDemand {
  std::string team;
  std::string host;
  uint32_t running = 0;
  uint32_t queued = 0;
};

// The reply: how many requests of the team the host may have running.
struct LimitGrant {
  std::string team;
  uint32_t share = 0;
  common::Duration lifetime{0};
  // The owner took over recently and waits until the former owner's grants have
  // expired; the host keeps its current share.
  bool pending = false;
};

// Validity period of a grant. Hosts request four times per period.
inline constexpr common::Duration kGrantLifetime = std::chrono::seconds(2);

// Returns the share of host `self` when `limit` is split evenly over the hosts
// of a view. The shares of all hosts with the same view add up to the limit.
uint32_t EvenShare(std::string_view team,
                   uint32_t limit,
                   const std::vector<std::string>& hosts,
                   std::string_view self);

// Returns the host that grants shares of a team's limit in a zone (rendezvous
// hash).
std::string LimitOwnerOf(std::string_view team,
                         const std::vector<std::string>& hosts);

// Upper bound on the number of a team's running requests above the zone's
// limit, over all `hosts` of the zone. Valid grants never add up to more than
// the limit. But if the owner stops answering, a host with a large grant may
// still run what it started, while every other host falls back to its even
// share of the last view, the smallest of which has `smallest_view` hosts:
//   (hosts - 1) * ceil(limit / smallest_view)
// If the zone splits into partitions, each has an owner of its own and adds one
// limit. Zones have fixed shares of a team's limit, so a partition between
// zones adds nothing.
uint32_t LimitOvershootBound(uint32_t limit,
                             uint32_t hosts,
                             uint32_t smallest_view,
                             uint32_t partitions);

// Grants shares of the limits of the teams that this host owns in its zone.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class LimitOwner {
 public:
  explicit LimitOwner(common::Duration lifetime = kGrantLifetime);

  // Sets the zone's part of the team's limit.
  void SetLimit(std::string_view team, uint32_t limit);
  // Sets the live hosts of the zone, including this one.
  void SetHosts(std::vector<std::string> hosts);

  LimitGrant OnDemand(const LimitDemand& demand, common::TimePoint now);

 private:
  struct HostState {
    uint32_t running = 0;
    uint32_t wanted = 0;
    uint32_t granted = 0;
    common::TimePoint last_demand_at;
    common::TimePoint granted_until;
  };
  struct Team {
    uint32_t limit = UINT32_MAX;
    // Set by the first demand since this host became the owner.
    bool owned = false;
    common::TimePoint owned_since;
    common::TimePoint last_demand;
    std::map<std::string, HostState, std::less<>> hosts;
  };

  // Requests that a host may run regardless of this owner's next grant.
  uint32_t ReservedBy(const Team& team,
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

  // The grant's lifetime is counted from when the demand was sent. The owner
  // counts from a later time and so never considers a grant expired too early.
  void OnGrant(const LimitGrant& grant, common::TimePoint demand_sent);

  // Number of the team's requests that this host may have running. Without a
  // valid grant, the even share of the last view. UINT32_MAX: no limit is set.
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
