#ifndef CORE_CATALOG_URGENCY_LEVELS_H_
#define CORE_CATALOG_URGENCY_LEVELS_H_

#include <set>
#include <utility>

#include "core/catalog/types.h"

namespace jujuberock::catalog {

// Number of urgency levels of requests; 0 is the most urgent.
inline constexpr int kUrgencyLevels = 10;

// The urgency of the requests of a configuration, by which requests wait on
// hosts and are admitted and preempted by engines. A team's priority comes
// before that of the route. Requests with the same one are ordered by the
// priorities of their routes, so that a team's less urgent requests do not push
// out its more urgent ones.
class UrgencyLevels {
 public:
  explicit UrgencyLevels(const Config& config);

  // `team` is null for requests without a key.
  int LevelOf(const Route& route, const Team* team) const;

 private:
  // The priority that counts, then that of the route.
  using Rank = std::pair<int64_t, int64_t>;

  static Rank RankOf(const Route& route, const Team* team);

  // All ranks of the configuration in order; empty if no team has a priority,
  // so that the priorities of the routes are the levels.
  std::set<Rank> ranks;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_URGENCY_LEVELS_H_
