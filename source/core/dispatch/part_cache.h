#ifndef CORE_DISPATCH_PART_CACHE_H_
#define CORE_DISPATCH_PART_CACHE_H_

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/dispatch/prompt.h"

namespace jujuberock::dispatch {

// A prompt part in the model of an engine's cache.
struct CachedPart {
  // Hash of the part's id and of the salt.
  uint64_t key = 0;
  int64_t tokens = 0;

  friend bool operator==(const CachedPart&, const CachedPart&) = default;
};

// Returns the parts of the prompt in order.
std::vector<CachedPart> CachedPartsOf(std::string_view salt,
                                      const Prompt& prompt);

// Model of the prompt parts in the KV cache of one engine, with LRU eviction.
// It contains only what this host sent there. Not thread-safe.
class PartCache {
 public:
  explicit PartCache(int64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  // Tokens of a prompt that the engine has cached. A part counts as cached only
  // if all parts before it are cached.
  int64_t CachedTokens(const std::vector<CachedPart>& parts) const;
  // Adds the parts of a prompt that was sent to the engine.
  void Insert(const std::vector<CachedPart>& parts);
  void Clear();

 private:
  using LruList = std::list<CachedPart>;

  void Touch(const CachedPart& part);

  int64_t capacity_tokens;
  int64_t used_tokens = 0;
  // Ordered from the most to the least recently used.
  LruList lru;
  std::unordered_map<uint64_t, LruList::iterator> entries;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PART_CACHE_H_
