#ifndef CORE_LOAD_OVERLOAD_EXPERIMENT_H_
#define CORE_LOAD_OVERLOAD_EXPERIMENT_H_

#include <cstddef>
#include <cstdint>

#include "core/load/overload_run.h"
#include "core/load/summary.h"

namespace jujuberock::load {

struct OverloadExperimentOptions {
  size_t seeds = 10;
  uint64_t first_seed = 1;
  size_t threads = 2;
  common::Duration warm_up = std::chrono::seconds(30);
  common::Duration measured = std::chrono::seconds(400);
};

// Offers one and two times the nominal load: with and without admission control
// and retry budget, with failing engines, with a host that dies, and with the
// other fair scheduler. The table ends with the goals of the design page.
ExperimentReport RunOverloadExperiment(
    const OverloadExperimentOptions& options);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_OVERLOAD_EXPERIMENT_H_
