#ifndef CORE_LOAD_OVERLOAD_RUN_H_
#define CORE_LOAD_OVERLOAD_RUN_H_

#include <cstdint>
#include <vector>

#include "core/admission/fair_scheduler.h"
#include "core/common/time.h"

namespace jujuberock::load {

struct OverloadRunOptions {
  // Offered load as a multiple of what the engines serve comfortably.
  double load = 1;
  bool admission = true;
  // Without a budget a failed request is tried up to three times more.
  bool retry_budget = true;
  // Part of the engines fail half of what they run, in the middle of the run.
  bool failures = false;
  // The host that hands out the limited team's grants dies.
  bool host_dies = false;
  admission::FairSchedulerFactory order = admission::MakeStartTimeFairScheduler;
  uint64_t seed = 1;
  common::Duration warm_up = std::chrono::seconds(30);
  common::Duration measured = std::chrono::seconds(120);
};

struct OverloadRunResult {
  // Requests per second whose first token came within the patience and which
  // ran to their end.
  double goodput = 0;
  double offered = 0;
  // Largest relative difference of a backlogged team's served work from its
  // weighted share.
  double fairness_error = 0;
  // Runs of engines for each request that ran.
  double attempts = 0;
  // Most requests of the limited team running at once beyond its limit.
  double limit_overshoot = 0;
  // The bound that LimitOvershootBound() states for it.
  double overshoot_bound = 0;
};

OverloadRunResult RunOverload(const OverloadRunOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_OVERLOAD_RUN_H_
