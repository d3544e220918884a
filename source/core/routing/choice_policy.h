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

// An endpoint that can take a request, with what is predicted for it.
struct Candidate {
  bool own_zone = true;
  // Requests per slot.
  double occupancy = 0;
  // Leading blocks of the prompt that the index states for the endpoint.
  uint32_t matched_blocks = 0;
  // Blocks to restore after the matched ones.
  uint32_t restored_blocks = 0;
  double wait_seconds = 0;
  // From now to the first token, with that restore.
  double first_token_seconds = 0;
  // Prefill time of blocks that some other holder has.
  double recompute_seconds = 0;
  // Until the last restored block has arrived.
  double restore_seconds = 0;
  // Time for which the restore occupies links.
  double link_seconds = 0;
};

// What a policy may use besides the candidates.
struct ChoiceContext {
  const PolicyWeights& weights;
  uint32_t prompt_blocks = 0;
  // Until the deadline.
  double seconds_left = 0;
  common::Random& random;
};

// Picks one of at least one candidate. Stateless.
class ChoicePolicy {
 public:
  virtual ~ChoicePolicy() = default;

  virtual std::string_view name() const = 0;
  // Whether candidates should include restores and turns be exported.
  virtual bool uses_stores() const { return false; }
  virtual size_t Pick(std::span<const Candidate> candidates,
                      const ChoiceContext& context) const = 0;
};

// Baseline: any endpoint with equal probability.
std::unique_ptr<ChoicePolicy> MakeRandomPolicy();

// Baseline: the endpoint with the fewest requests per slot.
std::unique_ptr<ChoicePolicy> MakeLeastLoadedPolicy();

// Baseline: the endpoint with the longest cached prefix, unless it covers less
// than half of the prompt or the endpoint is much fuller than the emptiest;
// then the least loaded.
std::unique_ptr<ChoicePolicy> MakePrefixAffinityPolicy();

// Baseline: the shortest predicted first token, without restore.
std::unique_ptr<ChoicePolicy> MakePredictedPrefixPolicy();

// The policy of the system: predicted first token with the cheaper of
// recompute and restore, plus the costs that PolicyWeights state.
std::unique_ptr<ChoicePolicy> MakeRestoringPolicy();

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_CHOICE_POLICY_H_
