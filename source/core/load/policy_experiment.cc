#include "core/load/policy_experiment.h"

#include <algorithm>
#include <cstdio>

#include "core/load/run_pool.h"

namespace jujuberock::load {

namespace {

using routing::PolicyWeights;

struct Variant {
  std::string name;
  std::function<std::unique_ptr<routing::ChoicePolicy>()> policy;
  PolicyWeights weights;
  bool owners = true;
};

constexpr Measure<PolicyRunResult> kMeasures[] = {
    {"first token p95 (s)", &PolicyRunResult::first_token_p95},
    {"recomputed share", &PolicyRunResult::recomputed_share},
    {"within patience", &PolicyRunResult::answered_within_patience},
    {"first token p50 (s)", &PolicyRunResult::first_token_p50},
    {"restored share", &PolicyRunResult::restored_share},
    {"link/budget mean", &PolicyRunResult::link_use_mean},
    {"link/budget max", &PolicyRunResult::link_use_max},
    {"windows over budget", &PolicyRunResult::link_over_budget},
};
constexpr size_t kFirstToken = 0;
constexpr size_t kRecomputed = 1;
constexpr size_t kWithinPatience = 2;
constexpr size_t kLinkMax = 6;
constexpr size_t kPlottedMeasures = 3;

constexpr char kRestoring[] = "restoring";

std::vector<Variant> Policies() {
  const PolicyWeights weights;
  return {{"random", routing::MakeRandomPolicy, weights},
          {"least-loaded", routing::MakeLeastLoadedPolicy, weights},
          {"prefix-affinity", routing::MakePrefixAffinityPolicy, weights},
          {"predicted-prefix", routing::MakePredictedPrefixPolicy, weights},
          {kRestoring, routing::MakeRestoringPolicy, weights}};
}

std::vector<Variant> Ablations() {
  std::vector<Variant> variants = {
      {kRestoring, routing::MakeRestoringPolicy, {}}};
  const std::pair<const char*, bool PolicyWeights::*> parts[] = {
      {"no own dispatches", &PolicyWeights::own_dispatches},
      {"no link queue", &PolicyWeights::link_queue},
      {"no confidence discount", &PolicyWeights::confidence_discount},
      {"no restore", &PolicyWeights::restore},
      {"no exports", &PolicyWeights::exports},
      {"no link learning", &PolicyWeights::learn_link_speed},
      {"no zone preference", &PolicyWeights::zone_preference},
  };
  for (const auto& [name, part] : parts) {
    Variant variant{name, routing::MakeRestoringPolicy, {}};
    variant.weights.*part = false;
    variants.push_back(variant);
  }
  const std::pair<const char*, double PolicyWeights::*> costs[] = {
      {"no recompute cost", &PolicyWeights::recompute_cost},
      {"no link cost", &PolicyWeights::link_cost},
  };
  for (const auto& [name, cost] : costs) {
    Variant variant{name, routing::MakeRestoringPolicy, {}};
    variant.weights.*cost = 0;
    variants.push_back(variant);
  }
  variants.push_back({"no owners", routing::MakeRestoringPolicy, {}, false});
  return variants;
}

SummaryTable RunTable(const PolicyExperimentOptions& options,
                      const Deployment& deployment,
                      const std::vector<Variant>& variants,
                      bool faults) {
  const std::string title = deployment.name + (faults ? " with faults" : "");
  const size_t seeds = options.seeds;
  std::vector<PolicyRunResult> results(variants.size() * seeds);
  RunAll(results.size(), options.threads, [&](size_t i) {
    const Variant& variant = variants[i / seeds];
    PolicyRunOptions run;
    run.deployment = deployment;
    run.policy = variant.policy;
    run.weights = variant.weights;
    run.owners = variant.owners;
    run.faults = faults;
    run.seed = options.first_seed + i % seeds;
    run.warm_up = options.warm_up;
    run.measured = options.measured;
    results[i] = RunPolicy(run);
  });
  std::vector<std::string> names;
  for (const Variant& variant : variants)
    names.push_back(variant.name);
  return Summarise<PolicyRunResult>(title, kMeasures, names, results);
}

std::string FormatGoal(const std::string& title,
                       const std::string& goal,
                       double actual,
                       double limit,
                       bool met) {
  char text[256];
  std::snprintf(text, sizeof text, "%-24s %-44s %8.4f  limit %8.4f  %s\n",
                title.c_str(), goal.c_str(), actual, limit,
                met ? "met" : "MISSED");
  return text;
}

// Compares medians to the best baseline, separately for each measure.
std::string CheckGoals(const SummaryTable& table) {
  const SummaryRow* restoring = nullptr;
  double min_first_token = 1e9;
  double min_recomputed = 1e9;
  double max_within = 0;
  for (const SummaryRow& row : table.rows) {
    if (row.name == kRestoring) {
      restoring = &row;
      continue;
    }
    min_first_token =
        std::min(min_first_token, row.measures[kFirstToken].median);
    min_recomputed = std::min(min_recomputed, row.measures[kRecomputed].median);
    max_within = std::max(max_within, row.measures[kWithinPatience].median);
  }
  if (!restoring)
    return {};
  std::string text;
  const auto at_most = [&](const char* goal, double value, double limit) {
    text += FormatGoal(table.title, goal, value, limit, value <= limit);
  };
  // The design page gives the two deployments different weights; both figures
  // are shown for both.
  at_most("p95 at most half of the best baseline",
          restoring->measures[kFirstToken].median, min_first_token / 2);
  at_most("recomputed share at most a third",
          restoring->measures[kRecomputed].median, min_recomputed / 3);
  at_most("link use within budget (any 10 s, any seed)",
          restoring->measures[kLinkMax].maximum, 1);
  const double within = restoring->measures[kWithinPatience].median;
  text += FormatGoal(table.title, "share within patience never worse", within,
                     max_within, within >= max_within);
  return text;
}

}  // namespace

ExperimentReport RunPolicyExperiment(const PolicyExperimentOptions& options) {
  std::vector<SummaryTable> tables;
  std::string goals;
  for (const Deployment& deployment : options.deployments) {
    if (options.policies) {
      for (bool faults : {false, true}) {
        tables.push_back(RunTable(options, deployment, Policies(), faults));
        goals += CheckGoals(tables.back());
      }
    }
    if (options.ablations) {
      tables.push_back(RunTable(options, deployment, Ablations(), true));
      tables.back().title += ", ablations";
    }
  }
  return {RenderText(tables) + goals, RenderJson(tables),
          RenderSvg(tables, kPlottedMeasures)};
}

}  // namespace jujuberock::load
