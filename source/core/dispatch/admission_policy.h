#ifndef CORE_DISPATCH_ADMISSION_POLICY_H_
#define CORE_DISPATCH_ADMISSION_POLICY_H_

#include <optional>

#include "core/common/time.h"
#include "core/dispatch/service_pool.h"

namespace jujuberock::dispatch {

enum class AdmissionStep { kSend, kWait, kRefuse };

// What is known of a request that asks to be sent.
struct AdmissionRequest {
  common::Duration target_latency{0};
  // Time since the request arrived. What callers still wait does not tell how
  // long they have waited: each has a budget of its own.
  common::Duration elapsed{0};
  // Time that it has waited on this host.
  common::Duration held{0};
  // Time until the request ends anyway.
  common::Duration remaining{0};
};

struct AdmissionDecision {
  AdmissionStep step = AdmissionStep::kSend;
  // After kRefuse: when a place can be expected.
  common::Duration retry_after{0};
};

// Decides whether a request is sent now, waits for a better moment, or is
// refused while its caller can still use the refusal. A request is never
// refused while an endpoint is idle. Under overload the endpoints' time goes
// to requests that will still be on time.
AdmissionDecision DecideAdmission(const AdmissionRequest& request,
                                  const std::optional<Choice>& choice);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ADMISSION_POLICY_H_
