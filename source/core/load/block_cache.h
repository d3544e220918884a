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

// The bounded block cache of a simulated engine or store, with a log of added
// and removed blocks. Evicts the least recently used block; later blocks of a
// prompt go before earlier ones.
class BlockCache {
 public:
  struct EventRange {
    uint64_t first_sequence = 0;
    std::vector<routing::CacheEvent> events;
  };

  // The log keeps `log_size` events; slow readers miss older ones.
  BlockCache(size_t capacity, size_t log_size);

  bool Contains(const routing::BlockKey& key) const {
    return this->positions.contains(key);
  }
  uint32_t LeadingBlocks(std::span<const routing::BlockKey> keys) const;
  // Adds all blocks of a prompt, or marks them as used.
  void Insert(std::span<const routing::BlockKey> keys, common::TimePoint now);
  void Clear();
  // While stopped, changes get sequence numbers but are not logged.
  void SetEventsStopped(bool stopped) { this->events_stopped = stopped; }

  // Returns events from sequence number `since` on that happened up to `until`.
  EventRange EventsSince(uint64_t since, common::TimePoint until) const;

  size_t size() const { return this->positions.size(); }
  size_t capacity() const { return this->max_blocks; }

 private:
  struct LogEntry {
    uint64_t sequence = 0;
    common::TimePoint at;
    routing::CacheEvent event;
  };

  void Append(routing::CacheEvent::Op op,
              const routing::BlockKey& key,
              common::TimePoint now);

  size_t max_blocks;
  size_t log_size;
  bool events_stopped = false;
  uint64_t next_sequence = 0;
  // Most recently used first.
  std::list<routing::BlockKey> order;
  std::unordered_map<routing::BlockKey,
                     std::list<routing::BlockKey>::iterator,
                     routing::BlockKeyHash>
      positions;
  std::deque<LogEntry> log;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_BLOCK_CACHE_H_
