#include "core/load/overload_experiment.h"

#include <algorithm>
#include <cstdio>

#include "core/load/run_pool.h"

namespace jujuberock::load {

namespace {

constexpr Measure<OverloadRunResult> kMeasures[] = {
    {"goodput (1/s)", &OverloadRunResult::goodput},
    {"fairness error", &OverloadRunResult::fairness_error},
    {"limit overshoot", &OverloadRunResult::limit_overshoot},
    {"runs per request", &OverloadRunResult::attempts},
    {"offered (1/s)", &OverloadRunResult::offered},
    {"overshoot bound", &OverloadRunResult::overshoot_bound},
};
constexpr size_t kGoodput = 0;
constexpr size_t kFairness = 1;
constexpr size_t kOvershoot = 2;
constexpr size_t kBound = 5;
constexpr size_t kPlottedMeasures = 3;

// Goals of the design page.
constexpr double kGoodputShare = 0.95;
constexpr double kFairnessLimit = 0.1;

std::string NameOf(const OverloadRunOptions& run) {
  std::string name = run.admission ? "admission" : "none";
  if (run.retry_budget)
    name += "+budget";
  if (run.failures)
    name += ", failures";
  if (run.host_dies)
    name += ", host dies";
  return name;
}

std::vector<OverloadRunOptions> VariantsAt(double load) {
  std::vector<OverloadRunOptions> variants;
  for (bool failures : {false, true}) {
    for (bool admission : {false, true}) {
      for (bool budget : {false, true}) {
        OverloadRunOptions run;
        run.load = load;
        run.failures = failures;
        run.admission = admission;
        run.retry_budget = budget;
        // Without failures there is nothing to retry.
        if (failures || budget)
          variants.push_back(run);
      }
    }
  }
  OverloadRunOptions dying_host;
  dying_host.load = load;
  dying_host.host_dies = true;
  variants.push_back(dying_host);
  return variants;
}

SummaryTable RunTable(const OverloadExperimentOptions& options,
                      const std::string& title,
                      const std::vector<OverloadRunOptions>& variants) {
  const size_t seeds = options.seeds;
  std::vector<OverloadRunResult> results(variants.size() * seeds);
  RunAll(results.size(), options.threads, [&](size_t i) {
    OverloadRunOptions run = variants[i / seeds];
    run.seed = options.first_seed + i % seeds;
    run.warm_up = options.warm_up;
    run.measured = options.measured;
    results[i] = RunOverload(run);
  });
  std::vector<std::string> names;
  for (const OverloadRunOptions& variant : variants)
    names.push_back(NameOf(variant));
  return Summarise<OverloadRunResult>(title, kMeasures, names, results);
}

const SummaryRow& RowOf(const SummaryTable& table, const std::string& name) {
  return *std::find_if(table.rows.begin(), table.rows.end(),
                       [&](const SummaryRow& r) { return r.name == name; });
}

std::string FormatGoal(const char* goal, double value, double limit, bool met) {
  char text[160];
  std::snprintf(text, sizeof text, "%-56s %8.3f  limit %8.3f  %s\n", goal,
                value, limit, met ? "met" : "MISSED");
  return text;
}

std::string CheckGoals(const SummaryTable& once, const SummaryTable& twice) {
  const std::string full = "admission+budget";
  const double goodput = RowOf(twice, full).measures[kGoodput].median;
  const double limit =
      kGoodputShare * RowOf(once, full).measures[kGoodput].median;
  std::string text =
      FormatGoal("goodput at load 2, median, at least 95% of load 1", goodput,
                 limit, goodput >= limit);
  // Compared to load 1 without admission control, which is the harder goal if
  // admission control itself reduces goodput at load 1.
  const double limit_without_admission =
      kGoodputShare * RowOf(once, "none+budget").measures[kGoodput].median;
  text +=
      FormatGoal("the same against load 1 without admission", goodput,
                 limit_without_admission, goodput >= limit_without_admission);
  const double error = RowOf(twice, full).measures[kFairness].maximum;
  text += FormatGoal("fairness error at load 2, largest seed", error,
                     kFairnessLimit, error <= kFairnessLimit);
  for (const char* name : {"admission+budget", "admission+budget, host dies"}) {
    const SummaryRow& row = RowOf(twice, name);
    const double over = row.measures[kOvershoot].maximum;
    const double bound = row.measures[kBound].maximum;
    text += FormatGoal((std::string("limit overshoot, ") + name).c_str(), over,
                       bound, over <= bound);
  }
  return text;
}

std::vector<OverloadRunOptions> Schedulers() {
  OverloadRunOptions fair;
  fair.load = 2;
  OverloadRunOptions deficit = fair;
  deficit.scheduler = admission::MakeDeficitRoundRobin;
  return {fair, deficit};
}

}  // namespace

ExperimentReport RunOverloadExperiment(
    const OverloadExperimentOptions& options) {
  std::vector<SummaryTable> tables;
  tables.push_back(RunTable(options, "load 1", VariantsAt(1)));
  tables.push_back(RunTable(options, "load 2", VariantsAt(2)));
  const std::string goals = CheckGoals(tables[0], tables[1]);
  tables.push_back(
      RunTable(options, "fair schedulers at load 2", Schedulers()));
  tables.back().rows[0].name = "start-time fair";
  tables.back().rows[1].name = "deficit round robin";
  return {RenderText(tables) + goals, RenderJson(tables),
          RenderSvg(tables, kPlottedMeasures)};
}

}  // namespace jujuberock::load
