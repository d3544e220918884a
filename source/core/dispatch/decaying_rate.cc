#include "core/dispatch/decaying_rate.h"

#include <cmath>

namespace jujuberock::dispatch {

void DecayingRate::Add(double amount, common::TimePoint now) {
  this->rate = this->At(now) + amount / kTimeConstantSeconds;
  this->changed_at = now;
}

double DecayingRate::At(common::TimePoint now) const {
  if (now <= this->changed_at)
    return this->rate;
  const double passed = common::ToSeconds(now - this->changed_at);
  return this->rate * std::exp(-passed / kTimeConstantSeconds);
}

}  // namespace jujuberock::dispatch
