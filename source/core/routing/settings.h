#ifndef CORE_ROUTING_SETTINGS_H_
#define CORE_ROUTING_SETTINGS_H_

#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::routing {

// Parts of the prediction and weights, each of which the policy experiment
// switches off in turn.
struct PolicyWeights {
  // Whether own dispatches since the last report count as load.
  bool own_dispatches = true;
  // Whether bytes already queued on a store's link delay a restore.
  bool link_queue = true;
  // Whether entries of holders with lost events are discounted.
  bool doubt = true;
  // Whether the policy may restore blocks from stores.
  bool restore = true;
  // Whether blocks are exported to stores.
  bool exports = true;
  // Whether link speed is learned from what stores report as sent.
  bool learn_link_speed = true;
  // Seconds added for each second of prefill that a choice spends on tokens
  // cached elsewhere. Work done twice delays the requests behind it.
  double recompute_cost = 0.5;
  // Seconds added for each second that a restore occupies a link.
  double link_cost = 0.1;
  // Seconds added for each second of wait of other requests displaced, as a
  // share of the endpoint's own queue.
  double spread_cost = 0.0;
};

struct RouterSettings {
  PolicyWeights weights;
  // Size of a cache block on a link and in a store.
  uint64_t block_bytes = 64 << 20;
  // Share of a link that restores and exports together may use.
  double link_budget_share = 0.8;
  // Exports start only while the link's write queue is shorter than this.
  common::Duration export_idle_queue = std::chrono::milliseconds(50);
  // Above this share of used blocks an endpoint is close to evicting, and its
  // exports go before those of other endpoints.
  double near_eviction_share = 0.9;
  // Probability that a doubtful entry still holds.
  double doubtful_confidence = 0.5;
  // Added to the predicted first token of endpoints in other zones: two
  // crossings of at most 1 ms each, plus the risk of a partition.
  common::Duration other_zone_penalty = std::chrono::milliseconds(5);
  // A load report older than this says nothing about the endpoint's queue.
  common::Duration report_lifetime = std::chrono::seconds(5);
  // Reserved for a suspect, an endpoint accepts no other work for this long.
  common::Duration isolation_limit = std::chrono::seconds(30);
  // Blocks in the index; the least recently used are dropped.
  size_t max_index_blocks = 2'000'000;
  // Export orders kept while no link is idle.
  size_t max_pending_exports = 4096;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_SETTINGS_H_
