#include "core/admission/concurrency_limit.h"

#include <algorithm>

namespace jujuberock::admission {

ConcurrencyLimit::ConcurrencyLimit(uint32_t max_limit)
    : max_limit(std::max(kMinimum, max_limit)), limit(this->max_limit) {}

void ConcurrencyLimit::SetMax(uint32_t next) {
  this->max_limit = std::max(kMinimum, next);
  this->limit = std::min(this->limit, static_cast<double>(this->max_limit));
}

void ConcurrencyLimit::OnFirstToken(common::Duration elapsed,
                                    common::Duration patience,
                                    uint32_t running) {
  const double target = kTargetShare * common::ToSeconds(patience);
  if (target <= 0)
    return;
  const double earliness =
      std::max(-1.0, 1 - common::ToSeconds(elapsed) / target);
  // Early first tokens below the limit do not show that a higher limit would
  // work.
  if (earliness > 0 && running + 1 < this->limit)
    return;
  this->limit =
      std::clamp(this->limit + kGain * earliness, static_cast<double>(kMinimum),
                 static_cast<double>(this->max_limit));
}

}  // namespace jujuberock::admission
