#ifndef STANDIN_TOKEN_BUCKET_H_
#define STANDIN_TOKEN_BUCKET_H_

#include <algorithm>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::standin {

// Limits a stream of units (bytes or calls) to `units_per_s` with bursts of up
// to `burst` units. A rate of zero means unlimited.
class TokenBucket {
 public:
  TokenBucket(double units_per_s, double burst)
      : units_per_s(units_per_s), burst(burst), level(burst) {}

  void SetRate(double rate) { this->units_per_s = rate; }
  double rate() const { return this->units_per_s; }

  // Takes the units immediately, even if the level becomes negative, and
  // returns the time until it is back at zero. Reservations are served in call
  // order.
  common::Duration Reserve(double units, common::TimePoint now) {
    if (this->units_per_s <= 0)
      return common::Duration::zero();
    this->Refill(now);
    this->level -= units;
    return common::FromSeconds(std::max(0.0, -this->level) / this->units_per_s);
  }

  // Takes one unit if available.
  bool TryTake(common::TimePoint now) {
    if (this->units_per_s <= 0)
      return true;
    this->Refill(now);
    if (this->level < 1)
      return false;
    this->level -= 1;
    return true;
  }

 private:
  void Refill(common::TimePoint now) {
    const double seconds = common::ToSeconds(now - this->updated);
    this->level =
        std::min(this->burst, this->level + seconds * this->units_per_s);
    this->updated = now;
  }

  double units_per_s;
  double burst;
  double level;
  common::TimePoint updated;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_TOKEN_BUCKET_H_
