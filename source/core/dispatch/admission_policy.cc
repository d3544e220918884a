#include "core/dispatch/admission_policy.h"

#include <algorithm>

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

using common::Scale;

// Largest share of the target latency that a request is queued on this host.
// Queueing it for longer would use up the time that another host or a retry
// needs.
constexpr double kMaxHoldShare = 0.2;
// The same limit while no endpoint is available. It is higher because endpoints
// often come back.
constexpr double kMaxHoldShareWithoutEndpoint = 0.5;
// A request that has already missed its target is sent only if the predicted
// time to the first byte is below this share of the target.
constexpr double kMaxLateWaitShare = 0.6;
constexpr common::Duration kMinRetryAfter = std::chrono::milliseconds(100);

AdmissionDecision WaitFor(common::Duration left) {
  AdmissionDecision decision{AdmissionStep::kWait};
  decision.wait_left = left;
  return decision;
}

AdmissionDecision DecideForRefusable(
    const AdmissionRequest& request,
    const std::optional<EndpointChoice>& choice) {
  if (!choice) {
    const auto longest_hold =
        request.is_continuation
            ? request.remaining
            : Scale(request.target_latency, kMaxHoldShareWithoutEndpoint);
    const auto max_hold = std::min(longest_hold, request.remaining / 2);
    const bool is_unservable =
        request.pause_left && request.held + *request.pause_left > max_hold;
    if (is_unservable)
      return {AdmissionStep::kRefuse,
              std::max(kMinRetryAfter, *request.pause_left)};
    if (request.held < max_hold)
      return WaitFor(max_hold - request.held);
    return {AdmissionStep::kRefuse,
            std::max(kMinRetryAfter, request.target_latency / 2)};
  }
  // What the caller has of a stream is worth nothing without the rest.
  const bool can_continue =
      request.is_continuation && choice->predicted < request.remaining / 2;
  if (choice->idle || can_continue)
    return {AdmissionStep::kSend};
  const auto left = request.target_latency - request.elapsed;
  // Other requests need the room more.
  const bool may_overtake = !request.must_wait;
  const bool can_be_on_time = left > choice->predicted;
  if (can_be_on_time && may_overtake)
    return {AdmissionStep::kSend};
  const bool is_late = left <= common::Duration(0);
  if (is_late && may_overtake &&
      choice->predicted < Scale(request.target_latency, kMaxLateWaitShare))
    return {AdmissionStep::kSend};
  const auto max_hold = std::min(Scale(request.target_latency, kMaxHoldShare),
                                 request.remaining / 2);
  if (request.held < max_hold)
    return WaitFor(max_hold - request.held);
  return {AdmissionStep::kRefuse,
          std::max(kMinRetryAfter, choice->predicted - left / 2)};
}

}  // namespace

AdmissionDecision DecideAdmission(const AdmissionRequest& request,
                                  const std::optional<EndpointChoice>& choice) {
  const AdmissionDecision decision = DecideForRefusable(request, choice);
  if (decision.step == AdmissionStep::kRefuse && !request.may_be_refused)
    return WaitFor(request.remaining);
  return decision;
}

}  // namespace jujuberock::dispatch
