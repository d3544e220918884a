#include "core/dispatch/part_cache.h"

#include <algorithm>

namespace jujuberock::dispatch {

std::string PartCache::KeyOf(std::string_view salt, const PromptPart& part) {
  std::string key(salt);
  key += '/';
  key += part.id;
  return key;
}

int64_t PartCache::UncachedTokens(std::string_view salt,
                                  const Prompt& prompt) const {
  int64_t cached = 0;
  for (const PromptPart& part : prompt.parts) {
    if (!this->entries.contains(KeyOf(salt, part)))
      break;
    cached += part.tokens;
  }
  return std::max<int64_t>(0, prompt.prompt_tokens - cached);
}

void PartCache::Insert(std::string_view salt, const Prompt& prompt) {
  // The last part is touched first, because engines evict the ends of prompts
  // before the prefixes that other prompts share.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
    this->Touch(KeyOf(salt, *part), part->tokens);
  while (this->used_tokens > this->capacity_tokens && !this->lru.empty()) {
    this->used_tokens -= this->lru.back().tokens;
    this->entries.erase(this->lru.back().key);
    this->lru.pop_back();
  }
}

void PartCache::Touch(const std::string& key, int64_t tokens) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    this->lru.splice(this->lru.begin(), this->lru, found->second);
    return;
  }
  this->lru.push_front({key, tokens});
  this->entries.emplace(key, this->lru.begin());
  this->used_tokens += tokens;
}

void PartCache::Clear() {
  this->lru.clear();
  this->entries.clear();
  this->used_tokens = 0;
}

}  // namespace jujuberock::dispatch
