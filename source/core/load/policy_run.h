#ifndef CORE_LOAD_POLICY_RUN_H_
#define CORE_LOAD_POLICY_RUN_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "core/load/deployment.h"
#include "core/routing/choice_policy.h"
#include "core/routing/settings.h"

namespace jujuberock::load {

struct PolicyRunOptions {
  Deployment deployment;
  std::function<std::unique_ptr<routing::ChoicePolicy>()> policy;
  routing::PolicyWeights weights;
  // A store dies, the other fills, a link slows to a tenth, events stop, an
  // endpoint leaves, an endpoint crashes.
  bool faults = false;
  // Whether conversations have owners that other hosts ask.
  bool owners = true;
  uint64_t seed = 1;
  common::Duration warm_up = std::chrono::seconds(480);
  common::Duration measured = std::chrono::seconds(600);
};

struct PolicyRunResult {
  // Seconds to the first token, of all turns that began in the measured time.
  // A turn without a first token counts with the time until the run ended.
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  // Of the blocks that had been computed before, those computed again.
  double recomputed_share = 0;
  // Mean and largest use of any store's link and direction, as a share of its
  // budget; the largest over windows of 10 s.
  double link_use_mean = 0;
  double link_use_max = 0;
  // Of all windows, links and directions, those above the budget.
  double link_over_budget = 0;
  double restored_share = 0;
  double answered_within_patience = 0;
  size_t turns = 0;
};

// One modelled run. Depends on its options only.
PolicyRunResult RunPolicy(const PolicyRunOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_POLICY_RUN_H_
