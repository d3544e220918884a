#include "core/dispatch/stop_policy.h"

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

// Times the expected duration that must be left. Endpoints get slower
// while callers move from a stopping host to others.
constexpr double kMargin = 1.25;
// The same for a request that must not be repeated. Its caller can do nothing
// about a run whose outcome is unknown, and loses little by a refusal.
constexpr double kNonRepeatableMargin = 1.6;

}  // namespace

bool MayStartWhileStopping(const StoppingRequest& request,
                           common::Duration left) {
  if (request.remaining <= left)
    return true;
  if (!request.expected)
    return false;
  const double margin = request.is_repeatable ? kMargin : kNonRepeatableMargin;
  return common::Scale(*request.expected, margin) <= left;
}

}  // namespace jujuberock::dispatch
