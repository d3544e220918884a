#ifndef CORE_SERVE_JOURNALED_RUN_H_
#define CORE_SERVE_JOURNALED_RUN_H_

#include <string>

#include "core/caller/handler.h"
#include "core/journal/service.h"
#include "core/serve/dependencies.h"
#include "core/serve/request_steps.h"

namespace jujuberock::serve {

// Runs one non-idempotent call of a plain service. The journal ensures that it
// runs at most once.
class JournaledRun {
 public:
  // `status_path` is empty when the service offers no status call.
  JournaledRun(Dependencies& deps,
               const caller::ServiceCall& call,
               const std::string& status_path);

  // Returns the service's answer to this call or to an earlier call with the
  // same key. Throws common::Error with the outcome known to the journal.
  runtime::HttpResponse Execute();

  // Whether the deadline has not passed yet.
  bool in_time() const;

 private:
  runtime::HttpResponse ExecuteThroughJournal();
  bool MayBeCallerRetry() const;
  journal::CallRequest JournalRequest() const;
  journal::ForwardResult Forward(
      const journal::BeforeFirstByte& before_first_byte);
  journal::ServiceCallStatus QueryStatus();

  Dependencies& deps;
  const caller::ServiceCall& call;
  std::string status_path;
  RequestSteps steps;
  routing::RouteRequest route;
  common::UnixTime arrived;
  // Set once the journal has permitted this send to go to an endpoint.
  bool holds_permit = false;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_JOURNALED_RUN_H_
