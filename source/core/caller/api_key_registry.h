#ifndef CORE_CALLER_API_KEY_REGISTRY_H_
#define CORE_CALLER_API_KEY_REGISTRY_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/ranked_mutex.h"

namespace jujuberock::caller {

using KeyHash = std::array<uint8_t, 32>;

// Returns the SHA-256 hash of a key.
KeyHash HashKey(std::string_view key);

// Maps bearer keys to teams. Only SHA-256 hashes are kept. Thread-safe.
class ApiKeyRegistry {
 public:
  // Replaces the keys of a team with the hexadecimal SHA-256 digests in
  // `hex_hashes`. Ignores invalid digests and returns their number.
  size_t SetTeam(const std::string& team,
                 const std::vector<std::string>& hex_hashes);
  // Keeps the team's keys, so that requests with them fail with kUnknownTeam
  // instead of kUnauthenticated.
  void RemoveTeam(const std::string& team);

  // Returns the names of all teams that have not been removed. Teams without a
  // valid key are not included.
  std::set<std::string> Teams() const;

  // Returns the team of a key. Throws common::Error kUnauthenticated for an
  // unknown key and kUnknownTeam for a key of a removed team. Compares the
  // key's hash with every entry in constant time, so that timing reveals
  // nothing about the hashes.
  std::string TeamOf(std::string_view key) const;

 private:
  struct Entry {
    KeyHash hash;
    std::string team;
    bool removed = false;
  };

  mutable common::RankedMutex mutex{common::LockRank::kPeers};
  std::vector<Entry> entries;
};

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_API_KEY_REGISTRY_H_
