#include "core/catalog/urgency_levels.h"

#include <algorithm>
#include <iterator>

namespace jujuberock::catalog {

UrgencyLevels::Rank UrgencyLevels::RankOf(const Route& route,
                                          const Team* team) {
  const int64_t priority =
      team && team->priority ? *team->priority : route.priority;
  return {priority, route.priority};
}

UrgencyLevels::UrgencyLevels(const Config& config) {
  const bool has_priorities =
      std::any_of(config.teams.begin(), config.teams.end(),
                  [](const Team& team) { return team.priority.has_value(); });
  if (!has_priorities)
    return;
  for (const Route& route : config.routes) {
    this->ranks.insert(RankOf(route, nullptr));
    for (const Team& team : config.teams)
      this->ranks.insert(RankOf(route, &team));
  }
}

int UrgencyLevels::LevelOf(const Route& route, const Team* team) const {
  const Rank rank = RankOf(route, team);
  if (this->ranks.empty())
    return static_cast<int>(
        std::clamp<int64_t>(rank.first, 0, kUrgencyLevels - 1));
  const auto before =
      std::distance(this->ranks.begin(), this->ranks.lower_bound(rank));
  const auto count = static_cast<ptrdiff_t>(this->ranks.size());
  // More ranks than levels share them evenly.
  const ptrdiff_t level =
      count <= kUrgencyLevels ? before : before * kUrgencyLevels / count;
  return static_cast<int>(std::min<ptrdiff_t>(level, kUrgencyLevels - 1));
}

}  // namespace jujuberock::catalog
