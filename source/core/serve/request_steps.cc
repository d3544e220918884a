#include "core/serve/request_steps.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/caller/problem.h"
#include "core/runtime/sleep.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using common::TimePoint;
using routing::RouteDecision;
using routing::RouteRequest;

namespace {

// An endpoint reserved for an isolated request takes about as long to drain as
// a running answer takes, so retrying more often gains little.
constexpr common::Duration kChooseRetryPeriod = std::chrono::milliseconds(10);

// An older choice may miss a load report or the dispatch of another request.
constexpr common::Duration kMaxChoiceAge = std::chrono::milliseconds(1);

// Failures after which the request may succeed at another endpoint.
constexpr std::array kRetryableCodes = {
    ResultCode::kEndpointFailed,  ResultCode::kEndpointSilent,
    ResultCode::kPeerUnavailable, ResultCode::kWrongVersion,
    ResultCode::kNoEndpoint,      ResultCode::kStreamGone,
    ResultCode::kProtocolError};

}  // namespace

RequestSteps::RequestSteps(Dependencies& deps,
                           std::string team,
                           std::string service,
                           suspects::Fingerprint fingerprint)
    : deps(deps),
      team_name(std::move(team)),
      service_name(std::move(service)),
      request_fingerprint(fingerprint),
      snapshot(deps.view.Current()),
      arrived(deps.timers.Now()) {}

void RequestSteps::SetDeadline(const caller::CallHeaders& headers) {
  const auto row = this->snapshot->LimitsFor(
      this->team_name, this->service_name, this->deps.timers.WallNow());
  if (!row)
    throw Error(ResultCode::kUnknownTeam,
                "no table row for this team and service");
  this->effective_deadline =
      admission::DeadlineOf(this->arrived, row->patience,
                            headers.timeout.value_or(common::Duration::zero()));
  this->deps.budget.With([&](admission::RetryBudget& budget) {
    budget.OnRequest(this->service_name);
  });
}

void RequestSteps::Admit(const RouteRequest& route) {
  const TimePoint now = this->deps.timers.Now();
  std::optional<RouteDecision> decision = this->deps.router.With(
      [&](routing::Router& router) { return router.Choose(route, now); });
  admission::AdmissionRequest request;
  request.team = this->team_name;
  request.service = this->service_name;
  request.deadline = this->effective_deadline;
  request.cost = std::max(
      1.0, static_cast<double>(route.prompt_tokens + route.max_tokens));
  // If no endpoint is free now, one may become free before the deadline, so the
  // request is submitted without a prediction.
  if (decision)
    request.predicted_first_token = decision->predicted_first_token;
  this->admission = this->deps.gate.Acquire(request);
  const bool admitted_at_once = this->deps.timers.Now() - now < kMaxChoiceAge;
  if (admitted_at_once)
    this->early_decision = std::move(decision);
}

bool RequestSteps::CheckSuspect() {
  this->CheckPromptParts();
  const suspects::SuspectAction action =
      this->deps.suspects.With([&](suspects::SuspectList& list) {
        return list.Check(this->request_fingerprint, this->deps.timers.Now());
      });
  if (action == suspects::SuspectAction::kRefuse)
    throw Error(ResultCode::kSuspectRefused,
                "two endpoints crashed while running this request");
  return action == suspects::SuspectAction::kIsolate || this->is_part_trial;
}

void RequestSteps::CheckPromptParts() {
  if (this->parts.empty() || this->is_part_trial)
    return;
  const TimePoint now = this->deps.timers.Now();
  const bool is_blocked =
      this->deps.part_suspects.With([&](suspects::PartSuspects& list) {
        if (!list.FindBlocked(this->parts, now))
          return false;
        this->is_part_trial = list.TakeTrial(this->parts, now);
        return !this->is_part_trial;
      });
  if (!is_blocked)
    return;
  this->deps.counters.GetCounter("prompt_part_refusals_total").Add();
  throw Error(ResultCode::kSuspectRefused,
              "endpoints crashed while running requests with a part of this "
              "prompt");
}

// Live endpoints that can not be chosen are loading the weight version in force
// or are reserved for a suspect. Both usually end within the request's
// patience.
bool RequestSteps::EndpointMayBecomeFree(const RouteRequest& route) const {
  return route.excluded.empty() &&
         this->deps.endpoint_monitor.SlotsOf(this->service_name).has_value();
}

RouteDecision RequestSteps::Route(RouteRequest& route) {
  // The router keys reservations by request id, so every Choose() uses this id.
  route.id = this->deps.request_ids.Next();
  if (auto choice = std::exchange(this->early_decision, std::nullopt);
      choice && !route.isolate)
    return *std::move(choice);
  try {
    return this->WaitForEndpoint(route);
  } catch (const Error&) {
    this->deps.router.With(
        [&](routing::Router& router) { router.ReleaseReservation(route.id); });
    throw;
  }
}

