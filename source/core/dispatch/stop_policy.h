#ifndef CORE_DISPATCH_STOP_POLICY_H_
#define CORE_DISPATCH_STOP_POLICY_H_

#include <optional>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// A request that arrives while its host stops.
struct StoppingRequest {
  // Time until its deadline, at which it certainly ends.
  common::Duration remaining{0};
  // Expected duration, from those of similar requests; nullopt if none is
  // known.
  std::optional<common::Duration> expected;
  bool is_repeatable = false;
};

// Whether the request is expected to end within `left`, the time until the host
// ends what is still in progress.
bool MayStartWhileStopping(const StoppingRequest& request,
                           common::Duration left);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_STOP_POLICY_H_
