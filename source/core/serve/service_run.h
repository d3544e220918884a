#ifndef CORE_SERVE_SERVICE_RUN_H_
#define CORE_SERVE_SERVICE_RUN_H_

#include <string>

#include "core/caller/handler.h"
#include "core/runtime/http_types.h"
#include "core/serve/parts.h"
#include "core/serve/request_steps.h"

namespace jujuberock::serve {

// One idempotent call of a plain service, as a sequence of steps.
class ServiceRun {
 public:
  ServiceRun(Parts& parts, const caller::ServiceCall& call);

  // The service's answer. Throws common::Error when there is none.
  runtime::HttpResponse Execute();

  // Whether the deadline has not passed yet.
  bool in_time() const;

 private:
  runtime::HttpResponse RunWithRetry();
  runtime::HttpResponse RunAttempt();

  Parts& parts;
  const caller::ServiceCall& call;
  RequestSteps steps;
  routing::RouteRequest route;
  bool dispatched = false;
};

// What the router needs to know about a plain call.
routing::RouteRequest PlainRoute(const Parts& parts,
                                 const caller::ServiceCall& call,
                                 const RequestSteps& steps);

// The request as a plain service receives it.
runtime::HttpRequest ForwardedRequest(const caller::ServiceCall& call,
                                      const std::string& request_id);

// Whether the call must run at most once.
bool IsNonIdempotent(const table::Service& service,
                     const runtime::HttpRequest& request);

suspects::Fingerprint FingerprintOf(const caller::ServiceCall& call);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_SERVICE_RUN_H_