RouteDecision RequestSteps::WaitForEndpoint(const RouteRequest& route) {
  while (true) {
    const TimePoint now = this->deps.timers.Now();
    if (now >= this->effective_deadline)
      throw Error(ResultCode::kDeadlineExceeded,
                  "the deadline passed before an endpoint became free",
                  common::Outcome::kNotRun);
    std::optional<RouteDecision> decision = this->deps.router.With(
        [&](routing::Router& router) { return router.Choose(route, now); });
    if (decision) {
      // The request may have waited since the last check.
      this->CheckPromptParts();
      return *std::move(decision);
    }
    if (route.isolate)
      this->deps.peer_sync.SendReservationChanges();
    if (!route.isolate && !this->EndpointMayBecomeFree(route))
      throw Error(ResultCode::kNoEndpoint,
                  "no endpoint of service " + this->service_name);
    runtime::SleepFor(kChooseRetryPeriod);
  }
}

void RequestSteps::ExcludeEndpoint(RouteRequest& route,
                                   const std::string& endpoint) {
  route.excluded.push_back(endpoint);
}

void RequestSteps::OnCrash(const std::string& endpoint) {
  const std::vector<InFlightRequest> in_flight =
      this->deps.in_flight.TakeCrashed(endpoint);
  if (in_flight.empty())
    return;
  const TimePoint now = this->deps.timers.Now();
  std::vector<suspects::Fingerprint> marked;
  std::vector<suspects::PartInFlight> marked_parts;
  for (const InFlightRequest& request : in_flight) {
    marked.push_back(request.fingerprint);
    for (const suspects::Fingerprint part : request.parts)
      marked_parts.push_back({part, request.sent_at});
  }
  this->deps.counters.GetCounter("endpoint_crashes_total").Add();
  this->deps.suspects.With([&](suspects::SuspectList& list) {
    list.OnEndpointCrash(endpoint, marked, now);
  });
  this->deps.part_suspects.With([&](suspects::PartSuspects& list) {
    list.OnEndpointCrash(endpoint, marked_parts, now);
  });
  this->deps.peer_sync.ExchangePartMarks();
  this->deps.peer_sync.BroadcastMarks();
}

void RequestSteps::OnPlainFailure(const std::string& endpoint,
                                  const runtime::Address& address,
                                  const runtime::HttpError& error) {
  using endpoint::ProbeResult;
  const ProbeResult probe =
      this->deps.plain_client.Probe(address, this->deps.settings.probe_timeout);
  if (probe == ProbeResult::kAnswered)
    return;
  this->deps.endpoint_monitor.ReportDown(endpoint);
  if (probe == ProbeResult::kRefused && error.sent())
    this->OnCrash(endpoint);
}

bool RequestSteps::TryConsumeRetry(const Error& error) {
  const bool retryable =
      std::find(kRetryableCodes.begin(), kRetryableCodes.end(), error.code()) !=
      kRetryableCodes.end();
  if (!retryable || this->deps.timers.Now() >= this->effective_deadline)
    return false;
  if (!this->TakeRetry())
    throw Error(ResultCode::kRetryBudgetExhausted,
                std::string("retry budget exhausted after: ") + error.what(),
                error.outcome());
  return true;
}

bool RequestSteps::TakeRetry() {
  const bool granted =
      this->deps.budget.With([&](admission::RetryBudget& budget) {
        return budget.TryRetry(this->service_name);
      });
  if (granted)
    this->deps.counters
        .GetCounter("retries_total", {{"service", this->service_name}})
        .Add();
  return granted;
}

void RequestSteps::ReportSuccess() {
  this->deps.suspects.With([&](suspects::SuspectList& list) {
    list.OnSuccess(this->request_fingerprint, this->deps.timers.Now());
  });
}

void RequestSteps::ReportSoundRun(TimePoint first_token_at) {
  if (this->parts.empty())
    return;
  this->deps.part_suspects.With([&](suspects::PartSuspects& list) {
    list.OnSound(this->parts, first_token_at, this->deps.timers.Now());
  });
}

Error AfterRetry(const Error& error, common::Outcome first_outcome) {
  if (error.outcome() != common::Outcome::kNotRun)
    return error;
  return Error(error.code(), error.what(), first_outcome);
}

Attempt::Attempt(Dependencies& deps,
                 const RequestSteps& steps,
                 const RouteRequest& route,
                 const RouteDecision& decision)
    : deps(deps), endpoint(decision.endpoint), id(route.id) {
  this->deps.in_flight.Add(
      this->endpoint, this->id,
      {steps.fingerprint(), steps.prompt_parts(), deps.timers.Now()});
  this->deps.router.With([&](routing::Router& router) {
    router.OnDispatched(route, decision, deps.timers.Now());
  });
}

Attempt::~Attempt() {
  this->deps.in_flight.Remove(this->endpoint, this->id);
  this->deps.router.With([&](routing::Router& router) {
    router.OnFinished(this->id, this->succeeded, this->deps.timers.Now());
  });
}

}  // namespace jujuberock::serve
