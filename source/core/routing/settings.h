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
  // Whether entries are discounted by lost events and by how often earlier
  // predictions for the endpoint came true.
  bool doubt = true;
  // Whether blocks are restored from stores.
  bool restore = true;
  // Whether blocks are exported to stores.
  bool exports = true;
  // Whether link speed is learned from what stores report as sent.
  bool learn_link_speed = true;
  // Whether the caller's zone is preferred.
  bool zone_preference = true;
  // Seconds added for each second of prefill spent on blocks that some
  // endpoint or store holds. Work done twice delays the requests behind it.
  double recompute_cost = 1;
  // Seconds added for each second that a restore occupies a link.
  double link_cost = 1;
  // Seconds added for an endpoint in another zone than the caller's.
  double zone_cost = 0.1;
};

struct RouterSettings {
  PolicyWeights weights;
  // Size of a cache block on a link and in a store.
  uint64_t block_bytes = 64 << 20;
  // Share of each direction of a store's link that all hosts may use.
  double link_budget_share = 0.8;
  // Unused budget carried over, as time at the budgeted rate.
  common::Duration link_burst = std::chrono::seconds(2);
  // Above this share of used blocks an endpoint is close to evicting, and its
  // exports go before those of other endpoints.
  double near_eviction_share = 0.9;
  // Probability that an entry still holds after its holder's events were lost,
  // until the endpoint's own reports of cached tokens tell more. Lower values
  // move long shared prompts to other endpoints after every gap, which then
  // hold them twice.
  double doubtful_confidence = 0.95;
  // A load report older than this says nothing about the endpoint's queue.
  common::Duration report_lifetime = std::chrono::seconds(5);
  // Reserved for a suspect, an endpoint accepts no other work for this long.
  common::Duration isolation_limit = std::chrono::seconds(30);
  // Share of a service's endpoints that may be reserved for suspects, at least
  // one, so that suspects can not take a service away from others.
  double max_isolated_share = 0.25;
  // Blocks in the index; those not used lately are dropped.
  size_t max_index_blocks = 1'000'000;
  // Export orders kept while no link is idle; the oldest are dropped.
  size_t max_pending_exports = 4096;
  // Blocks of one export order.
  size_t max_export_blocks = 16;
  // A store that has confirmed none of the exports sent to it for this long
  // gets no more until as much time has passed again.
  common::Duration export_confirm_limit = std::chrono::seconds(10);
  uint64_t seed = 1;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_SETTINGS_H_
