#ifndef CORE_ROUTING_PREFIX_INDEX_H_
#define CORE_ROUTING_PREFIX_INDEX_H_

#include <boost/container/small_vector.hpp>
#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "core/routing/block_key.h"

namespace jujuberock::routing {

// Number of an endpoint or store within one router.
using HolderId = uint16_t;

// Which holders have which blocks. Bounded: when full, blocks that were not
// looked up or changed since the last sweep of the clock hand are dropped.
class PrefixIndex {
 public:
  struct Leading {
    HolderId holder = 0;
    uint32_t blocks = 0;
    bool doubtful = false;
  };
  struct Position {
    HolderId holder = 0;
    uint32_t position = 0;
    bool doubtful = false;
  };
  // What the index knows of one chain.
  struct Match {
    // Holders of at least the first block.
    std::vector<Leading> leading;
    // Blocks at any position whose holder `is_store`.
    std::vector<Position> stored;
  };

  explicit PrefixIndex(size_t max_blocks);

  // Must be called for each holder before its other uses.
  void DeclareHolder(HolderId holder, bool is_store);

  void Add(const BlockKey& key, HolderId holder);
  void Remove(const BlockKey& key, HolderId holder);
  // Counts doubtful entries too: exporting again what a store probably has
  // used most of the links when events were lost, and a restore that fails
  // removes the entry.
  bool HeldByStore(const BlockKey& key) const;

  // Events of the holder were lost: its present entries become doubtful.
  void Doubt(HolderId holder);
  // Drops all entries of the holder in constant time.
  void Forget(HolderId holder);

  void Find(std::span<const BlockKey> keys, Match& match);

  size_t blocks() const { return this->entries.size(); }
  // Approximate heap use.
  size_t bytes() const;

 private:
  // The holder's epoch when the entry was added or last confirmed.
  struct Slot {
    HolderId holder = 0;
    uint16_t epoch = 0;
  };
  static constexpr size_t kInlineSlots = 4;
  struct Entry {
    boost::container::small_vector<Slot, kInlineSlots> slots;
    // Looked up or added again since the clock hand passed. New entries start
    // without, so that a burst of them does not displace what is used.
    bool used = false;
  };
  // Slots older than `floor` are void; older than `epoch` are doubtful.
  // Epochs wrap around, so only differences are compared.
  struct HolderState {
    uint16_t epoch = 0;
    uint16_t floor = 0;
    bool is_store = false;
    // Length of the run from the first block while Find() walks a chain.
    uint32_t run = 0;
    bool run_doubtful = false;
  };

  bool Void(const Slot& slot) const;
  bool Doubtful(const Slot& slot) const;
  void DropVoidSlots(Entry& entry);
  void EvictOne();

  size_t max_blocks;
  std::unordered_map<BlockKey, Entry, BlockKeyHash> entries;
  std::vector<HolderState> holders;
  std::vector<HolderId> walked;
  size_t clock_bucket = 0;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_PREFIX_INDEX_H_
