#ifndef CORE_CALLER_KEY_DIRECTORY_H_
#define CORE_CALLER_KEY_DIRECTORY_H_

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

KeyHash HashKey(std::string_view key);

// Maps bearer keys to teams. Only SHA-256 hashes are kept. Thread-safe.
class KeyDirectory {
 public:
  // Replaces the keys of a team; `hex_hashes` are SHA-256 digests in hex.
  // Entries that are not valid digests match no key. Returns their number.
  size_t SetTeam(const std::string& team,
                 const std::vector<std::string>& hex_hashes);
  // The team's keys stay known, so that they get kUnknownTeam.
  void RemoveTeam(const std::string& team);

  // Names of the teams that were set and not removed.
  std::set<std::string> Teams() const;

  // The team of a key. Throws common::Error kUnauthenticated for an unknown
  // key and kUnknownTeam for one of a team that was removed. Compares with
  // every hash in constant time, so timing tells nothing about any of them.
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

#endif  // CORE_CALLER_KEY_DIRECTORY_H_
