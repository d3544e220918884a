#ifndef CORE_SERVE_SERVICE_RUN_H_
#define CORE_SERVE_SERVICE_RUN_H_

#include <string>

#include "core/caller/handler.h"
#include "core/runtime/http_types.h"
#include "core/serve/dependencies.h"
#include "core/serve/request_steps.h"

namespace jujuberock::serve {

// Runs one idempotent call of a plain service.
class ServiceRun {
 public:
  ServiceRun(Dependencies& deps, const caller::ServiceCall& call);

  // Returns the service's answer. Throws common::Error when there is none.
  runtime::HttpResponse Execute();

  // Whether the deadline has not passed yet.
  bool in_time() const;

 private:
  runtime::HttpResponse RunWithRetry();
  runtime::HttpResponse RunAttempt();

  Dependencies& deps;
  const caller::ServiceCall& call;
  RequestSteps steps;
  routing::RouteRequest route;
  bool dispatched = false;
};

// Builds the routing request for a call of a plain service.
routing::RouteRequest MakePlainRoute(const Dependencies& deps,
                                     const caller::ServiceCall& call,
                                     const RequestSteps& steps);

// Builds the request as the plain service receives it.
runtime::HttpRequest MakeForwardedRequest(const caller::ServiceCall& call,
                                          const std::string& request_id);

// Whether the table marks the call as one that must run at most once.
bool IsNonIdempotent(const table::Service& service,
                     const runtime::HttpRequest& request);

suspects::Fingerprint FingerprintOf(const caller::ServiceCall& call);

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_SERVICE_RUN_H_
