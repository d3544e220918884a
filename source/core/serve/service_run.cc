#include "core/serve/service_run.h"

#include <utility>

#include "core/common/error.h"
#include "core/endpoint/request_id.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using routing::RouteDecision;
using runtime::HttpError;
using runtime::HttpRequest;
using runtime::HttpResponse;

suspects::Fingerprint FingerprintOf(const caller::ServiceCall& call) {
  return suspects::FingerprintOf(
      call.team, call.service, call.request.method + " " + call.request.target,
      call.request.body);
}

routing::RouteRequest MakePlainRoute(const Dependencies& deps,
                                     const caller::ServiceCall& call,
                                     const RequestSteps& steps) {
  routing::RouteRequest route;
  route.service = call.service;
  route.zone = deps.settings.zone;
  route.team = call.team;
  route.deadline = steps.deadline();
  return route;
}

HttpRequest MakeForwardedRequest(const caller::ServiceCall& call,
                                 const std::string& request_id) {
  HttpRequest request = call.request;
  request.headers.Set("Jujuberock-Team", call.team);
  request.headers.Set(endpoint::kRequestIdField, request_id);
  if (!call.headers.idempotency_key.empty())
    request.headers.Set("Idempotency-Key", call.headers.idempotency_key);
  return request;
}

bool IsNonIdempotent(const table::Service& service,
                     const HttpRequest& request) {
  for (const table::NonIdempotentRule& rule : service.non_idempotent) {
    if (rule.method == request.method &&
        request.target.rfind(rule.path_prefix, 0) == 0)
      return true;
  }
  return false;
}

ServiceRun::ServiceRun(Dependencies& deps, const caller::ServiceCall& call)
    : deps(deps),
      call(call),
      steps(deps, call.team, call.service, FingerprintOf(call)) {}

HttpResponse ServiceRun::Execute() {
  this->steps.SetDeadline(this->call.headers);
  this->route = MakePlainRoute(this->deps, this->call, this->steps);
  this->steps.Admit(this->route);
  this->route.isolate = this->steps.CheckSuspect();
  HttpResponse response = this->RunWithRetry();
  this->steps.ReportSuccess();
  return response;
}

bool ServiceRun::in_time() const {
  return this->deps.timers.Now() <= this->steps.deadline();
}

HttpResponse ServiceRun::RunWithRetry() {
  common::Outcome first_outcome = common::Outcome::kUnknown;
  try {
    return this->RunAttempt();
  } catch (const Error& error) {
    first_outcome = error.outcome();
    if (!this->dispatched || !this->steps.TryConsumeRetry(error))
      throw;
  }
  try {
    this->route.isolate = this->steps.CheckSuspect();
    return this->RunAttempt();
  } catch (const Error& error) {
    throw AfterRetry(error, first_outcome);
  }
}

HttpResponse ServiceRun::RunAttempt() {
  const RouteDecision decision = this->steps.Route(this->route);
  const auto address = this->deps.endpoint_monitor.AddressOf(decision.endpoint);
  if (!address)
    throw Error(ResultCode::kNoEndpoint, "the endpoint has just been removed");
  Attempt attempt(this->deps, this->steps, this->route, decision);
  this->dispatched = true;
  const std::string request_id = this->deps.request_ids.TextOf(this->route.id);
  const common::Duration left =
      this->steps.deadline() - this->deps.timers.Now();
  try {
    HttpResponse response = this->deps.plain_client.Forward(
        *address, MakeForwardedRequest(this->call, request_id), left);
    attempt.MarkSucceeded();
    return response;
  } catch (const HttpError& error) {
    this->steps.ExcludeEndpoint(this->route, decision.endpoint);
    this->steps.OnPlainFailure(decision.endpoint, *address, error);
    throw;
  }
}

}  // namespace jujuberock::serve
