#ifndef CORE_LOAD_POLICY_EXPERIMENT_H_
#define CORE_LOAD_POLICY_EXPERIMENT_H_

#include <string>
#include <vector>

#include "core/load/policy_run.h"
#include "core/load/summary.h"

namespace jujuberock::load {

struct PolicyExperimentOptions {
  std::vector<Deployment> deployments = {Koperasi(), Canelones()};
  size_t seeds = 10;
  uint64_t first_seed = 1;
  size_t threads = 2;
  // Whether to run all policies, with and without faults.
  bool policies = true;
  // Whether to run the restoring policy with each part disabled, with faults.
  bool ablations = false;
  common::Duration warm_up = std::chrono::seconds(480);
  common::Duration measured = std::chrono::seconds(600);
};

// Compares policies on simulated deployments. For a given seed, every policy
// sees the same callers. The table ends with the goals of the design page,
// compared to the best baseline of the same runs, met or missed.
ExperimentReport RunPolicyExperiment(const PolicyExperimentOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_POLICY_EXPERIMENT_H_
