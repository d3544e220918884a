#ifndef CORE_LOAD_DEPLOYMENT_H_
#define CORE_LOAD_DEPLOYMENT_H_

#include <string>
#include <vector>

#include "core/load/simulated_engine.h"

namespace jujuberock::load {

// The prompts of a deployment. A conversation begins with one of its team's
// shared prefixes, if there are any, continues with a private history that
// grows with each turn, and ends after a number of turns; then its caller
// starts another one.
struct WorkloadParameters {
  size_t teams = 0;
  // Team i has weight (i + 1) ^ -skew, so that a few teams are large.
  double team_skew = 0;
  size_t shared_prefixes_per_team = 0;
  // The length of a shared prefix is uniform between these two.
  size_t min_shared_blocks = 0;
  size_t max_shared_blocks = 0;
  // Private blocks of the first turn, and those added by each later turn.
  double first_blocks = 0;
  double blocks_per_turn = 0;
  double mean_turns = 0;
  // Time between the end of an answer and the next turn.
  double mean_gap_seconds = 0;
  double min_gap_seconds = 0;
  double mean_output_tokens = 0;
  // Turns per second at rate factor 1.
  double turns_per_second = 0;
  // Rate factors; each applies to an equal part of the measured time.
  std::vector<double> rate_factors;
};

struct Deployment {
  std::string name;
  std::vector<std::string> zones;
  // Zone of each host, as an index into `zones`.
  std::vector<size_t> host_zones;
  size_t engine_count = 0;
  std::vector<std::string> stores;
  EngineParameters engine;
  StoreParameters store;
  common::Duration patience{0};
  WorkloadParameters workload;
};

// Long shared rule texts; clerks return after gaps.
Deployment Koperasi();
// Short private histories; a morning peak between quiet hours.
Deployment Canelones();

}  // namespace jujuberock::load

#endif  // CORE_LOAD_DEPLOYMENT_H_
