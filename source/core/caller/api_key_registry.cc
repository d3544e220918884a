#include "core/caller/api_key_registry.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "core/common/error.h"

namespace jujuberock::caller {

using common::Error;
using common::RankedLock;
using common::ResultCode;

namespace {

std::optional<uint8_t> ParseHexDigit(char c) {
  if (c >= '0' && c <= '9')
    return static_cast<uint8_t>(c - '0');
  if (c >= 'a' && c <= 'f')
    return static_cast<uint8_t>(c - 'a' + 10);
  if (c >= 'A' && c <= 'F')
    return static_cast<uint8_t>(c - 'A' + 10);
  return std::nullopt;
}

std::optional<KeyHash> ParseHash(std::string_view hex) {
  KeyHash hash;
  if (hex.size() != 2 * hash.size())
    return std::nullopt;
  for (size_t i = 0; i < hash.size(); ++i) {
    const auto high = ParseHexDigit(hex[2 * i]);
    const auto low = ParseHexDigit(hex[2 * i + 1]);
    if (!high || !low)
      return std::nullopt;
    hash[i] = static_cast<uint8_t>(*high << 4 | *low);
  }
  return hash;
}

}  // namespace

KeyHash HashKey(std::string_view key) {
  KeyHash hash;
  SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         hash.data());
  return hash;
}

size_t ApiKeyRegistry::SetTeam(const std::string& team,
                               const std::vector<std::string>& hex_hashes) {
  std::vector<Entry> added;
  size_t invalid = 0;
  for (const std::string& hex : hex_hashes) {
    if (const auto hash = ParseHash(hex))
      added.push_back({*hash, team});
    else
      ++invalid;
  }
  RankedLock lock(this->mutex);
  std::erase_if(this->entries,
                [&team](const Entry& entry) { return entry.team == team; });
  this->entries.insert(this->entries.end(), added.begin(), added.end());
  return invalid;
}

void ApiKeyRegistry::RemoveTeam(const std::string& team) {
  RankedLock lock(this->mutex);
  for (Entry& entry : this->entries) {
    if (entry.team == team)
      entry.removed = true;
  }
}

std::set<std::string> ApiKeyRegistry::Teams() const {
  RankedLock lock(this->mutex);
  std::set<std::string> teams;
  for (const Entry& entry : this->entries) {
    if (!entry.removed)
      teams.insert(entry.team);
  }
  return teams;
}

std::string ApiKeyRegistry::TeamOf(std::string_view key) const {
  const KeyHash hash = HashKey(key);
  const Entry* match = nullptr;
  RankedLock lock(this->mutex);
  for (const Entry& entry : this->entries) {
    if (CRYPTO_memcmp(entry.hash.data(), hash.data(), hash.size()) == 0)
      match = &entry;
  }
  if (!match)
    throw Error(ResultCode::kUnauthenticated, "the bearer key is unknown");
  if (match->removed)
    throw Error(ResultCode::kUnknownTeam, "the key's team was removed");
  return match->team;
}

}  // namespace jujuberock::caller
