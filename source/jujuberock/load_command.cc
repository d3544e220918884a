#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "core/load/overload_experiment.h"
#include "core/load/policy_experiment.h"
#include "core/load/routing_cost.h"
#include "jujuberock/command.h"

DEFINE_uint64(seeds, 10, "load: number of seeds (runs) for each variant");
DEFINE_uint64(threads, 2, "load: number of concurrent runs");
DEFINE_string(out, "", "load: prefix of the .json and .svg files to write");

namespace jujuberock {

namespace {

int Print(const load::ExperimentReport& report) {
  std::cout << report.table;
  if (FLAGS_out.empty())
    return kExitOk;
  std::ofstream json(FLAGS_out + ".json");
  json << report.json << '\n';
  std::ofstream svg(FLAGS_out + ".svg");
  svg << report.svg;
  if (json.good() && svg.good())
    return kExitOk;
  std::cerr << "cannot write " << FLAGS_out << ".json or .svg\n";
  return kExitFailed;
}

}  // namespace

int RunLoad(const CommandLine& line) {
  const std::string experiment =
      line.arguments.size() == 1 ? line.arguments.front() : "";
  const size_t seeds = FLAGS_seeds;
  if (seeds == 0) {
    std::cerr << "--seeds must be at least 1\n";
    return kExitUsage;
  }
  if (experiment == "policy" || experiment == "ablation") {
    load::PolicyExperimentOptions options;
    options.seeds = seeds;
    options.threads = FLAGS_threads;
    options.policies = experiment == "policy";
    options.ablations = experiment == "ablation";
    return Print(load::RunPolicyExperiment(options));
  }
  if (experiment == "overload") {
    load::OverloadExperimentOptions options;
    options.seeds = seeds;
    options.threads = FLAGS_threads;
    return Print(load::RunOverloadExperiment(options));
  }
  if (experiment == "routing-cost") {
    std::cout << load::MeasureRoutingCost({});
    return kExitOk;
  }
  std::cerr << "usage: jujuberock load policy|ablation|overload|routing-cost"
               " [--seeds N] [--threads N] [--out PREFIX]\n";
  return kExitUsage;
}

}  // namespace jujuberock
