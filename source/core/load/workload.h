#ifndef CORE_LOAD_WORKLOAD_H_
#define CORE_LOAD_WORKLOAD_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

#include "core/common/random.h"
#include "core/common/time.h"
#include "core/load/deployment.h"
#include "core/routing/block_key.h"

namespace jujuberock::load {

struct Turn {
  size_t conversation = 0;
  size_t team = 0;
  size_t zone = 0;
  std::vector<routing::BlockKey> keys;
  uint64_t prompt_tokens = 0;
  uint64_t output_tokens = 0;
};

// Simulates the callers of a deployment: conversations that return after gaps.
class Workload {
 public:
  Workload(const WorkloadParameters& parameters, size_t zones, uint64_t seed);

  // Time until the next turn begins, at this rate factor.
  common::Duration NextDelay(double factor);
  // Returns a turn of a conversation whose gap is over, or nullopt if there is
  // none.
  std::optional<Turn> NextTurn(common::TimePoint now);
  // Must be called when a turn has been answered or given up.
  void EndTurn(size_t conversation, common::TimePoint now);

 private:
  struct Conversation {
    size_t team = 0;
    size_t zone = 0;
    uint64_t shared_prefix = 0;
    size_t shared_blocks = 0;
    // Unique per conversation; changes when a new conversation replaces this
    // one.
    uint64_t instance = 0;
    double private_tokens = 0;
    size_t turns_left = 0;
  };
  struct Idle {
    size_t conversation = 0;
    common::TimePoint since;
  };

  void StartConversation(Conversation& conversation);
  void GrowHistory(Conversation& conversation);

  WorkloadParameters parameters;
  common::Random random;
  uint64_t next_instance = 1;
  std::vector<double> team_shares;
  std::vector<size_t> shared_blocks;
  std::vector<Conversation> conversations;
  std::vector<Idle> idle;
};

// Each team's share of the traffic; the shares sum to one.
std::vector<double> TeamShares(size_t teams, double skew);

}  // namespace jujuberock::load

#endif  // CORE_LOAD_WORKLOAD_H_
