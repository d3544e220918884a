#include "core/load/policy_experiment.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "core/load/block_cache.h"

namespace jujuberock::load {
namespace {

using std::chrono::seconds;

PolicyRunOptions ShortRun(bool faults) {
  PolicyRunOptions options;
  options.deployment = Canelones();
  options.policy = routing::MakeRestoringPolicy;
  options.faults = faults;
  options.warm_up = seconds(240);
  options.measured = seconds(120);
  return options;
}

TEST_CASE("a full cache evicts the last blocks of old prompts and logs it") {
  BlockCache cache(4, 100);
  const std::vector<routing::BlockKey> first = {{1, 0}, {1, 1}, {1, 2}};
  const std::vector<routing::BlockKey> second = {{2, 0}, {2, 1}};
  cache.Insert(first, common::TimePoint(seconds(1)));
  cache.Insert(second, common::TimePoint(seconds(2)));
  CHECK(cache.LeadingBlocks(first) == 2);
  CHECK(cache.LeadingBlocks(second) == 2);
  const auto log = cache.EventsSince(0, common::TimePoint(seconds(1)));
  CHECK(log.first_sequence == 0);
  CHECK(log.events.size() == 3);
  CHECK(cache.EventsSince(3, common::TimePoint(seconds(2))).events.size() == 3);
}

TEST_CASE("lost events leave a gap in the sequence numbers") {
  BlockCache cache(100, 2);
  for (uint64_t i = 0; i < 5; ++i) {
    const routing::BlockKey key{1, i};
    cache.Insert({&key, 1}, common::TimePoint(seconds(1)));
  }
  const auto log = cache.EventsSince(0, common::TimePoint(seconds(1)));
  CHECK(log.first_sequence == 3);
  CHECK(log.events.size() == 2);
}

// Otherwise results of two runs could not be compared.
TEST_CASE("a run depends on its options only") {
  const PolicyRunResult first = RunPolicy(ShortRun(true));
  const PolicyRunResult second = RunPolicy(ShortRun(true));
  CHECK(first.turns > 500);
  CHECK(first.turns == second.turns);
  CHECK(first.first_token_p95 == second.first_token_p95);
  CHECK(first.recomputed_share == second.recomputed_share);
}

TEST_CASE("restoring beats every baseline in a short run") {
  PolicyRunOptions options = ShortRun(false);
  const PolicyRunResult restoring = RunPolicy(options);
  CHECK(restoring.link_use_mean > 0);
  CHECK(restoring.link_use_mean <= 1);
  for (auto* policy :
       {routing::MakeRandomPolicy, routing::MakeLeastLoadedPolicy,
        routing::MakePrefixAffinityPolicy,
        routing::MakePredictedPrefixPolicy}) {
    options.policy = policy;
    const PolicyRunResult baseline = RunPolicy(options);
    CHECK(restoring.first_token_p95 <= baseline.first_token_p95 / 2);
    CHECK(restoring.recomputed_share <= baseline.recomputed_share / 3);
    CHECK(restoring.answered_within_patience >=
          baseline.answered_within_patience);
  }
}

TEST_CASE("the report has a table, JSON and a plot") {
  PolicyExperimentOptions options;
  options.deployments = {Canelones()};
  options.seeds = 2;
  options.warm_up = seconds(20);
  options.measured = seconds(20);
  const ExperimentReport report = RunPolicyExperiment(options);
  CHECK(report.table.find("prefix-affinity") != std::string::npos);
  CHECK(report.table.find("limit") != std::string::npos);
  CHECK(nlohmann::json::parse(report.json).size() == 2);
  CHECK(report.svg.find("</svg>") != std::string::npos);
}

}  // namespace
}  // namespace jujuberock::load
