#include "core/dispatch/demand.h"

#include <cmath>

namespace jujuberock::dispatch {

void Demand::Add(double amount, common::TimePoint now) {
  this->rate = this->At(now) + amount / kMemorySeconds;
  this->changed_at = now;
}

double Demand::At(common::TimePoint now) const {
  if (now <= this->changed_at)
    return this->rate;
  const double passed = common::ToSeconds(now - this->changed_at);
  return this->rate * std::exp(-passed / kMemorySeconds);
}

}  // namespace jujuberock::dispatch
