#include "core/serve/recorded_run.h"

#include <utility>

#include "core/common/error.h"
#include "core/serve/service_run.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using journal::ForwardResult;
using journal::ServiceState;
using journal::StatusResult;
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

void RequireIdentity(const caller::CallHeaders& headers) {
  if (headers.idempotency_key.empty())
    throw Error(ResultCode::kIdempotencyKeyMissing,
                "the table marks this call as non-idempotent");
  if (!headers.issued_at)
    throw Error(ResultCode::kIssueTimeMissing,
                "the table marks this call as non-idempotent");
}

// A caller sends a call for the first time right after it issued it. A call
// that comes later may have been sent before, and a refusal that did not see
// the journal's record can not tell that it was not run then.
constexpr std::chrono::milliseconds kFirstSendWindow = std::chrono::seconds(2);

ServiceState ToServiceState(endpoint::CallState state) {
  switch (state) {
    case endpoint::CallState::kDone:
      return ServiceState::kDone;
    case endpoint::CallState::kAbsent:
      return ServiceState::kAbsent;
    case endpoint::CallState::kRunning:
      return ServiceState::kRunning;
  }
  return ServiceState::kNoAnswer;
}

}  // namespace

RecordedRun::RecordedRun(Parts& parts,
                         const caller::ServiceCall& call,
                         const std::string& status_path)
    : parts(parts),
      call(call),
      status_path(status_path),
      steps(parts, call.team, call.service, FingerprintOf(call)),
      arrived(parts.timers.WallNow()) {}

HttpResponse RecordedRun::Execute() {
  RequireIdentity(this->call.headers);
  try {
    return this->ExecuteRecorded();
  } catch (const Error& error) {
    // The record belongs to another request, or gave the permit to this send:
    // then no other send has run.
    const bool proved =
        this->holds_permit || error.code() == ResultCode::kIdempotencyKeyReused;
    const bool says_not_run = error.outcome() == common::Outcome::kNotRun;
    if (says_not_run && !proved && this->MayBeResend())
      throw Error(error.code(), error.what(), common::Outcome::kUnknown);
    throw;
  }
}

bool RecordedRun::MayBeResend() const {
  const auto age = this->arrived - *this->call.headers.issued_at;
  return age > kFirstSendWindow;
}

HttpResponse RecordedRun::ExecuteRecorded() {
  this->steps.SetDeadline(this->call.headers);
  this->route = PlainRoute(this->parts, this->call, this->steps);
  this->steps.Admit(this->route);
  this->route.isolate = this->steps.CheckSuspect();
  const journal::QueryStatus query =
      this->status_path.empty()
          ? journal::QueryStatus()
          : journal::QueryStatus([this] { return this->QueryStatus(); });
  const journal::CallResult result = this->parts.journal.Execute(
      this->JournalRequest(),
      [this](const journal::BeforeFirstByte& before) {
        return this->Forward(before);
      },
      query);
  if (result.code != ResultCode::kOk)
    throw Error(result.code, "the journal answers for this Idempotency-Key",
                result.outcome);
  this->steps.Succeed();
  return ToResponse(result);
}

bool RecordedRun::in_time() const {
  return this->parts.timers.Now() <= this->steps.deadline();
}

journal::CallRequest RecordedRun::JournalRequest() const {
  const runtime::HttpRequest& request = this->call.request;
  const common::UnixTime issued = *this->call.headers.issued_at;
  return {
      {this->call.team, this->call.headers.idempotency_key},
      journal::HashRequest(request.method, this->call.service + request.target,
                           request.body, issued),
      issued,
      this->steps.deadline()};
}

ForwardResult RecordedRun::Forward(const journal::BeforeFirstByte& before) {
  this->holds_permit = true;
  try {
    const routing::RouteDecision decision = this->steps.Route(this->route);
    const auto address = this->parts.fleet.AddressOf(decision.endpoint);
    if (!address)
      return {std::nullopt, ResultCode::kNoEndpoint};
    Attempt attempt(this->parts, this->steps, this->route, decision);
    const common::Duration left =
        this->steps.deadline() - this->parts.timers.Now();
    try {
      const HttpResponse response = this->parts.plains.ForwardOnce(
          *address,
          ForwardedRequest(this->call, this->parts.ids.TextOf(this->route.id)),
          left, before);
      attempt.Succeed();
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

// Any endpoint of the service can answer, since they share its state.
StatusResult RecordedRun::QueryStatus() {
  for (const auto& row : this->steps.rows().EndpointsOf(this->call.service)) {
    const auto address = runtime::Address::Parse(row->address);
    if (!address)
      continue;
    try {
      const endpoint::CallStatus status = this->parts.plains.Status(
          *address, this->status_path, this->call.team,
          this->call.headers.idempotency_key);
      return {ToServiceState(status.state),
              journal::MakeAnswer(200, "application/json", status.body)};
    } catch (const Error&) {
      // The next endpoint may answer.
    }
  }
  return {};
}

}  // namespace jujuberock::serve
