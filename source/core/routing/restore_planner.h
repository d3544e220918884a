#ifndef CORE_ROUTING_RESTORE_PLANNER_H_
#define CORE_ROUTING_RESTORE_PLANNER_H_

#include <cstdint>
#include <vector>

#include "core/routing/prefix_index.h"

namespace jujuberock::routing {

// Estimates restores of one prompt. Built once for a request and asked for
// each candidate endpoint.
class RestorePlanner {
 public:
  // A store from which blocks may be restored now.
  struct Source {
    HolderId store = 0;
    // Until a restore of nothing would end.
    double queue_seconds = 0;
    double seconds_per_block = 0;
  };
  struct Plan {
    // Blocks from the first missing one.
    uint32_t blocks = 0;
    // Until the last of them has arrived.
    double seconds = 0;
    // Time for which links are occupied.
    double link_seconds = 0;
  };

  // `stored` in ascending order of position. A block that several sources hold
  // is taken from the one that would deliver it first.
  void Reset(uint32_t prompt_blocks,
             const std::vector<PrefixIndex::Position>& stored,
             const std::vector<Source>& sources);

  // The best restore for an endpoint that holds the first `cached` blocks,
  // where prefill begins after `wait_seconds` and takes
  // `compute_seconds_per_block`.
  Plan PlanFor(uint32_t cached,
               double wait_seconds,
               double compute_seconds_per_block) const;

  // Blocks from the first that need no recompute by anyone who restores.
  uint32_t RunFrom(uint32_t position) const;
  // The store chosen for a block within a run.
  HolderId StoreOf(uint32_t position) const;

 private:
  static constexpr uint32_t kNone = UINT32_MAX;

  Plan PlanBlocks(uint32_t cached, uint32_t blocks) const;

  std::vector<Source> sources;
  // Index into `sources` by position, or kNone.
  std::vector<uint32_t> source_of;
  // By position, the first position from there that no source holds.
  std::vector<uint32_t> run_end;
  // Blocks before each position by source: [source][position].
  std::vector<std::vector<uint32_t>> before;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_RESTORE_PLANNER_H_
