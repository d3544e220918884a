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

// An endpoint reserved for an isolated request drains for about as long as a
// running answer takes, so asking more often gains little.
constexpr common::Duration kReservationPause = std::chrono::milliseconds(10);

// A choice older than this may miss a load report or another dispatch.
constexpr common::Duration kChoiceLifetime = std::chrono::milliseconds(1);

// Failures after which another endpoint may do the work.
constexpr std::array kRetryable = {
    ResultCode::kEndpointFailed,  ResultCode::kEndpointSilent,
    ResultCode::kPeerUnavailable, ResultCode::kWrongVersion,
    ResultCode::kNoEndpoint,      ResultCode::kStreamGone,
    ResultCode::kProtocolError};

}  // namespace

RequestSteps::RequestSteps(Parts& parts,
                           std::string team,
                           std::string service,
                           suspects::Fingerprint fingerprint)
    : parts(parts),
      team_name(std::move(team)),
      service_name(std::move(service)),
      content(fingerprint),
      snapshot(parts.view.Current()),
      arrived(parts.timers.Now()) {}

void RequestSteps::SetDeadline(const caller::CallHeaders& headers) {
  const auto row = this->snapshot->RowFor(this->team_name, this->service_name,
                                          this->parts.timers.WallNow());
  if (!row)
    throw Error(ResultCode::kUnknownTeam, "no row for this team and service");
  this->until = admission::DeadlineOf(
      this->arrived, row->patience,
      headers.patience.value_or(common::Duration::zero()));
  this->parts.budget.With([&](admission::RetryBudget& budget) {
    budget.OnRequest(this->service_name);
  });
}

void RequestSteps::Admit(const RouteRequest& route) {
  const TimePoint now = this->parts.timers.Now();
  std::optional<RouteDecision> decision = this->parts.router.With(
      [&](routing::Router& router) { return router.Choose(route, now); });
  admission::AdmissionRequest request;
  request.team = this->team_name;
  request.service = this->service_name;
  request.deadline = this->until;
  request.cost = std::max(
      1.0, static_cast<double>(route.prompt_tokens + route.max_tokens));
  // Without an endpoint now, one may appear before the deadline.
  if (decision)
    request.predicted_first_token = decision->predicted_first_token;
  this->admission = this->parts.gate.Enter(request);
  const bool at_once = this->parts.timers.Now() - now < kChoiceLifetime;
  if (at_once)
    this->early_choice = std::move(decision);
}

bool RequestSteps::CheckSuspect() {
  const suspects::Verdict verdict =
      this->parts.suspects.With([&](suspects::SuspectList& list) {
        return list.Check(this->content, this->parts.timers.Now());
      });
  if (verdict == suspects::Verdict::kRefuse)
    throw Error(ResultCode::kSuspectRefused,
                "two endpoints crashed while they ran this request");
  return verdict == suspects::Verdict::kIsolate;
}

// Live endpoints that can not be chosen are loading the version in force, or
// are kept for a suspect; both end within a patience most of the time.
bool RequestSteps::MayBecomeFree(const RouteRequest& route) const {
  return route.excluded.empty() &&
         this->parts.fleet.SlotsOf(this->service_name).has_value();
}

RouteDecision RequestSteps::Route(RouteRequest& route) {
  // The router keeps a reservation by the id, so all asks use the same one.
  route.id = this->parts.ids.Next();
  if (auto choice = std::exchange(this->early_choice, std::nullopt);
      choice && !route.isolate)
    return *std::move(choice);
  while (true) {
    const TimePoint now = this->parts.timers.Now();
    if (now >= this->until)
      throw Error(ResultCode::kDeadlineExceeded,
                  "the deadline passed before an endpoint was free",
                  common::Outcome::kNotRun);
    std::optional<RouteDecision> decision = this->parts.router.With(
        [&](routing::Router& router) { return router.Choose(route, now); });
    if (decision)
      return *std::move(decision);
    if (!route.isolate && !this->MayBecomeFree(route))
      throw Error(ResultCode::kNoEndpoint,
                  "no endpoint of service " + this->service_name);
    runtime::SleepFor(kReservationPause);
  }
}

void RequestSteps::ExcludeEndpoint(RouteRequest& route,
                                   const std::string& endpoint) {
  route.excluded.push_back(endpoint);
}

void RequestSteps::OnCrash(const std::string& endpoint) {
  std::vector<suspects::Fingerprint> marked =
      this->parts.in_flight.TakeCrashed(endpoint);
  if (marked.empty())
    return;
  this->parts.counters.GetCounter("endpoint_crashes_total").Add();
  this->parts.suspects.With([&](suspects::SuspectList& list) {
    list.OnEndpointCrash(endpoint, marked, this->parts.timers.Now());
  });
  this->parts.sharing.SpreadMarks();
}

void RequestSteps::OnPlainFailure(const std::string& endpoint,
                                  const runtime::Address& address,
                                  const runtime::HttpError& error) {
  using endpoint::ProbeResult;
  const ProbeResult probe =
      this->parts.plains.Probe(address, this->parts.settings.probe_timeout);
  if (probe == ProbeResult::kAnswered)
    return;
  this->parts.fleet.ReportDown(endpoint);
  if (probe == ProbeResult::kRefused && error.sent())
    this->OnCrash(endpoint);
}

bool RequestSteps::TakeRetry(const Error& error) {
  const bool retryable = std::find(kRetryable.begin(), kRetryable.end(),
                                   error.code()) != kRetryable.end();
  if (!retryable || this->parts.timers.Now() >= this->until)
    return false;
  const bool granted =
      this->parts.budget.With([&](admission::RetryBudget& budget) {
        return budget.TryRetry(this->service_name);
      });
  if (!granted)
    throw Error(ResultCode::kRetryBudgetExhausted,
                std::string("no retry left after: ") + error.what(),
                error.outcome());
  this->parts.counters
      .GetCounter("retries_total", {{"service", this->service_name}})
      .Add();
  return true;
}

void RequestSteps::Succeed() {
  this->parts.suspects.With([&](suspects::SuspectList& list) {
    list.OnSuccess(this->content, this->parts.timers.Now());
  });
}

Attempt::Attempt(Parts& parts,
                 const RequestSteps& steps,
                 const RouteRequest& route,
                 const RouteDecision& decision)
    : parts(parts), endpoint(decision.endpoint), id(route.id) {
  this->parts.in_flight.Add(this->endpoint, this->id, steps.fingerprint());
  this->parts.router.With([&](routing::Router& router) {
    router.OnDispatched(route, decision, parts.timers.Now());
  });
}

Attempt::~Attempt() {
  this->parts.in_flight.Remove(this->endpoint, this->id);
  this->parts.router.With([&](routing::Router& router) {
    router.OnFinished(this->id, this->succeeded, this->parts.timers.Now());
  });
}

}  // namespace jujuberock::serve
