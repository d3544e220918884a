#ifndef CORE_LOAD_BLOCK_CACHE_H_
#define CORE_LOAD_BLOCK_CACHE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <list>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/common/time.h"
#include "core/routing/types.h"

namespace jujuberock::load {

// The bounded block cache of a modelled engine or store, with a log of what was
// added and removed. Evicts the least recently used block; of one prompt, later
// blocks before earlier ones.
class BlockCache {
 public:
  struct Log {
    uint64_t first = 0;
    std::vector<routing::CacheEvent> events;
  };

  // The log keeps this many events; older ones are lost to slow readers.
  BlockCache(size_t capacity, size_t log_size);

  bool Contains(const routing::BlockKey& key) const {
    return this->positions.contains(key);
  }
  uint32_t LeadingBlocks(std::span<const routing::BlockKey> keys) const;
  // Adds or refreshes all blocks of a prompt.
  void Insert(std::span<const routing::BlockKey> keys, common::TimePoint now);
  void Clear();
  // While stopped, changes are not logged but still numbered.
  void StopEvents(bool stopped) { this->stopped = stopped; }

  // Events from `since` that happened up to `until`.
  Log EventsSince(uint64_t since, common::TimePoint until) const;

  size_t size() const { return this->positions.size(); }
  size_t capacity() const { return this->max_blocks; }

 private:
  struct Logged {
    uint64_t sequence = 0;
    common::TimePoint at;
    routing::CacheEvent event;
  };

  void Append(routing::CacheEvent::Op op,
              const routing::BlockKey& key,
              common::TimePoint now);

  size_t max_blocks;
  size_t log_size;
  bool stopped = false;
  uint64_t next_sequence = 0;
  // Most recently used first.
  std::list<routing::BlockKey> order;
  std::unordered_map<routing::BlockKey,
                     std::list<routing::BlockKey>::iterator,
                     routing::BlockKeyHash>
      positions;
  std::deque<Logged> log;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_BLOCK_CACHE_H_
