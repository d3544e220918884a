#ifndef STANDIN_PREFIX_CACHE_H_
#define STANDIN_PREFIX_CACHE_H_

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::standin {

// Team and weight version of a block. Only requests with the same tag may use
// it.
struct BlockTag {
  std::string team;
  std::string version;

  auto operator<=>(const BlockTag&) const = default;
};

struct CachedBlock {
  BlockTag tag;
  // SHA-256 of the block's prompt text. Completions are derived from it, so
  // reuse of a block of another prompt changes the completion.
  std::string digest;
};

struct CacheEvent {
  uint64_t sequence = 0;
  bool added = false;
  std::string key;
  common::TimePoint at;
};

// The prefix cache of an engine: an LRU cache with a fixed number of blocks and
// a log of insertions and evictions.
class PrefixCache {
 public:
  PrefixCache(uint64_t capacity_blocks, uint64_t events_kept)
      : capacity(capacity_blocks), events_kept(events_kept) {}

  // Returns the block and marks it as most recently used; null if absent.
  const CachedBlock* Touch(const std::string& key);
  // Like Touch(), without changing the LRU order.
  const CachedBlock* Find(const std::string& key) const;

  void Put(const std::string& key, CachedBlock block, common::TimePoint now);
  void Clear(common::TimePoint now);

  // Fault injection: discards all logged events, so that the next reader sees a
  // gap.
  void DropEvents() { this->event_log.clear(); }

  // Returns the events from sequence `since` on that are not newer than
  // `until`.
  std::vector<CacheEvent> EventsSince(uint64_t since,
                                      common::TimePoint until) const;
  // Sequence number of the oldest retained event.
  uint64_t first_event_sequence() const {
    return this->next_sequence - this->event_log.size();
  }

  uint64_t capacity_blocks() const { return this->capacity; }
  uint64_t used_blocks() const { return this->blocks.size(); }
  uint64_t evictions() const { return this->eviction_count; }

 private:
  struct Entry {
    CachedBlock block;
    std::list<std::string>::iterator lru_position;
  };

  void EvictLeastRecentlyUsed(common::TimePoint now);
  void AddEvent(bool added, const std::string& key, common::TimePoint now);

  uint64_t capacity;
  uint64_t events_kept;
  std::map<std::string, Entry> blocks;
  std::list<std::string> lru_order;  // most recently used first
  std::deque<CacheEvent> event_log;
  uint64_t next_sequence = 0;
  uint64_t eviction_count = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PREFIX_CACHE_H_
