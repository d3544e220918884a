#include "core/dispatch/first_token_model.h"

#include <algorithm>

namespace jujuberock::dispatch {

void FirstTokenModel::Observe(int64_t tokens, common::Duration first_token) {
  const auto x = static_cast<double>(tokens);
  const double y = common::ToMilliseconds(first_token);
  this->weight = this->weight * kDecay + 1;
  this->sum_x = this->sum_x * kDecay + x;
  this->sum_y = this->sum_y * kDecay + y;
  this->sum_xx = this->sum_xx * kDecay + x * x;
  this->sum_xy = this->sum_xy * kDecay + x * y;
  if (this->weight >= kLeastWeight)
    this->Fit();
}

void FirstTokenModel::Fit() {
  const double variance =
      this->weight * this->sum_xx - this->sum_x * this->sum_x;
  if (variance > 0) {
    const double covariance =
        this->weight * this->sum_xy - this->sum_x * this->sum_y;
    this->slope_ms =
        std::clamp(covariance / variance, kLeastTokenMs, kMostTokenMs);
  }
  const double mean_rest =
      (this->sum_y - this->slope_ms * this->sum_x) / this->weight;
  this->intercept_ms = std::clamp(mean_rest, 0.0, kMostBaseMs);
}

common::Duration FirstTokenModel::Predict(int64_t tokens) const {
  return common::FromSeconds(
      (this->intercept_ms + this->slope_ms * static_cast<double>(tokens)) /
      1000);
}

}  // namespace jujuberock::dispatch
