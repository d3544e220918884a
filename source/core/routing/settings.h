#ifndef CORE_ROUTING_SETTINGS_H_
#define CORE_ROUTING_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "core/common/time.h"

namespace jujuberock::routing {

// Terms of the cost prediction and their weights. The policy experiment
// disables each of them in turn.
struct PolicyWeights {
  // Whether requests dispatched since the last report count as load.
  bool own_dispatches = true;
  // Whether bytes already queued on a store's link delay a restore.
  bool link_queue = true;
  // Whether cached prefixes are discounted by the endpoint's confidence, which
  // depends on lost events and on how accurate earlier predictions were.
  bool confidence_discount = true;
  // Whether blocks are restored from stores.
  bool restore = true;
  // Whether blocks are exported to stores.
  bool exports = true;
  // Whether link speed is learned from the byte counters that stores report.
  bool learn_link_speed = true;
  // Whether endpoints in the caller's zone are preferred.
  bool zone_preference = true;
  // Seconds added for each second of prefill spent on blocks that some endpoint
  // or store already holds. Duplicate work delays the requests queued behind
  // it.
  double recompute_cost = 1;
  // Seconds added for each second that a restore occupies a link.
  double link_cost = 1;
  // Seconds added for an endpoint outside the caller's zone.
  double zone_cost = 0.1;
};

struct RouterSettings {
  PolicyWeights weights;
  // Size of a cache block on a link and in a store.
  uint64_t block_bytes = 64 << 20;
  // Share of each direction of a store's link that all hosts together may use.
  double link_budget_share = 0.8;
  // Maximum unused budget carried over, as time at the budgeted rate.
  common::Duration link_burst = std::chrono::seconds(2);
  // An endpoint that uses more than this share of its cache blocks is about to
  // evict some; its exports take precedence.
  double near_eviction_share = 0.9;
  // Initial probability that a stale entry is still held, until the endpoint's
  // reports of cached tokens refine it. With lower values, every gap in the
  // events moved long shared prompts to other endpoints, so that two endpoints
  // held them.
  double stale_confidence = 0.95;
  // Maximum age of a load report whose queue length is still used.
  common::Duration report_lifetime = std::chrono::seconds(5);
  // Name of this host. Of two hosts that reserve the same endpoint at once, the
  // first by name keeps it.
  std::string host;
  // Time from the reservation of an endpoint until its suspect is sent, in
  // which reservations that other hosts made at the same time arrive.
  common::Duration reservation_settle_time = std::chrono::milliseconds(100);
  // How long an endpoint reserved for a suspect accepts no other work.
  common::Duration isolation_limit = std::chrono::seconds(30);
  // Maximum share of a service's endpoints reserved for suspects, but at least
  // one endpoint. Keeps suspects from taking over a whole service.
  double max_isolated_share = 0.25;
  // Maximum number of blocks in the index; blocks not used recently are
  // evicted.
  size_t max_index_blocks = 1'000'000;
  // Maximum number of exports waiting for a link with budget left; the oldest
  // are dropped.
  size_t max_pending_exports = 4096;
  // Maximum number of blocks per export.
  size_t max_export_blocks = 16;
  // A store that has confirmed none of its exports for this long gets no new
  // ones for the same period.
  common::Duration export_confirm_limit = std::chrono::seconds(10);
  uint64_t seed = 1;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_SETTINGS_H_
