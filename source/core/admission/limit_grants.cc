#include "core/admission/limit_grants.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::admission {

namespace {

uint64_t RankOf(std::string_view team, std::string_view host) {
  return common::Hash64(host, common::Hash64(team));
}

template <typename Map>
auto& FindOrAdd(Map& map, std::string_view name) {
  auto found = map.find(name);
  if (found == map.end())
    found = map.try_emplace(std::string(name)).first;
  return found->second;
}

}  // namespace

uint32_t EvenShare(std::string_view team,
                   uint32_t limit,
                   const std::vector<std::string>& hosts,
                   std::string_view self) {
  const auto count = static_cast<uint32_t>(std::max<size_t>(1, hosts.size()));
  const uint64_t own_rank = RankOf(team, self);
  uint32_t higher_ranked = 0;
  for (const std::string& host : hosts) {
    if (host != self && RankOf(team, host) > own_rank)
      ++higher_ranked;
  }
  // The remainder goes to the hosts with the highest ranks.
  return limit / count + (higher_ranked < limit % count ? 1 : 0);
}

std::string LimitOwnerOf(std::string_view team,
                         const std::vector<std::string>& hosts) {
  std::string owner;
  uint64_t best = 0;
  for (const std::string& host : hosts) {
    const uint64_t rank = RankOf(team, host);
    if (owner.empty() || rank > best) {
      owner = host;
      best = rank;
    }
  }
  return owner;
}

uint32_t LimitOvershootBound(uint32_t limit,
                             uint32_t hosts,
                             uint32_t smallest_view,
                             uint32_t partitions) {
  const uint32_t view = std::max(1u, smallest_view);
  const uint32_t even = (limit + view - 1) / view;
  return (std::max(1u, hosts) - 1) * even +
         limit * (std::max(1u, partitions) - 1);
}

LimitOwner::LimitOwner(common::Duration lifetime) : lifetime(lifetime) {}

void LimitOwner::SetLimit(std::string_view team, uint32_t limit) {
  FindOrAdd(this->teams, team).limit = limit;
}

void LimitOwner::SetHosts(std::vector<std::string> names) {
  this->hosts = std::move(names);
}

LimitGrant LimitOwner::OnDemand(const LimitDemand& demand,
                                common::TimePoint now) {
  Team& team = FindOrAdd(this->teams, demand.team);
  // If there were no demands for a grant's lifetime, another host may have been
  // the owner, and its grants may still be valid.
  if (!team.owned || now - team.last_demand > this->lifetime) {
    team.owned = true;
    team.owned_since = now;
    team.hosts.clear();
  }
  team.last_demand = now;
  HostState& host = FindOrAdd(team.hosts, demand.host);
  host.running = demand.running;
  host.wanted = demand.running + demand.queued;
  host.last_demand_at = now;
  LimitGrant grant{demand.team, 0, this->lifetime, false};
  if (now - team.owned_since <= this->lifetime) {
    grant.pending = true;
    return grant;
  }
  if (team.limit == UINT32_MAX) {
    grant.share = UINT32_MAX;
    return grant;
  }
  uint64_t reserved = 0;
  for (const auto& [name, state] : team.hosts) {
    if (name != demand.host)
      reserved += this->ReservedBy(team, demand.team, name, now);
  }
  for (const std::string& name : this->hosts) {
    if (name != demand.host && !team.hosts.contains(name))
      reserved += EvenShare(demand.team, team.limit, this->hosts, name);
  }
  const uint64_t free = reserved < team.limit ? team.limit - reserved : 0;
  const uint32_t target = this->FairTarget(team, demand.host);
  grant.share = static_cast<uint32_t>(std::min<uint64_t>(target, free));
  host.granted = grant.share;
  host.granted_until = now + this->lifetime;
  return grant;
}

uint32_t LimitOwner::ReservedBy(const Team& team,
                                std::string_view team_name,
                                const std::string& host,
                                common::TimePoint now) const {
  const HostState& state = team.hosts.find(host)->second;
  const bool in_view = std::find(this->hosts.begin(), this->hosts.end(),
                                 host) != this->hosts.end();
  if (state.granted_until >= now)
    return std::max(state.granted, state.running);
  // A live host without a grant uses its even share; a dead one uses nothing.
  if (!in_view)
    return 0;
  return std::max(EvenShare(team_name, team.limit, this->hosts, host),
                  state.running);
}

uint32_t LimitOwner::FairTarget(const Team& team,
                                const std::string& host) const {
  // Max-min fairness: every host gets what it wants up to a common level. Any
  // remainder is spread evenly, so that new requests can start without a new
  // grant.
  std::vector<uint32_t> wanted;
  for (const auto& [name, state] : team.hosts)
    wanted.push_back(state.wanted);
  std::sort(wanted.begin(), wanted.end());
  uint64_t remaining = team.limit;
  uint64_t level = 0;
  for (size_t i = 0; i < wanted.size(); ++i) {
    const uint64_t count = wanted.size() - i;
    level = remaining / count;
    if (wanted[i] > level)
      return static_cast<uint32_t>(
          std::min<uint64_t>(team.hosts.find(host)->second.wanted, level));
    remaining -= wanted[i];
  }
  const uint64_t spare = remaining / wanted.size();
  return static_cast<uint32_t>(std::min<uint64_t>(
      team.limit, team.hosts.find(host)->second.wanted + spare));
}

LimitShare::LimitShare(std::string self) : self(std::move(self)) {}

void LimitShare::SetLimit(std::string_view team, uint32_t limit) {
  FindOrAdd(this->teams, team).limit = limit;
}

void LimitShare::SetHosts(std::vector<std::string> names) {
  this->hosts = std::move(names);
}

void LimitShare::OnGrant(const LimitGrant& grant,
                         common::TimePoint demand_sent) {
  Team& team = FindOrAdd(this->teams, grant.team);
  const common::TimePoint until = demand_sent + grant.lifetime;
  // Replies may arrive out of order.
  if (grant.pending || until < team.granted_until)
    return;
  team.share = grant.share;
  team.granted_until = until;
}

uint32_t LimitShare::ShareOf(std::string_view name,
                             common::TimePoint now) const {
  auto found = this->teams.find(name);
  if (found == this->teams.end() || found->second.limit == UINT32_MAX)
    return UINT32_MAX;
  const Team& team = found->second;
  if (now < team.granted_until)
    return std::min(team.share, team.limit);
  return EvenShare(name, team.limit, this->hosts, this->self);
}

}  // namespace jujuberock::admission
