#include "core/runtime/sleep.h"

#include <boost/fiber/operations.hpp>

namespace jujuberock::runtime {

void SleepFor(common::Duration duration) {
  boost::this_fiber::sleep_for(duration);
}

}  // namespace jujuberock::runtime
