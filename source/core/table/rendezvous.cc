#include "core/table/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::table {

std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& names,
                                         size_t count) {
  const uint64_t seed = common::Hash64(key);
  std::vector<std::pair<uint64_t, std::string>> weighted;
  weighted.reserve(names.size());
  for (const std::string& name : names)
    weighted.emplace_back(common::Hash64(name, seed), name);
  const size_t kept = std::min(count, weighted.size());
  std::partial_sort(weighted.begin(), weighted.begin() + kept, weighted.end(),
                    std::greater<>());
  std::vector<std::string> top;
  for (size_t i = 0; i < kept; ++i)
    top.push_back(std::move(weighted[i].second));
  return top;
}

}  // namespace jujuberock::table
