#include "core/routing/choice_policy.h"

#include <limits>

namespace jujuberock::routing {

namespace {

// Returns the index of the candidate with the lowest cost. Ties are broken at
// random, so that hosts with the same view do not all select the same endpoint.
template <typename Cost>
std::optional<size_t> PickLowestCost(std::span<const Candidate> candidates,
                                     common::Random& random,
                                     const Cost& cost) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  uint64_t ties = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const double value = cost(candidates[i]);
    if (value > best_cost || value == std::numeric_limits<double>::infinity())
      continue;
    ties = value < best_cost ? 1 : ties + 1;
    if (ties == 1 || random.NextBelow(ties) == 0)
      best = i;
    best_cost = value;
  }
  return best;
}

size_t PickLeastLoaded(std::span<const Candidate> candidates,
                       common::Random& random) {
  return PickLowestCost(candidates, random,
                        [](const Candidate& c) { return c.occupancy; })
      .value_or(0);
}

class RandomPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "random"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return context.random.NextBelow(candidates.size());
  }
};

class LeastLoadedPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "least-loaded"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return PickLeastLoaded(candidates, context.random);
  }
};

class PrefixAffinityPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "prefix-affinity"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    const size_t least_loaded = PickLeastLoaded(candidates, context.random);
    const double limit = candidates[least_loaded].occupancy + kMaxImbalance;
    const auto longest =
        PickLowestCost(candidates, context.random, [](const Candidate& c) {
          return -static_cast<double>(c.matched_blocks) + 0.001 * c.occupancy;
        });
    if (!longest)
      return least_loaded;
    const Candidate& match = candidates[*longest];
    if (match.occupancy > limit ||
        match.matched_blocks < kMinMatchShare * context.prompt_blocks) {
      return least_loaded;
    }
    return *longest;
  }

 private:
  // Minimum share of the prompt's blocks that a match must cover.
  static constexpr double kMinMatchShare = 0.5;
  // Maximum difference in requests per slot between the matching endpoint and
  // the least loaded one.
  static constexpr double kMaxImbalance = 0.25;
};

class PredictedPrefixPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "predicted-prefix"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return PickLowestCost(candidates, context.random,
                          [](const Candidate& c) {
                            return c.first_token_seconds +
                                   kSecondsPerOccupancy * c.occupancy;
                          })
        .value_or(0);
  }

 private:
  static constexpr double kSecondsPerOccupancy = 0.02;
};

class RestoringPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "restoring"; }
  bool uses_stores() const override { return true; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return PickLowestCost(
               candidates, context.random,
               [&](const Candidate& c) { return CostOf(c, context); })
        .value_or(0);
  }

 private:
  // Cost per request per slot: decoding slows down with the batch size, which
  // the predicted time to first token does not include.
  static constexpr double kSecondsPerOccupancy = 0.02;

  // Penalty for missing the deadline: any endpoint that meets it is better than
  // one that does not.
  static constexpr double kMissedDeadlinePenalty = 60;

  static double CostOf(const Candidate& c, const ChoiceContext& context) {
    const PolicyWeights& weights = context.weights;
    const bool other_zone = weights.zone_preference && !c.same_zone;
    const bool late = c.first_token_seconds > context.seconds_left;
    return c.first_token_seconds + (late ? kMissedDeadlinePenalty : 0) +
           weights.recompute_cost * c.recompute_seconds +
           weights.link_cost * c.link_seconds +
           (other_zone ? weights.zone_cost : 0) +
           kSecondsPerOccupancy * c.occupancy;
  }
};

}  // namespace

std::unique_ptr<ChoicePolicy> MakeRandomPolicy() {
  return std::make_unique<RandomPolicy>();
}

std::unique_ptr<ChoicePolicy> MakeLeastLoadedPolicy() {
  return std::make_unique<LeastLoadedPolicy>();
}

std::unique_ptr<ChoicePolicy> MakePrefixAffinityPolicy() {
  return std::make_unique<PrefixAffinityPolicy>();
}

std::unique_ptr<ChoicePolicy> MakePredictedPrefixPolicy() {
  return std::make_unique<PredictedPrefixPolicy>();
}

std::unique_ptr<ChoicePolicy> MakeRestoringPolicy() {
  return std::make_unique<RestoringPolicy>();
}

}  // namespace jujuberock::routing
