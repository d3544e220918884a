#include "core/load/overload_experiment.h"

#include <catch2/catch.hpp>

namespace jujuberock::load {
namespace {

using std::chrono::seconds;

OverloadRunResult Run(double load, bool admission) {
  OverloadRunOptions options;
  options.load = load;
  options.admission = admission;
  options.warm_up = seconds(20);
  options.measured = seconds(100);
  return RunOverload(options);
}

// Without admission control, hardly any answer at twice the load comes within
// its patience, because the queues at the engines grow without bound.
TEST_CASE("goodput holds at twice the load and work follows the weights") {
  const OverloadRunResult once = Run(1, true);
  const OverloadRunResult twice = Run(2, true);
  CHECK(twice.goodput >= 0.95 * once.goodput);
  CHECK(twice.goodput >= 0.95 * Run(1, false).goodput);
  CHECK(twice.fairness_error <= 0.1);
  CHECK(twice.limit_overshoot <= twice.overshoot_bound);
  CHECK(Run(2, false).goodput < 0.1 * once.goodput);
}

TEST_CASE("retries without a budget run engines more often") {
  OverloadRunOptions options;
  options.failures = true;
  options.measured = seconds(60);
  const double with_budget = RunOverload(options).attempts;
  options.retry_budget = false;
  CHECK(RunOverload(options).attempts > with_budget);
  CHECK(with_budget <= 1.1);
}

TEST_CASE("the limited team stays within the bound when its owner dies") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    OverloadRunOptions options;
    options.load = 2;
    options.host_dies = true;
    options.seed = seed;
    options.measured = seconds(60);
    const OverloadRunResult result = RunOverload(options);
    CHECK(result.goodput > 0);
    CHECK(result.limit_overshoot <= result.overshoot_bound);
  }
}

}  // namespace
}  // namespace jujuberock::load
