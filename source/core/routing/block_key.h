#ifndef CORE_ROUTING_BLOCK_KEY_H_
#define CORE_ROUTING_BLOCK_KEY_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::routing {

// Tokens and bytes of prompt text in one cache block.
inline constexpr size_t kBlockTokens = 2000;
inline constexpr size_t kBytesPerToken = 4;
inline constexpr size_t kBlockBytes = kBlockTokens * kBytesPerToken;

// Identifies a block and everything before it. 128 bits of XXH3, which is not
// collision-resistant against an adversary: engines and stores check the team
// and version of a block again when it is used.
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

// 32 lower-case hexadecimal digits, the form used between processes.
std::string ToHex(const BlockKey& key);
// Nothing when the text is not 32 lower-case hexadecimal digits.
std::optional<BlockKey> ParseBlockKey(std::string_view hex);

// What separates otherwise equal prompts from each other.
struct PromptScope {
  std::string_view team;
  std::string_view model;
  std::string_view adapter;
  std::string_view version;
};

// Keys of the whole blocks of a prompt, in order. The last, partial block has
// no key. Each key covers the scope and all text up to the block's end.
std::vector<BlockKey> ChainedBlockKeys(const PromptScope& scope,
                                       std::string_view prompt);

// Tokens of a prompt of this many bytes, rounded up.
constexpr uint64_t TokensOf(size_t bytes) {
  return (bytes + kBytesPerToken - 1) / kBytesPerToken;
}

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_BLOCK_KEY_H_
