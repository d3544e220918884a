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

// Owner of a block. A block serves only requests with the same tag.
struct BlockTag {
  std::string team;
  std::string version;

  auto operator<=>(const BlockTag&) const = default;
};

struct CachedBlock {
  BlockTag tag;
  // SHA-256 of the block's text. Answers are computed from it, so a block
  // that does not belong to the prompt shows in the answer.
  std::string digest;
};

struct CacheEvent {
  uint64_t sequence = 0;
  bool added = false;
  std::string key;
  common::TimePoint at;
};

// The prefix cache of an engine: a limited number of blocks, least recently
// used out first, with a log of changes.
class PrefixCache {
 public:
  PrefixCache(uint64_t capacity_blocks, uint64_t events_kept)
      : capacity(capacity_blocks), events_kept(events_kept) {}

  // The block, which becomes the most recently used; null when absent.
  const CachedBlock* Use(const std::string& key);
  const CachedBlock* Find(const std::string& key) const;

  void Put(const std::string& key, CachedBlock block, common::TimePoint now);
  void Clear(common::TimePoint now);

  // Forgets every event so far: the next reader sees a gap.
  void DropEvents() { this->log.clear(); }

  // Events from `since` on that happened until `until`.
  std::vector<CacheEvent> EventsSince(uint64_t since,
                                      common::TimePoint until) const;
  // Sequence of the oldest event that is kept.
  uint64_t first_sequence() const {
    return this->next_sequence - this->log.size();
  }

  uint64_t capacity_blocks() const { return this->capacity; }
  uint64_t used_blocks() const { return this->blocks.size(); }
  uint64_t evictions() const { return this->evicted; }

 private:
  struct Entry {
    CachedBlock block;
    std::list<std::string>::iterator recency;
  };

  void EvictOldest(common::TimePoint now);
  void AddEvent(bool added, const std::string& key, common::TimePoint now);

  uint64_t capacity;
  uint64_t events_kept;
  std::map<std::string, Entry> blocks;
  std::list<std::string> order;  // most recent first
  std::deque<CacheEvent> log;
  uint64_t next_sequence = 0;
  uint64_t evicted = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PREFIX_CACHE_H_
