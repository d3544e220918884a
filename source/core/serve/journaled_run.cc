#include "core/serve/journaled_run.h"

#include <utility>

#include "core/common/error.h"
#include "core/serve/service_run.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using journal::ForwardResult;
using journal::ServiceCallState;
using journal::ServiceCallStatus;
using runtime::HttpError;
using runtime::HttpResponse;

namespace {

HttpResponse ToResponse(const journal::CallResult& result) {
  HttpResponse response;
  response.status = result.answer.status;
  if (!result.answer.content_type.empty())
    response.headers.Add("Content-Type", result.answer.content_type);
  response.body = result.answer.body;
  return response;
}

void RequireIdempotencyHeaders(const caller::CallHeaders& headers) {
  if (headers.idempotency_key.empty())
    throw Error(ResultCode::kIdempotencyKeyMissing,
                "the table marks this call as non-idempotent");
  if (!headers.issued_at)
    throw Error(ResultCode::kIssueTimeMissing,
                "the table marks this call as non-idempotent");
}

// A caller sends a call for the first time right after issuing it. A call that
// arrives later may have been sent before, and a refusal that did not see the
// journal's record can not tell that the earlier send did not run.
constexpr std::chrono::milliseconds kFirstSendWindow = std::chrono::seconds(2);

ServiceCallState ToServiceCallState(endpoint::CallState state) {
  switch (state) {
    case endpoint::CallState::kDone:
      return ServiceCallState::kDone;
    case endpoint::CallState::kAbsent:
      return ServiceCallState::kAbsent;
    case endpoint::CallState::kRunning:
      return ServiceCallState::kRunning;
  }
  return ServiceCallState::kNoAnswer;
}

}  // namespace

JournaledRun::JournaledRun(Dependencies& deps,
                           const caller::ServiceCall& call,
                           const std::string& status_path)
    : deps(deps),
      call(call),
      status_path(status_path),
      steps(deps, call.team, call.service, FingerprintOf(call)),
      arrived(deps.timers.WallNow()) {}

HttpResponse JournaledRun::Execute() {
  RequireIdempotencyHeaders(this->call.headers);
  try {
    return this->ExecuteThroughJournal();
  } catch (const Error& error) {
    // No other send of this call has run if this send holds the permit, or if
    // the record of the key belongs to another request.
    const bool run_excluded =
        this->holds_permit || error.code() == ResultCode::kIdempotencyKeyReused;
    const bool reported_not_run = error.outcome() == common::Outcome::kNotRun;
    if (reported_not_run && !run_excluded && this->MayBeCallerRetry())
      throw Error(error.code(), error.what(), common::Outcome::kUnknown);
    throw;
  }
}

bool JournaledRun::MayBeCallerRetry() const {
  const auto age = this->arrived - *this->call.headers.issued_at;
  return age > kFirstSendWindow;
}

HttpResponse JournaledRun::ExecuteThroughJournal() {
  this->steps.SetDeadline(this->call.headers);
  this->route = MakePlainRoute(this->deps, this->call, this->steps);
  this->steps.Admit(this->route);
  this->route.isolate = this->steps.CheckSuspect();
  const journal::QueryStatus query =
      this->status_path.empty()
          ? journal::QueryStatus()
          : journal::QueryStatus([this] { return this->QueryStatus(); });
  const journal::CallResult result = this->deps.journal.Execute(
      this->JournalRequest(),
      [this](const journal::BeforeFirstByte& before_first_byte) {
        return this->Forward(before_first_byte);
      },
      query);
  if (result.code != ResultCode::kOk)
    throw Error(result.code,
                "the journal has no answer for this Idempotency-Key",
                result.outcome);
  this->steps.ReportSuccess();
  return ToResponse(result);
}

bool JournaledRun::in_time() const {
  return this->deps.timers.Now() <= this->steps.deadline();
}

journal::CallRequest JournaledRun::JournalRequest() const {
  const runtime::HttpRequest& request = this->call.request;
  const common::UnixTime issued = *this->call.headers.issued_at;
  return {
      {this->call.team, this->call.headers.idempotency_key},
      journal::HashRequest(request.method, this->call.service + request.target,
                           request.body, issued),
      issued,
      this->steps.deadline()};
}

ForwardResult JournaledRun::Forward(
    const journal::BeforeFirstByte& before_first_byte) {
  this->holds_permit = true;
  try {
    const routing::RouteDecision decision = this->steps.Route(this->route);
    const auto address =
        this->deps.endpoint_monitor.AddressOf(decision.endpoint);
    if (!address)
      return {std::nullopt, ResultCode::kNoEndpoint};
    Attempt attempt(this->deps, this->steps, this->route, decision);
    const common::Duration left =
        this->steps.deadline() - this->deps.timers.Now();
    try {
      const HttpResponse response = this->deps.plain_client.ForwardOnce(
          *address,
          MakeForwardedRequest(this->call,
                               this->deps.request_ids.TextOf(this->route.id)),
          left, before_first_byte);
      attempt.MarkSucceeded();
      const std::string type(
          response.headers.Find("Content-Type").value_or(""));
      return {journal::MakeAnswer(response.status, type, response.body),
              ResultCode::kOk};
    } catch (const HttpError& error) {
      this->steps.OnPlainFailure(decision.endpoint, *address, error);
      return {std::nullopt, error.code()};
    }
  } catch (const Error& error) {
    return {std::nullopt, error.code()};
  }
}

// Any endpoint of the service can answer, since they share the service's state.
ServiceCallStatus JournaledRun::QueryStatus() {
  for (const auto& row : this->steps.rows().EndpointsOf(this->call.service)) {
    const auto address = runtime::Address::Parse(row->address);
    if (!address)
      continue;
    try {
      const endpoint::CallStatus status = this->deps.plain_client.Status(
          *address, this->status_path, this->call.team,
          this->call.headers.idempotency_key);
      return {ToServiceCallState(status.state),
              journal::MakeAnswer(200, "application/json", status.body)};
    } catch (const Error&) {
      // Try the next endpoint.
    }
  }
  return {};
}

}  // namespace jujuberock::serve
