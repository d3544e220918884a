#include "core/dispatch/host_ranking.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::dispatch {

void HostRanking::SetHosts(const std::set<std::string>& known,
                           std::string_view own) {
  if (this->hosts == known && this->own_name == own)
    return;
  this->hosts = known;
  this->own_name = own;
  this->ranks.clear();
}

std::optional<size_t> HostRanking::RankFor(std::string_view key) const {
  if (!this->hosts.contains(this->own_name))
    return std::nullopt;
  const auto known = this->ranks.find(key);
  if (known != this->ranks.end())
    return known->second;
  const uint64_t seed = common::Hash64(key);
  const uint64_t own = common::Hash64(this->own_name, seed);
  const auto rank = static_cast<size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [&](const std::string& host) {
        return common::Hash64(host, seed) > own;
      }));
  if (this->ranks.size() >= kMaxRanks)
    this->ranks.clear();
  this->ranks.emplace(key, rank);
  return rank;
}

}  // namespace jujuberock::dispatch
