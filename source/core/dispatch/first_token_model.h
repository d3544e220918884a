#ifndef CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
#define CORE_DISPATCH_FIRST_TOKEN_MODEL_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Learns how long the engines of a service take to the first token: a constant
// plus a time for each prompt token that is read before it. Weighted least
// squares over the recent observations, with bounds that keep it sane while it
// has seen little. Not thread-safe.
class FirstTokenModel {
 public:
  // `tokens`: uncached tokens of the prompt and of those before it.
  void Observe(int64_t tokens, common::Duration first_token);
  common::Duration Predict(int64_t tokens) const;

  // Milliseconds that one token takes.
  double token_ms() const { return this->slope_ms; }
  double base_ms() const { return this->intercept_ms; }

 private:
  // An observation weighs half after about 140 more.
  static constexpr double kDecay = 0.995;
  static constexpr double kLeastWeight = 20;
  static constexpr double kPriorTokenMs = 0.02;
  static constexpr double kPriorBaseMs = 60;
  static constexpr double kLeastTokenMs = 0.002;
  static constexpr double kMostTokenMs = 0.2;
  static constexpr double kMostBaseMs = 400;

  void Fit();

  double weight = 0;
  double sum_x = 0;
  double sum_y = 0;
  double sum_xx = 0;
  double sum_xy = 0;
  double slope_ms = kPriorTokenMs;
  double intercept_ms = kPriorBaseMs;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_FIRST_TOKEN_MODEL_H_
