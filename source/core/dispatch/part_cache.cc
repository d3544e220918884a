#include "core/dispatch/part_cache.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::dispatch {

std::vector<CachedPart> CachedPartsOf(std::string_view salt,
                                      const Prompt& prompt) {
  const uint64_t seed = common::Hash64(salt);
  std::vector<CachedPart> parts;
  for (const PromptPart& part : prompt.parts)
    parts.push_back({common::Hash64(part.id, seed), part.tokens});
  return parts;
}

int64_t PartCache::CachedTokens(const std::vector<CachedPart>& parts) const {
  int64_t cached = 0;
  for (const CachedPart& part : parts) {
    if (!this->entries.contains(part.key))
      break;
    cached += part.tokens;
  }
  return cached;
}

void PartCache::Insert(const std::vector<CachedPart>& parts) {
  // The last part is touched first, because engines evict the ends of prompts
  // before the prefixes that other prompts share.
  for (auto part = parts.rbegin(); part != parts.rend(); ++part)
    this->Touch(*part);
  while (this->used_tokens > this->capacity_tokens && !this->lru.empty()) {
    this->used_tokens -= this->lru.back().tokens;
    this->entries.erase(this->lru.back().key);
    this->lru.pop_back();
  }
}

void PartCache::Touch(const CachedPart& part) {
  const auto found = this->entries.find(part.key);
  if (found != this->entries.end()) {
    this->lru.splice(this->lru.begin(), this->lru, found->second);
    return;
  }
  this->lru.push_front(part);
  this->entries.emplace(part.key, this->lru.begin());
  this->used_tokens += part.tokens;
}

void PartCache::Clear() {
  this->lru.clear();
  this->entries.clear();
  this->used_tokens = 0;
}

}  // namespace jujuberock::dispatch
