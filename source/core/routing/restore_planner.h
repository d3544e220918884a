#ifndef CORE_ROUTING_RESTORE_PLANNER_H_
#define CORE_ROUTING_RESTORE_PLANNER_H_

#include <cstdint>
#include <vector>

#include "core/routing/prefix_index.h"

namespace jujuberock::routing {

// Plans restores from stores for one prompt. Reset() is called once per
// request, PlanFor() for each candidate endpoint.
class RestorePlanner {
 public:
  // A store from which blocks may be restored now.
  struct Source {
    HolderId store = 0;
    // Seconds until a new transfer would start.
    double queue_seconds = 0;
    double seconds_per_block = 0;
  };
  struct Plan {
    // Number of blocks to restore, starting at the first that the endpoint
    // lacks.
    uint32_t blocks = 0;
    // Seconds until the last of them has arrived.
    double seconds = 0;
    // Total transfer time on the links.
    double link_seconds = 0;
  };

  // `stored` is sorted by position. A block that several sources hold is read
  // from the one that would deliver it first.
  void Reset(uint32_t prompt_blocks,
             const std::vector<PrefixIndex::StoredBlock>& stored,
             const std::vector<Source>& sources);

  // Returns the best restore for an endpoint that holds the first `cached`
  // blocks, starts prefill after `wait_seconds` and needs
  // `compute_seconds_per_block`.
  Plan PlanFor(uint32_t cached,
               double wait_seconds,
               double compute_seconds_per_block) const;

  // Number of consecutive blocks from `position` on that can be restored.
  uint32_t RestorableBlocks(uint32_t position) const;
  // The store assigned to a restorable block.
  HolderId StoreOf(uint32_t position) const;

 private:
  static constexpr uint32_t kNone = UINT32_MAX;

  Plan PlanBlocks(uint32_t cached, uint32_t blocks) const;

  std::vector<Source> sources;
  // Index into `sources` by position, or kNone.
  std::vector<uint32_t> source_of;
  // For each position, the next position that no source holds.
  std::vector<uint32_t> run_end;
  // Number of blocks assigned to a source before a position:
  // [source][position].
  std::vector<std::vector<uint32_t>> blocks_before;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_RESTORE_PLANNER_H_
