#include "core/dispatch/admission_policy.h"

#include <algorithm>

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

using common::Scale;

// A request is held this share of its target at most; longer holding takes the
// time that another host or a second try would need.
constexpr double kHoldShare = 0.2;
// Without any endpoint the request waits longer: endpoints come back.
constexpr double kHoldShareWithoutEndpoint = 0.5;
// A request that can not be on time any more is sent only where the wait is
// below this share of the target.
constexpr double kLateLoad = 0.6;
constexpr common::Duration kLeastRetryAfter = std::chrono::milliseconds(100);

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& request,
                                  const std::optional<Choice>& choice) {
  if (!choice) {
    const auto hold =
        std::min(Scale(request.target_latency, kHoldShareWithoutEndpoint),
                 request.remaining / 2);
    if (request.held < hold)
      return {AdmissionStep::kWait};
    return {AdmissionStep::kRefuse,
            std::max(kLeastRetryAfter, request.target_latency / 2)};
  }
  if (choice->idle)
    return {AdmissionStep::kSend};
  const auto left = request.target_latency - request.elapsed;
  const bool can_be_on_time = left > choice->predicted;
  if (can_be_on_time)
    return {AdmissionStep::kSend};
  const bool is_late = left <= common::Duration(0);
  if (is_late && choice->predicted < Scale(request.target_latency, kLateLoad))
    return {AdmissionStep::kSend};
  if (request.held < Scale(request.target_latency, kHoldShare) &&
      request.held < request.remaining / 2)
    return {AdmissionStep::kWait};
  return {AdmissionStep::kRefuse,
          std::max(kLeastRetryAfter, choice->predicted - left / 2)};
}

}  // namespace jujuberock::dispatch
