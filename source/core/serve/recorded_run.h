#ifndef CORE_SERVE_RECORDED_RUN_H_
#define CORE_SERVE_RECORDED_RUN_H_

#include <string>

#include "core/caller/handler.h"
#include "core/journal/service.h"
#include "core/serve/parts.h"
#include "core/serve/request_steps.h"

namespace jujuberock::serve {

// One non-idempotent call of a plain service: it runs at most once, which the
// journal records.
class RecordedRun {
 public:
  // `status_path` is empty when the service offers no status call.
  RecordedRun(Parts& parts,
              const caller::ServiceCall& call,
              const std::string& status_path);

  // The service's answer, now or from an earlier call with the same key.
  // Throws common::Error with the outcome as the journal knows it.
  runtime::HttpResponse Execute();

  // Whether the deadline has not passed yet.
  bool in_time() const;

 private:
  runtime::HttpResponse ExecuteRecorded();
  bool MayBeResend() const;
  journal::CallRequest JournalRequest() const;
  journal::ForwardResult Forward(const journal::BeforeFirstByte& before);
  journal::StatusResult QueryStatus();

  Parts& parts;
  const caller::ServiceCall& call;
  std::string status_path;
  RequestSteps steps;
  routing::RouteRequest route;
  common::UnixTime arrived;
  // Set once the journal lets this send go to an endpoint.
  bool holds_permit = false;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_RECORDED_RUN_H_
