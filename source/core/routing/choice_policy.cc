#include "core/routing/choice_policy.h"

#include <limits>

namespace jujuberock::routing {

namespace {

// Returns the index with the lowest cost; equal costs are drawn by lot, so that
// hosts with the same view do not all choose the same endpoint.
template <typename Cost>
std::optional<size_t> PickLowest(std::span<const Candidate> candidates,
                                 common::Random& random,
                                 const Cost& cost) {
  std::optional<size_t> best;
  double best_cost = std::numeric_limits<double>::infinity();
  uint64_t equal = 0;
  for (size_t i = 0; i < candidates.size(); ++i) {
    const double value = cost(candidates[i]);
    if (value > best_cost || value == std::numeric_limits<double>::infinity())
      continue;
    equal = value < best_cost ? 1 : equal + 1;
    if (equal == 1 || random.Below(equal) == 0)
      best = i;
    best_cost = value;
  }
  return best;
}

size_t PickLeastLoaded(std::span<const Candidate> candidates,
                       common::Random& random) {
  return PickLowest(candidates, random,
                    [](const Candidate& c) { return c.occupancy; })
      .value_or(0);
}

class RandomPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "random"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return context.random.Below(candidates.size());
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
    const size_t emptiest = PickLeastLoaded(candidates, context.random);
    const double limit = candidates[emptiest].occupancy + kMaxImbalance;
    const auto longest =
        PickLowest(candidates, context.random, [](const Candidate& c) {
          return -static_cast<double>(c.matched_blocks) + 0.001 * c.occupancy;
        });
    if (!longest)
      return emptiest;
    const Candidate& match = candidates[*longest];
    if (match.occupancy > limit ||
        match.matched_blocks < kMinMatch * context.prompt_blocks) {
      return emptiest;
    }
    return *longest;
  }

 private:
  // Share of the prompt's blocks that a match must cover.
  static constexpr double kMinMatch = 0.5;
  // Requests per slot by which the match may be fuller than the emptiest.
  static constexpr double kMaxImbalance = 0.25;
};

class PredictedPrefixPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "predicted-prefix"; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return PickLowest(candidates, context.random,
                      [](const Candidate& c) {
                        return c.first_token_seconds +
                               kOccupancySeconds * c.occupancy;
                      })
        .value_or(0);
  }

 private:
  static constexpr double kOccupancySeconds = 0.02;
};

class RestoringPolicy : public ChoicePolicy {
 public:
  std::string_view name() const override { return "restoring"; }
  bool uses_stores() const override { return true; }
  size_t Pick(std::span<const Candidate> candidates,
              const ChoiceContext& context) const override {
    return PickLowest(candidates, context.random,
                      [&](const Candidate& c) { return CostOf(c, context); })
        .value_or(0);
  }

 private:
  // Decoding slows down with the number of requests in the batch, which the
  // prediction of the first token does not show.
  static constexpr double kOccupancySeconds = 0.02;

  // Added when the deadline would be missed: any endpoint that meets it is
  // better than one that does not.
  static constexpr double kLateSeconds = 60;

  static double CostOf(const Candidate& c, const ChoiceContext& context) {
    const PolicyWeights& weights = context.weights;
    const bool crosses = weights.zone_preference && !c.own_zone;
    const bool late = c.first_token_seconds > context.seconds_left;
    return c.first_token_seconds + (late ? kLateSeconds : 0) +
           weights.recompute_cost * c.recompute_seconds +
           weights.link_cost * c.link_seconds +
           (crosses ? weights.zone_cost : 0) + kOccupancySeconds * c.occupancy;
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
