#include "core/admission/concurrency_limit.h"

#include <algorithm>

namespace jujuberock::admission {

ConcurrencyLimit::ConcurrencyLimit(uint32_t most)
    : most(std::max(kMinimum, most)), limit(this->most) {}

void ConcurrencyLimit::SetMost(uint32_t next) {
  this->most = std::max(kMinimum, next);
  this->limit = std::min(this->limit, static_cast<double>(this->most));
}

void ConcurrencyLimit::OnFirstToken(common::Duration elapsed,
                                    common::Duration patience,
                                    uint32_t running) {
  const double target = kTargetShare * common::ToSeconds(patience);
  if (target <= 0)
    return;
  const double early = std::max(-1.0, 1 - common::ToSeconds(elapsed) / target);
  // A limit that is not used says nothing about a higher one.
  if (early > 0 && running + 1 < this->limit)
    return;
  this->limit =
      std::clamp(this->limit + kGain * early, static_cast<double>(kMinimum),
                 static_cast<double>(this->most));
}

}  // namespace jujuberock::admission
