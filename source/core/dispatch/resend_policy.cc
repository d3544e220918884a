#include "core/dispatch/resend_policy.h"

namespace jujuberock::dispatch {

namespace {

// Maximum connection attempts of one request that ran into the connect timeout.
constexpr int64_t kMaxSlowConnects = 3;
// Maximum sends of one request that failed at once, because nothing listens at
// the address or another process does. They cost a few milliseconds each.
constexpr int64_t kMaxQuickFailures = 12;

}  // namespace

std::optional<GiveUpReason> CheckResend(const ResendRequest& request) {
  if (request.runs > 0 && !request.is_repeatable)
    return GiveUpReason::kNotRepeatable;
  // A started response can only be resumed after an event that has an id.
  if (request.has_started && !request.has_event_id)
    return GiveUpReason::kNoEventId;
  // A request that has not run can be refused, which is better than many sends
  // to endpoints that are full. One that may have run can't be refused any
  // more, so only its runs count.
  // A send that another process has answered was no attempt at the endpoint.
  const int64_t attempts = request.runs > 0
                               ? request.runs
                               : request.sends - request.misdirected_sends;
  if (attempts >= request.max_attempts)
    return GiveUpReason::kAttempts;
  if (request.slow_connects >= kMaxSlowConnects ||
      request.quick_failures >= kMaxQuickFailures)
    return GiveUpReason::kConnects;
  if (request.admission.remaining <= kMinTimeToAnswer)
    return GiveUpReason::kTime;
  return std::nullopt;
}

bool TakeRetry(const ResendRequest& request,
               RetryWindow& retries,
               common::TimePoint now) {
  const bool needs_retry = request.sends > 0 && !request.holds_retry;
  return !needs_retry || retries.TryRetry(request.service, now);
}

std::optional<EndpointChoice> ReserveResend(const ResendRequest& request,
                                            SendRequirements requirements,
                                            ServicePool& pool,
                                            RetryWindow& retries,
                                            common::TimePoint now) {
  if (CheckResend(request))
    return std::nullopt;
  requirements.ready_only = request.needs_ready;
  const auto choice = pool.Choose(requirements, now);
  if (!choice || choice->predicted >= request.admission.remaining ||
      DecideAdmission(request.admission, choice).step != AdmissionStep::kSend)
    return std::nullopt;
  if (!TakeRetry(request, retries, now))
    return std::nullopt;
  return choice;
}

}  // namespace jujuberock::dispatch
