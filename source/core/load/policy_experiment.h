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
  // Runs of all policies with and without faults.
  bool policies = true;
  // Runs of the restoring policy with each part switched off, with faults.
  bool ablations = false;
  common::Duration warm_up = std::chrono::seconds(480);
  common::Duration measured = std::chrono::seconds(600);
};

// Compares policies on modelled deployments. Every policy sees the same callers
// for a seed. The table ends with the goals of the design page against the best
// baseline of the same runs, met or missed.
ExperimentReport RunPolicyExperiment(const PolicyExperimentOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_POLICY_EXPERIMENT_H_
