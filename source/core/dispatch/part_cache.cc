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
  // The last part is touched first: an engine drops the ends of prompts before
  // the beginnings that other prompts share.
  for (auto part = prompt.parts.rbegin(); part != prompt.parts.rend(); ++part)
    this->Touch(KeyOf(salt, *part), part->tokens);
  while (this->used_tokens > this->capacity_tokens && !this->order.empty()) {
    this->used_tokens -= this->order.back().tokens;
    this->entries.erase(this->order.back().key);
    this->order.pop_back();
  }
}

void PartCache::Touch(const std::string& key, int64_t tokens) {
  const auto found = this->entries.find(key);
  if (found != this->entries.end()) {
    this->order.splice(this->order.begin(), this->order, found->second);
    return;
  }
  this->order.push_front({key, tokens});
  this->entries.emplace(key, this->order.begin());
  this->used_tokens += tokens;
}

void PartCache::Clear() {
  this->order.clear();
  this->entries.clear();
  this->used_tokens = 0;
}

}  // namespace jujuberock::dispatch
