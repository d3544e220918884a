#ifndef CORE_COMMON_SCALE_H_
#define CORE_COMMON_SCALE_H_

#include "core/common/time.h"

namespace jujuberock::common {

// Multiplies a duration by a factor.
constexpr Duration Scale(Duration duration, double factor) {
  return FromSeconds(ToSeconds(duration) * factor);
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_SCALE_H_
