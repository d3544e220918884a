#ifndef CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
#define CORE_DISPATCH_FIRST_TOKEN_MODEL_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Predicts the time to first token (TTFT) of the engines of a service: a
// constant plus a time for each prompt token that is prefilled before it. Uses
// online median regression: each observation moves the parameters by a bounded
// step, so outliers from a disturbance (a slow store, a crashed engine) neither
// distort the prediction nor persist in it. Least squares did both: after one
// slow store it predicted late answers everywhere, and it never recovered,
// because refused requests yield no observations. Not thread-safe.
class FirstTokenModel {
 public:
  // `tokens` are the uncached tokens of the prompt and of the prompts ahead of
  // it.
  void Observe(int64_t tokens, common::Duration first_token);
  common::Duration Predict(int64_t tokens) const;

  // Prefill time of one token, in milliseconds.
  double token_ms() const { return this->slope_ms; }
  double base_ms() const { return this->intercept_ms; }

 private:
  static constexpr double kPriorTokenMs = 0.02;
  static constexpr double kPriorBaseMs = 60;
  static constexpr double kMinTokenMs = 0.004;
  static constexpr double kMaxTokenMs = 0.1;
  // Keeps the prediction for an idle engine below the usual target latencies.
  static constexpr double kMaxBaseMs = 200;
  static constexpr double kBaseStepMs = 0.8;
  // Relative step of the time per token for a prompt of at least
  // kFullStepTokens; shorter prompts move it proportionally less.
  static constexpr double kTokenStepRatio = 0.006;
  static constexpr double kFullStepTokens = 8000;

  double slope_ms = kPriorTokenMs;
  double intercept_ms = kPriorBaseMs;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
