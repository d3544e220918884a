#include "core/dispatch/memory_share.h"

#include <algorithm>

namespace jujuberock::dispatch {

void MemoryShare::Observe(const MemoryForecast& forecast,
                          common::Duration first_token) {
  if (forecast.wait <= common::Duration(0)) {
    this->share += kReturnStep * (1 - this->share);
    return;
  }
  const bool has_waited =
      first_token > forecast.without_wait + forecast.wait / 2;
  this->share *= has_waited ? 1 + kStep : 1 - kStep;
  this->share = std::clamp(this->share, kMinShare, 1.0);
}

}  // namespace jujuberock::dispatch
