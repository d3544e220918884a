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
  // Whether to inject faults: a store dies, the other one fills up, a link
  // slows to a tenth, events stop, an endpoint leaves, an endpoint crashes.
  bool faults = false;
  // Whether conversations have owners that other hosts query.
  bool owners = true;
  uint64_t seed = 1;
  common::Duration warm_up = std::chrono::seconds(480);
  common::Duration measured = std::chrono::seconds(600);
};

struct PolicyRunResult {
  // Seconds to the first token, over all turns that began in the measured time.
  // A turn without a first token counts as waiting until the end of the run.
  double first_token_p50 = 0;
  double first_token_p95 = 0;
  // Share of the returning blocks, that is, those computed before, that were
  // computed again.
  double recomputed_share = 0;
  // Mean and maximum use of any store's link in either direction, relative to
  // its budget; the maximum is over windows of 10 s.
  double link_use_mean = 0;
  double link_use_max = 0;
  // Share of all windows, links and directions that were above the budget.
  double link_over_budget = 0;
  double restored_share = 0;
  double answered_within_patience = 0;
  size_t turns = 0;
};

// Runs one simulation. The result depends only on the options.
PolicyRunResult RunPolicy(const PolicyRunOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_POLICY_RUN_H_
