#ifndef CORE_DISPATCH_PART_CACHE_H_
#define CORE_DISPATCH_PART_CACHE_H_

#include <cstdint>
#include <list>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/dispatch/prompt.h"

namespace jujuberock::dispatch {

// Model of the prompt parts that one engine has cached, least recently used
// first out. It holds what this host sent there; other hosts send more, so the
// capacity given should be this host's share. Not thread-safe.
class PartCache {
 public:
  explicit PartCache(int64_t capacity_tokens)
      : capacity_tokens(capacity_tokens) {}

  // Tokens of the prompt that the engine must read. Parts count as cached only
  // when all parts before them are.
  int64_t UncachedTokens(std::string_view salt, const Prompt& prompt) const;
  // The engine has read the prompt.
  void Insert(std::string_view salt, const Prompt& prompt);
  void Clear();

 private:
  struct Entry {
    std::string key;
    int64_t tokens = 0;
  };
  using Order = std::list<Entry>;

  static std::string KeyOf(std::string_view salt, const PromptPart& part);
  void Touch(const std::string& key, int64_t tokens);

  int64_t capacity_tokens;
  int64_t used_tokens = 0;
  // Most recently used first.
  Order order;
  std::unordered_map<std::string, Order::iterator> entries;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_PART_CACHE_H_
