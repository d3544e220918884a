#include "core/load/block_cache.h"

#include <algorithm>

namespace jujuberock::load {

using routing::BlockKey;
using routing::CacheEvent;

BlockCache::BlockCache(size_t capacity, size_t log_size)
    : max_blocks(capacity), log_size(log_size) {}

uint32_t BlockCache::LeadingBlocks(std::span<const BlockKey> keys) const {
  uint32_t count = 0;
  while (count < keys.size() && this->Contains(keys[count]))
    ++count;
  return count;
}

void BlockCache::Insert(std::span<const BlockKey> keys, common::TimePoint now) {
  // From last to first, so that the first block becomes the most recently used.
  for (size_t i = keys.size(); i-- > 0;) {
    auto found = this->positions.find(keys[i]);
    if (found != this->positions.end()) {
      this->order.splice(this->order.begin(), this->order, found->second);
      continue;
    }
    this->order.push_front(keys[i]);
    this->positions[keys[i]] = this->order.begin();
    this->Append(CacheEvent::Op::kAdd, keys[i], now);
  }
  while (this->positions.size() > this->max_blocks) {
    const BlockKey victim = this->order.back();
    this->order.pop_back();
    this->positions.erase(victim);
    this->Append(CacheEvent::Op::kRemove, victim, now);
  }
}

void BlockCache::Clear() {
  this->order.clear();
  this->positions.clear();
  this->log.clear();
  this->next_sequence = 0;
}

BlockCache::EventRange BlockCache::EventsSince(uint64_t since,
                                               common::TimePoint until) const {
  EventRange result;
  result.first_sequence = since;
  bool started = false;
  auto at = std::lower_bound(
      this->log.begin(), this->log.end(), since,
      [](const LogEntry& l, uint64_t s) { return l.sequence < s; });
  for (; at != this->log.end() && at->at <= until; ++at) {
    if (!started)
      result.first_sequence = at->sequence;
    // A second gap inside the log ends the result; the reader asks again.
    if (started && at->sequence != result.first_sequence + result.events.size())
      break;
    started = true;
    result.events.push_back(at->event);
  }
  return result;
}

void BlockCache::Append(CacheEvent::Op op,
                        const BlockKey& key,
                        common::TimePoint now) {
  const uint64_t sequence = this->next_sequence++;
  if (this->events_stopped)
    return;
  this->log.push_back({sequence, now, {op, key}});
  if (this->log.size() > this->log_size)
    this->log.pop_front();
}

}  // namespace jujuberock::load
