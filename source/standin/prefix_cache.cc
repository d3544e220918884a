#include "standin/prefix_cache.h"

#include <utility>

namespace jujuberock::standin {

const CachedBlock* PrefixCache::Use(const std::string& key) {
  const auto found = this->blocks.find(key);
  if (found == this->blocks.end())
    return nullptr;
  this->order.splice(this->order.begin(), this->order, found->second.recency);
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
    this->Use(key);
    return;
  }
  if (this->capacity == 0)
    return;
  if (this->blocks.size() >= this->capacity)
    this->EvictOldest(now);
  this->order.push_front(key);
  this->blocks[key] = {std::move(block), this->order.begin()};
  this->AddEvent(true, key, now);
}

void PrefixCache::Clear(common::TimePoint now) {
  while (!this->order.empty())
    this->EvictOldest(now);
}

void PrefixCache::EvictOldest(common::TimePoint now) {
  const std::string key = std::move(this->order.back());
  this->order.pop_back();
  this->blocks.erase(key);
  ++this->evicted;
  this->AddEvent(false, key, now);
}

void PrefixCache::AddEvent(bool added,
                           const std::string& key,
                           common::TimePoint now) {
  this->log.push_back({this->next_sequence++, added, key, now});
  if (this->log.size() > this->events_kept)
    this->log.pop_front();
}

std::vector<CacheEvent> PrefixCache::EventsSince(
    uint64_t since,
    common::TimePoint until) const {
  std::vector<CacheEvent> events;
  for (const CacheEvent& event : this->log) {
    if (event.at > until)
      break;
    if (event.sequence >= since)
      events.push_back(event);
  }
  return events;
}

}  // namespace jujuberock::standin
