#include "core/dispatch/first_token_model.h"

#include <algorithm>

namespace jujuberock::dispatch {

void FirstTokenModel::Observe(int64_t tokens, common::Duration first_token) {
  const double observed = common::ToMilliseconds(first_token);
  const double expected = common::ToMilliseconds(this->Predict(tokens));
  const double direction = observed > expected ? 1 : -1;
  const double slope_share =
      std::min(1.0, static_cast<double>(tokens) / kFullStepTokens);
  // Short prompts mainly determine the constant, long ones the time per token.
  this->intercept_ms = std::clamp(
      this->intercept_ms + direction * kBaseStepMs * (1 - slope_share), 0.0,
      kMaxBaseMs);
  this->slope_ms = std::clamp(
      this->slope_ms * (1 + direction * kTokenStepRatio * slope_share),
      kMinTokenMs, kMaxTokenMs);
}

common::Duration FirstTokenModel::Predict(int64_t tokens) const {
  return common::FromSeconds(
      (this->intercept_ms + this->slope_ms * static_cast<double>(tokens)) /
      1000);
}

}  // namespace jujuberock::dispatch
