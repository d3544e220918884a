#ifndef CORE_DISPATCH_PART_CACHE_H_
#define CORE_DISPATCH_PART_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/dispatch/prompt.h"

namespace jujuberock::dispatch {

// Model of the prompt parts in the KV cache of one engine, with LRU eviction.
// It contains only what this host sent there. Other hosts fill the cache as
// well, so `capacity_tokens` should be this host's share. Not thread-safe.
class PartCache {
 public:
  explicit PartCache(int64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  // Tokens of the prompt that the engine must prefill. A part counts as cached
  // only if all parts before it are cached.
  int64_t UncachedTokens(std::string_view salt, const Prompt& prompt) const;
  // Adds the parts of a prompt that the engine has prefilled.
  void Insert(std::string_view salt, const Prompt& prompt);
  void Clear();

 private:
  struct Entry {
    std::string key;
    int64_t tokens = 0;
  };
  using LruList = std::list<Entry>;

  static std::string KeyOf(std::string_view salt, const PromptPart& part);
  void Touch(const std::string& key, int64_t tokens);

  int64_t capacity_tokens;
  int64_t used_tokens = 0;
  // Ordered from the most to the least recently used.
  LruList lru;
  std::unordered_map<std::string, LruList::iterator> entries;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PART_CACHE_H_
