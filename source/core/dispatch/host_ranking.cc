#include "core/dispatch/host_ranking.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::dispatch {

std::optional<size_t> HostRanking::RankFor(std::string_view key) const {
  if (!this->hosts.contains(this->own_name))
    return std::nullopt;
  const uint64_t seed = common::Hash64(key);
  const uint64_t own = common::Hash64(this->own_name, seed);
  return static_cast<size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [&](const std::string& host) {
        return common::Hash64(host, seed) > own;
      }));
}

}  // namespace jujuberock::dispatch
