#include <gflags/gflags.h>

#include <fstream>
#include <iostream>

#include "core/common/error.h"
#include "core/load/policy_experiment.h"
#include "jujuberock/command.h"

DEFINE_uint64(seeds, 10, "load: runs of each policy, each with its own seed");
DEFINE_uint64(first_seed, 1, "load: seed of the first run");
DEFINE_uint64(threads, 2, "load: runs at the same time");
DEFINE_bool(ablations, false, "load: also with each part of the policy off");
DEFINE_string(plot, "", "load: file for a plot of the results (SVG)");
DEFINE_string(json_file, "", "load: file for the results (JSON)");

namespace jujuberock {

namespace {

bool WriteFile(const std::string& path, const std::string& text) {
  if (path.empty())
    return true;
  std::ofstream file(path);
  file << text;
  file.close();
  if (file)
    return true;
  std::cerr << "jujuberock: can not write " << path << "\n";
  return false;
}

}  // namespace

int RunLoad(const CommandLine& line) {
  if (!line.arguments.empty() || FLAGS_seeds == 0 || FLAGS_threads == 0) {
    std::cerr << "usage: jujuberock load [--seeds N] [--first_seed N] "
                 "[--threads N] [--ablations] [--plot FILE] [--json_file "
                 "FILE]\n";
    return kExitUsage;
  }
  load::PolicyExperimentOptions options;
  options.seeds = FLAGS_seeds;
  options.first_seed = FLAGS_first_seed;
  options.threads = FLAGS_threads;
  options.ablations = FLAGS_ablations;
  const load::ExperimentReport report = load::RunPolicyExperiment(options);
  std::cout << report.table;
  const bool written = WriteFile(FLAGS_plot, report.svg) &&
                       WriteFile(FLAGS_json_file, report.json);
  return written ? kExitOk : kExitFailed;
}

}  // namespace jujuberock
