#ifndef CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
#define CORE_DISPATCH_FIRST_TOKEN_MODEL_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Learns how long the engines of a service take to the first token: a constant
// plus a time for each prompt token that is read before it. Online median
// regression: each observation moves the parameters by a bounded step, so that
// times from a disturbance (a slow store, a crashed engine) neither spoil the
// prediction nor last in it. Least squares did both: after one slow store it
// predicted lateness everywhere, and what is refused is never observed again.
// Not thread-safe.
class FirstTokenModel {
 public:
  // `tokens`: uncached tokens of the prompt and of those before it.
  void Observe(int64_t tokens, common::Duration first_token);
  common::Duration Predict(int64_t tokens) const;

  // Milliseconds that one token takes.
  double token_ms() const { return this->slope_ms; }
  double base_ms() const { return this->intercept_ms; }

 private:
  static constexpr double kPriorTokenMs = 0.02;
  static constexpr double kPriorBaseMs = 60;
  static constexpr double kLeastTokenMs = 0.004;
  static constexpr double kMostTokenMs = 0.1;
  // An idle engine must never seem too slow for a usual target.
  static constexpr double kMostBaseMs = 200;
  static constexpr double kBaseStepMs = 0.8;
  // Relative step of the time for a token, for a prompt of kStepTokens.
  static constexpr double kTokenStep = 0.006;
  static constexpr double kStepTokens = 8000;

  double slope_ms = kPriorTokenMs;
  double intercept_ms = kPriorBaseMs;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
