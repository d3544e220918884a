#ifndef CORE_LOAD_OVERLOAD_RUN_H_
#define CORE_LOAD_OVERLOAD_RUN_H_

#include <cstdint>
#include <vector>

#include "core/admission/fair_scheduler.h"
#include "core/common/time.h"

namespace jujuberock::load {

struct OverloadRunOptions {
  // Offered load as a multiple of the nominal load, which the engines can serve
  // with some headroom.
  double load = 1;
  bool admission = true;
  // Without a budget a failed request is retried up to three times.
  bool retry_budget = true;
  // Some engines fail half of their requests, in the middle of the run.
  bool failures = false;
  // The host that grants shares of the limited team's limit dies.
  bool host_dies = false;
  admission::FairSchedulerFactory scheduler =
      admission::MakeStartTimeFairScheduler;
  uint64_t seed = 1;
  common::Duration warm_up = std::chrono::seconds(30);
  common::Duration measured = std::chrono::seconds(120);
};

struct OverloadRunResult {
  // Requests per second that completed and whose first token came within the
  // patience.
  double goodput = 0;
  double offered = 0;
  // Largest relative deviation of a backlogged team's served work from its
  // weighted share.
  double fairness_error = 0;
  // Engine executions per request that was executed at all.
  double attempts = 0;
  // Maximum number of the limited team's running requests above its limit.
  double limit_overshoot = 0;
  // The bound that LimitOvershootBound() returns for it.
  double overshoot_bound = 0;
};

OverloadRunResult RunOverload(const OverloadRunOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_OVERLOAD_RUN_H_
