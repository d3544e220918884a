#ifndef CORE_ROUTING_BLOCK_KEY_H_
#define CORE_ROUTING_BLOCK_KEY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::routing {

// Tokens per cache block, bytes of prompt text per token, and bytes per block.
inline constexpr size_t kBlockTokens = 2000;
inline constexpr size_t kBytesPerToken = 4;
inline constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;

// Identifies a block together with the whole prefix before it. 128-bit XXH3,
// which is not collision-resistant against an adversary: engines and stores
// check the team and version of a block again when it is used.
struct BlockKey {
  uint64_t high = 0;
  uint64_t low = 0;

  friend bool operator==(const BlockKey&, const BlockKey&) = default;
  friend auto operator<=>(const BlockKey&, const BlockKey&) = default;
};

struct BlockKeyHash {
  size_t operator()(const BlockKey& key) const {
    return static_cast<size_t>(key.low);
  }
};

// Formats a key as 32 lower-case hexadecimal digits, the form used between
// processes.
std::string ToHex(const BlockKey& key);
// Returns nullopt unless the text is 32 lower-case hexadecimal digits.
std::optional<BlockKey> ParseBlockKey(std::string_view hex);

// Prompts with equal text share cache blocks only if their scopes are equal.
struct PromptScope {
  std::string_view team;
  std::string_view model;
  std::string_view adapter;
  std::string_view version;
};

// Returns the keys of the full blocks of a prompt, in order. A partial last
// block has no key. Each key covers the scope and all text up to the block's
// end.
std::vector<BlockKey> ChainedBlockKeys(const PromptScope& scope,
                                       std::string_view prompt);

// Returns the number of tokens in a prompt of this many bytes, rounded up.
constexpr uint64_t TokensOf(size_t bytes) {
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_BLOCK_KEY_H_
