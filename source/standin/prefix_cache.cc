#include "standin/prefix_cache.h"

#include <utility>

namespace jujuberock::standin {

const CachedBlock* PrefixCache::Touch(const std::string& key) {
  const auto found = this->blocks.find(key);
  if (found == this->blocks.end())
    return nullptr;
  this->lru_order.splice(this->lru_order.begin(), this->lru_order,
                         found->second.lru_position);
  return &found->second.block;
}

const CachedBlock* PrefixCache::Find(const std::string& key) const {
  const auto found = this->blocks.find(key);
  return found == this->blocks.end() ? nullptr : &found->second.block;
}

void PrefixCache::Put(const std::string& key,
                      CachedBlock block,
                      common::TimePoint now) {
  const auto found = this->blocks.find(key);
  if (found != this->blocks.end()) {
    found->second.block = std::move(block);
    this->Touch(key);
    return;
  }
  if (this->capacity == 0)
    return;
  if (this->blocks.size() >= this->capacity)
    this->EvictLeastRecentlyUsed(now);
  this->lru_order.push_front(key);
  this->blocks[key] = {std::move(block), this->lru_order.begin()};
  this->AddEvent(true, key, now);
}

void PrefixCache::Clear(common::TimePoint now) {
  while (!this->lru_order.empty())
    this->EvictLeastRecentlyUsed(now);
}

void PrefixCache::EvictLeastRecentlyUsed(common::TimePoint now) {
  const std::string key = std::move(this->lru_order.back());
  this->lru_order.pop_back();
  this->blocks.erase(key);
  ++this->eviction_count;
  this->AddEvent(false, key, now);
}

void PrefixCache::AddEvent(bool added,
                           const std::string& key,
                           common::TimePoint now) {
  this->event_log.push_back({this->next_sequence++, added, key, now});
  if (this->event_log.size() > this->events_kept)
    this->event_log.pop_front();
}

std::vector<CacheEvent> PrefixCache::EventsSince(
    uint64_t since,
    common::TimePoint until) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : this->event_log) {
    if (event.at > until)
      break;
    if (event.sequence >= since)
      events.push_back(event);
  }
  return events;
}

}  // namespace jujuberock::standin
