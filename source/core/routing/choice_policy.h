#ifndef CORE_ROUTING_CHOICE_POLICY_H_
#define CORE_ROUTING_CHOICE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string_view>

#include "core/common/random.h"
#include "core/routing/settings.h"

namespace jujuberock::routing {

// An endpoint that can take a request, with its predicted costs.
struct Candidate {
  bool same_zone = true;
  // Requests per slot.
  double occupancy = 0;
  // Leading blocks of the prompt that, according to the index, the endpoint has
  // cached.
  uint32_t matched_blocks = 0;
  // Blocks to restore from stores, following the matched ones.
  uint32_t restored_blocks = 0;
  double wait_seconds = 0;
  // Predicted time to first token, including the restore.
  double first_token_seconds = 0;
  // Prefill time of blocks that another holder already has.
  double recompute_seconds = 0;
  // Time until the last restored block arrives.
  double restore_seconds = 0;
  // Time during which the restore occupies links.
  double link_seconds = 0;
};

// Inputs of a policy besides the candidates.
struct ChoiceContext {
  const PolicyWeights& weights;
  uint32_t prompt_blocks = 0;
  // Time until the deadline.
  double seconds_left = 0;
  common::Random& random;
};

// Selects an endpoint from a non-empty list of candidates. Stateless.
class ChoicePolicy {
 public:
  virtual ~ChoicePolicy() = default;

  virtual std::string_view name() const = 0;
  // Whether candidates include restores from stores and finished turns are
  // exported to stores.
  virtual bool uses_stores() const { return false; }
  virtual size_t Pick(std::span<const Candidate> candidates,
                      const ChoiceContext& context) const = 0;
};

// Baseline: a uniformly random endpoint.
std::unique_ptr<ChoicePolicy> MakeRandomPolicy();

// Baseline: the endpoint with the fewest requests per slot.
std::unique_ptr<ChoicePolicy> MakeLeastLoadedPolicy();

// Baseline: the endpoint with the longest cached prefix. Falls back to the
// least loaded endpoint if the match covers less than half of the prompt or if
// the matching endpoint is much more loaded than the least loaded one.
std::unique_ptr<ChoicePolicy> MakePrefixAffinityPolicy();

// Baseline: the shortest predicted time to first token, without restores.
std::unique_ptr<ChoicePolicy> MakePredictedPrefixPolicy();

// The production policy: the shortest predicted time to first token, where
// blocks are recomputed or restored, whichever is cheaper, plus the costs
// defined in PolicyWeights.
std::unique_ptr<ChoicePolicy> MakeRestoringPolicy();

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_CHOICE_POLICY_H_
