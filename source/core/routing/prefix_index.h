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

// Index of an endpoint or store within one router.
using HolderId = uint16_t;

// Maps cache blocks to the endpoints and stores that hold them. Bounded: when
// full, it evicts blocks that were neither looked up nor added again since the
// last sweep of the CLOCK hand.
class PrefixIndex {
 public:
  struct HeldPrefix {
    HolderId holder = 0;
    uint32_t blocks = 0;
    bool stale = false;
  };
  struct StoredBlock {
    HolderId holder = 0;
    uint32_t position = 0;
    bool stale = false;
  };
  // The holders of a chain of blocks.
  struct Match {
    // Endpoints that hold at least the first block.
    std::vector<HeldPrefix> prefixes;
    // Blocks held by stores, at any position.
    std::vector<StoredBlock> stored;
  };

  explicit PrefixIndex(size_t max_blocks);

  // Must be called before a holder is used in any other method.
  void RegisterHolder(HolderId holder, bool is_store);

  void Add(const BlockKey& key, HolderId holder);
  void Remove(const BlockKey& key, HolderId holder);
  // Whether a store holds the block. Stale entries count: otherwise lost events
  // made hosts export again what a store probably still held, which used most
  // of the link capacity. A restore that fails removes the entry.
  bool HeldByStore(const BlockKey& key) const;

  // Marks all current entries of the holder as stale, after some of its events
  // were lost.
  void MarkStale(HolderId holder);
  // Drops all entries of the holder in constant time.
  void Invalidate(HolderId holder);

  void Find(std::span<const BlockKey> keys, Match& match);

  size_t blocks() const { return this->entries.size(); }
  // Approximate heap use.
  size_t bytes() const;

 private:
  // A holder of a block, with the holder's epoch when the entry was added or
  // last confirmed.
  struct Slot {
    HolderId holder = 0;
    uint16_t epoch = 0;
  };
  static constexpr size_t kInlineSlots = 4;
  struct Entry {
    boost::container::small_vector<Slot, kInlineSlots> slots;
    // CLOCK reference bit: looked up or added again since the hand passed. New
    // entries start without it, so that a burst of them does not displace
    // entries in use.
    bool referenced = false;
  };
  // Slots older than `min_valid_epoch` are invalid; slots older than `epoch`
  // are stale. Epochs wrap around, so only differences are compared.
  struct HolderState {
    uint16_t epoch = 0;
    uint16_t min_valid_epoch = 0;
    bool is_store = false;
    // Length of the prefix held so far, while Find() walks a chain.
    uint32_t prefix_blocks = 0;
    bool prefix_stale = false;
  };

  bool IsInvalid(const Slot& slot) const;
  bool IsStale(const Slot& slot) const;
  void DropInvalidSlots(Entry& entry);
  void EvictOne();

  size_t max_blocks;
  std::unordered_map<BlockKey, Entry, BlockKeyHash> entries;
  std::vector<HolderState> holders;
  std::vector<HolderId> matched_holders;
  size_t clock_bucket = 0;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_PREFIX_INDEX_H_
