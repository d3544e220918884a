#include "core/routing/block_key.h"

#include <xxhash.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace jujuberock::routing {

namespace {

constexpr size_t kHexDigits = 32;

BlockKey KeyOf(const std::string& bytes) {
  const XXH128_hash_t hash = XXH3_128bits(bytes.data(), bytes.size());
  return {hash.high64, hash.low64};
}

// Each field is prefixed with its length, so that ("ab", "c") and ("a", "bc")
// differ.
void AppendField(std::string& bytes, std::string_view field) {
  const uint64_t size = field.size();
  bytes.append(reinterpret_cast<const char*>(&size), sizeof size);
  bytes.append(field);
}

BlockKey RootOf(const PromptScope& scope) {
  std::string bytes;
  AppendField(bytes, scope.team);
  AppendField(bytes, scope.model);
  AppendField(bytes, scope.adapter);
  AppendField(bytes, scope.version);
  return KeyOf(bytes);
}

bool IsLowerHex(std::string_view text) {
  return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

uint64_t ParseHex(std::string_view digits) {
  uint64_t value = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), value, 16);
  return value;
}

}  // namespace

std::string ToHex(const BlockKey& key) {
  std::array<char, kHexDigits + 1> text;
  std::snprintf(text.data(), text.size(), "%016llx%016llx",
                static_cast<unsigned long long>(key.high),
                static_cast<unsigned long long>(key.low));
  return text.data();
}

std::optional<BlockKey> ParseBlockKey(std::string_view hex) {
  if (hex.size() != kHexDigits || !IsLowerHex(hex))
    return std::nullopt;
  return BlockKey{ParseHex(hex.substr(0, kHexDigits / 2)),
                  ParseHex(hex.substr(kHexDigits / 2))};
}

std::vector<BlockKey> ChainedBlockKeys(const PromptScope& scope,
                                       std::string_view prompt) {
  std::vector<BlockKey> keys;
  keys.reserve(prompt.size() / kBlockBytes);
  BlockKey previous = RootOf(scope);
  std::string bytes;
  bytes.reserve(sizeof previous + kBlockBytes);
  for (size_t end = kBlockBytes; end <= prompt.size(); end += kBlockBytes) {
    bytes.assign(reinterpret_cast<const char*>(&previous), sizeof previous);
    bytes.append(prompt.substr(end - kBlockBytes, kBlockBytes));
    previous = KeyOf(bytes);
    keys.push_back(previous);
  }
  return keys;
}

}  // namespace jujuberock::routing
