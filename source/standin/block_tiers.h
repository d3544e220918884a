#ifndef STANDIN_BLOCK_TIERS_H_
#define STANDIN_BLOCK_TIERS_H_

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::standin {

struct SealedBlock {
  std::string team;
  std::string version;
  std::string checksum;
  std::string body;
  // Unique among all blocks that this store has ever sealed.
  uint64_t generation = 0;
};

struct TierEvent {
  uint64_t sequence = 0;
  bool added = false;
  std::string key;
};

struct TierOptions {
  uint64_t memory_bytes = 64 * 1024 * 1024;
  uint64_t disk_bytes = 256 * 1024 * 1024;
  // Simulated bytes per byte of a block body, so that tests can use realistic
  // block sizes and link rates without moving that much data.
  uint64_t bytes_per_body_byte = 1;
};

// Stores sealed blocks in a memory tier and a disk tier. The least recently
// used blocks in memory are demoted to disk; those on disk are evicted.
class BlockTiers {
 public:
  explicit BlockTiers(TierOptions options) : options(options) {}

  struct ReadResult {
    std::shared_ptr<const SealedBlock> block;
    bool from_disk = false;
  };

  // Stores the block under a new generation and removes the previous block of
  // this key. Returns false if the block does not fit into the memory tier.
  bool Seal(const std::string& key, SealedBlock block);

  // Returns the block and promotes it to the memory tier. The pointer is null
  // if the key is absent.
  ReadResult Read(const std::string& key);

  // Returns the generation of the current block, or zero if the key is absent.
  // Neither promotes the block nor counts as a use.
  uint64_t GenerationOf(const std::string& key) const;

  bool Evict(const std::string& key);

  // Flips one bit of the stored body without updating the checksum.
  bool Corrupt(const std::string& key);

  // Reduces the capacity of each tier by this much, to simulate a store that
  // fills up.
  void SetOccupiedBytes(uint64_t bytes);

  uint64_t capacity_bytes() const {
    return this->options.memory_bytes + this->options.disk_bytes;
  }
  uint64_t used_bytes() const;
  std::vector<std::string> Keys() const;
  const std::list<TierEvent>& events() const { return this->event_log; }
  // Sequence numbers of the oldest retained event and of the next event.
  uint64_t first_event_sequence() const {
    return this->next_sequence - this->event_log.size();
  }
  uint64_t next_event_sequence() const { return this->next_sequence; }

 private:
  struct Entry {
    std::shared_ptr<const SealedBlock> block;
    bool on_disk = false;
    uint64_t last_access = 0;
  };
  using Entries = std::map<std::string, Entry>;

  uint64_t SizeOf(const SealedBlock& block) const {
    return block.body.size() * this->options.bytes_per_body_byte;
  }
  uint64_t TierCapacity(bool on_disk) const;
  Entries::iterator LeastRecentlyUsed(bool on_disk);
  void Erase(Entries::iterator entry);
  void EnforceCapacity();
  void AddEvent(bool added, const std::string& key);

  TierOptions options;
  Entries entries;
  uint64_t used[2] = {0, 0};  // memory, disk
  uint64_t occupied_bytes = 0;
  uint64_t access_count = 0;
  uint64_t last_generation = 0;
  uint64_t next_sequence = 0;
  std::list<TierEvent> event_log;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_BLOCK_TIERS_H_
