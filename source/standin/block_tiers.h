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
  // Differs between any two blocks that were ever sealed in this store.
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
  // Bytes that each byte of a body stands for, so that tests can use blocks
  // and links of real size without moving that much data.
  uint64_t bytes_per_body_byte = 1;
};

// Sealed blocks in a memory tier over a disk tier. The least recently used
// blocks of memory move to disk; those of disk are evicted.
class BlockTiers {
 public:
  explicit BlockTiers(TierOptions options) : options(options) {}

  struct Found {
    std::shared_ptr<const SealedBlock> block;
    bool from_disk = false;
  };

  // Stores the block under a new generation and drops what it replaces.
  // Returns false when the block is larger than the memory tier.
  bool Seal(const std::string& key, SealedBlock block);

  // The block, which moves to the memory tier; nothing when absent.
  Found Read(const std::string& key);

  // Generation of the block in force, zero when absent. Moves nothing.
  uint64_t GenerationOf(const std::string& key) const;

  bool Evict(const std::string& key);

  // Flips one bit of the stored body and leaves the checksum as it is.
  bool Corrupt(const std::string& key);

  // Takes this much of both tiers away from blocks (a store that fills).
  void Occupy(uint64_t bytes);

  uint64_t capacity_bytes() const {
    return this->options.memory_bytes + this->options.disk_bytes;
  }
  uint64_t used_bytes() const;
  std::vector<std::string> Keys() const;
  const std::list<TierEvent>& events() const { return this->recent; }
  // Sequences of the oldest event that is kept and of the next to come.
  uint64_t first_event() const {
    return this->next_sequence - this->recent.size();
  }
  uint64_t next_event() const { return this->next_sequence; }

 private:
  struct Entry {
    std::shared_ptr<const SealedBlock> block;
    bool on_disk = false;
    uint64_t last_use = 0;
  };
  using Entries = std::map<std::string, Entry>;

  uint64_t SizeOf(const SealedBlock& block) const {
    return block.body.size() * this->options.bytes_per_body_byte;
  }
  uint64_t Limit(bool on_disk) const;
  Entries::iterator LeastRecent(bool on_disk);
  void Erase(Entries::iterator entry);
  void Balance();
  void AddEvent(bool added, const std::string& key);

  TierOptions options;
  Entries entries;
  uint64_t used[2] = {0, 0};  // memory, disk
  uint64_t occupied = 0;
  uint64_t uses = 0;
  uint64_t last_generation = 0;
  uint64_t next_sequence = 0;
  std::list<TierEvent> recent;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_BLOCK_TIERS_H_
