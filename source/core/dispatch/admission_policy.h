#ifndef CORE_DISPATCH_ADMISSION_POLICY_H_
#define CORE_DISPATCH_ADMISSION_POLICY_H_

#include <optional>

#include "core/common/time.h"
#include "core/dispatch/service_pool.h"

namespace jujuberock::dispatch {

enum class AdmissionStep { kSend, kWait, kRefuse };

// Timing of a request that is up for admission.
struct AdmissionRequest {
  common::Duration target_latency{0};
  // Time since the request arrived. It can't be derived from `remaining`, since
  // each caller sets its own deadline.
  common::Duration elapsed{0};
  // Time that the request has been queued on this host.
  common::Duration held{0};
  // Time until the deadline of the request.
  common::Duration remaining{0};
  // Whether the request goes on with a stream that its caller has a part of.
  // The target for the first event does not apply to it any more.
  bool is_continuation = false;
  // Whether the request can be refused: no endpoint has begun to work on it.
  bool may_be_refused = true;
  // Whether another request that waits on this host goes before this one. It
  // may still use an idle endpoint.
  bool must_wait = false;
  // Set if all endpoints have asked for a pause: time until the first one ends.
  std::optional<common::Duration> pause_left;
};

struct AdmissionDecision {
  AdmissionStep step = AdmissionStep::kSend;
  // Set for kRefuse: time after which capacity is expected.
  common::Duration retry_after{0};
  // Set for kWait: time for which the request may go on waiting.
  common::Duration wait_left{0};
};

// Decides whether a request is sent now, stays queued, or is refused early
// enough for its caller to retry elsewhere. A request is never refused while an
// endpoint is idle. Under overload, endpoint time goes to requests that can
// still meet their target latency. One that can't be refused is queued instead.
AdmissionDecision DecideAdmission(const AdmissionRequest& request,
                                  const std::optional<EndpointChoice>& choice);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ADMISSION_POLICY_H_
