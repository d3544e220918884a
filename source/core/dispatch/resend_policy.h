#ifndef CORE_DISPATCH_RESEND_POLICY_H_
#define CORE_DISPATCH_RESEND_POLICY_H_

#include <cstdint>
#include <optional>
#include <string_view>

#include "core/common/name_table.h"
#include "core/common/time.h"
#include "core/dispatch/admission_policy.h"
#include "core/dispatch/retry_window.h"
#include "core/dispatch/service_pool.h"

namespace jujuberock::dispatch {

// Why a request is not sent to another endpoint.
enum class GiveUpReason {
  kNotRepeatable,  // it may have run, and its route allows one run
  kNoEventId,      // its answer has started with events that have no id
  kAttempts,       // the route allows no more sends
  kConnects,       // too many endpoints could not be reached
  kTime,           // its deadline is too near
  kRetryBudget,    // the service gets no more retries for now
  kNoEndpoint,     // no endpoint may take it
};

inline constexpr common::NameTable<GiveUpReason, 7> kGiveUpReasonNames(
    {"not_repeatable", "no_event_id", "attempts", "connects", "time",
     "retry_budget", "no_endpoint"});

// A request that an endpoint has not answered yet, or not to the end.
struct ResendRequest {
  std::string_view service;
  // Whether the route allows more than one run.
  bool is_repeatable = false;
  // Whether a part of the answer was passed on, and whether its last event had
  // an id.
  bool has_started = false;
  bool has_event_id = false;
  // Sends that reached an endpoint, and those of them that may have run.
  int64_t sends = 0;
  int64_t runs = 0;
  int64_t max_attempts = 1;
  // Sends that another process at the endpoint's address has turned away. They
  // are part of `sends`, and of the retries that the budget counts.
  int64_t misdirected_sends = 0;
  // Sends that failed because no connection was opened in time, and those that
  // failed at once: refused connections and misdirected sends.
  int64_t slow_connects = 0;
  int64_t quick_failures = 0;
  // Whether a retry that this request has taken from the budget is still
  // unused.
  bool holds_retry = false;
  // Whether the next endpoint must be ready, because the send in progress may
  // still be answered.
  bool needs_ready = true;
  AdmissionRequest admission;
};

// Time that an endpoint needs at least to answer.
inline constexpr common::Duration kMinTimeToAnswer =
    std::chrono::milliseconds(10);

// Returns why the request may not be sent again, regardless of the retry budget
// and of the endpoints.
std::optional<GiveUpReason> CheckResend(const ResendRequest& request);

// Takes the retry that the next send needs from the budget, if it needs one
// that the request does not hold yet. Returns false if the budget is used up.
bool TakeRetry(const ResendRequest& request,
               RetryWindow& retries,
               common::TimePoint now);

// Prepares to move a request while an endpoint still works on it: chooses the
// next endpoint and takes a retry from the budget. Returns nothing, and takes
// nothing, if the request may not be sent again or no endpoint is ready for it.
// The send in progress must then go on, because it may be the only one that can
// answer.
std::optional<EndpointChoice> ReserveResend(const ResendRequest& request,
                                            SendRequirements requirements,
                                            ServicePool& pool,
                                            RetryWindow& retries,
                                            common::TimePoint now);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_RESEND_POLICY_H_
