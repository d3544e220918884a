#include "core/serve/completion_run.h"

#include <utility>

#include "core/common/error.h"
#include "core/serve/prompt_parts.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using endpoint::StreamLostError;
using routing::RouteDecision;
using runtime::Address;

namespace {

std::string ServiceOfModel(Dependencies& deps, const std::string& model) {
  const table::SnapshotPtr rows = deps.view.Current();
  const table::Service* service = rows->FindServiceByModel(model);
  if (!service)
    throw Error(ResultCode::kUnknownModel, "no service for model " + model);
  return service->name;
}

suspects::Fingerprint FingerprintOf(const caller::CompletionCall& call,
                                    const std::string& service) {
  return suspects::FingerprintOf(
      call.team, service, call.request.model + "\n" + call.request.adapter,
      call.request.prompt);
}

std::vector<std::string> ToHexKeys(
    const std::vector<routing::BlockKey>& block_keys) {
  std::vector<std::string> keys;
  keys.reserve(block_keys.size());
  for (const routing::BlockKey& key : block_keys)
    keys.push_back(routing::ToHex(key));
  return keys;
}

endpoint::ResumeTimeouts ResumeLimitsOf(const Settings& settings) {
  return {settings.token_idle_limit, settings.probe_timeout};
}

// Cancels an engine request whose answer is no longer read; after a grace
// period if the caller may resume the stream.
void AbandonStream(Dependencies& deps,
                   const Address& address,
                   const std::string& stream,
                   bool may_resume) {
  if (may_resume)
    deps.detached_streams.Detach(address, stream);
  else
    deps.detached_streams.Cancel(address, stream);
}

}  // namespace

CompletionRun::CompletionRun(Dependencies& deps,
                             const caller::CompletionCall& call,
                             caller::CompletionWriter& writer)
    : CompletionRun(deps,
                    call,
                    writer,
                    ServiceOfModel(deps, call.request.model)) {}

CompletionRun::CompletionRun(Dependencies& deps,
                             const caller::CompletionCall& call,
                             caller::CompletionWriter& writer,
                             const std::string& service)
    : deps(deps),
      call(call),
      writer(writer),
      caller(CallerState::Watch(writer)),
      steps(deps, call.team, service, FingerprintOf(call, service)) {}

CompletionRun::~CompletionRun() {
  this->caller->on_gone = nullptr;
}

void CompletionRun::Execute() {
  this->steps.SetDeadline(this->call.headers);
  this->steps.SetPromptParts(
      PromptPartsOf(this->steps.service(), this->call.request.prompt));
  this->steps.CheckPromptParts();
  this->PrepareRoute();
  this->conversation_owner = this->deps.peer_sync.QueryOwner(
      this->call.headers.conversation, this->route);
  this->steps.Admit(this->route);
  this->route.isolate = this->steps.CheckSuspect();
  this->RunWithRetry();
  this->steps.ReportSuccess();
  if (this->first_token_at)
    this->steps.ReportSoundRun(*this->first_token_at);
}

void CompletionRun::PrepareRoute() {
  const caller::CompletionRequest& request = this->call.request;
  const table::Service& service =
      *this->steps.rows().FindService(this->steps.service());
  this->route.service = service.name;
  this->route.version = service.weight_version;
  this->route.zone = this->deps.settings.zone;
  this->route.team = this->call.team;
  this->route.block_keys = routing::ChainedBlockKeys(
      {this->call.team, request.model, request.adapter, service.weight_version},
      request.prompt);
  this->route.prompt_tokens = routing::TokensOf(request.prompt.size());
  this->route.max_tokens = static_cast<uint64_t>(request.max_tokens);
  this->route.deadline = this->steps.deadline();
}

void CompletionRun::RunWithRetry() {
  common::Outcome first_outcome = common::Outcome::kUnknown;
  try {
    this->RunAttempt();
    return;
  } catch (const Error& error) {
    first_outcome = error.outcome();
    const bool can_retry =
        this->dispatched && !this->writer.started() && !this->caller->gone;
    if (!can_retry ||
        !(this->holds_retry || this->steps.TryConsumeRetry(error)))
      throw;
  }
  this->is_retry = true;
  this->writer.Reset();
  this->steps.EndPartTrial();
  try {
    this->route.isolate = this->steps.CheckSuspect();
    this->RunAttempt();
  } catch (const Error& error) {
    throw AfterRetry(error, first_outcome);
  }
}

void CompletionRun::RunAttempt() {
  const RouteDecision decision = this->steps.Route(this->route);
  const auto address = this->deps.endpoint_monitor.AddressOf(decision.endpoint);
  if (!address)
    throw Error(ResultCode::kNoEndpoint,
                "the endpoint was removed from the table");
  this->first_token_at.reset();
  Attempt attempt(this->deps, this->steps, this->route, decision);
  this->dispatched = true;
  this->dispatched_at = this->deps.timers.Now();
  this->deps.peer_sync.NotifyOwner(this->conversation_owner, this->route,
                                   decision);
  try {
    const RelayResult result = this->RunOnEngine(decision, *address);
    this->writer.Finish(result.reason, {this->route.prompt_tokens,
                                        result.tokens, result.cached_tokens});
  } catch (const Error& error) {
    this->OnAttemptFailed(decision, *address, error);
    throw;
  }
  attempt.MarkSucceeded();
}

bool CompletionRun::ReserveRetry(const RouteDecision& decision) {
  if (this->caller->gone)
    return true;
  if (this->is_retry || this->writer.started() || this->route.isolate)
    return false;
  routing::RouteRequest other = this->route;
  this->steps.ExcludeEndpoint(other, decision.endpoint);
  const bool has_other = this->deps.router.With([&](routing::Router& router) {
    return router.Choose(other, this->deps.timers.Now()).has_value();
  });
  this->holds_retry = has_other && this->steps.TakeRetry();
  return this->holds_retry;
}

RelayResult CompletionRun::RunOnEngine(const RouteDecision& decision,
                                       const Address& address) {
  const std::string stream_id = this->deps.request_ids.TextOf(this->route.id);
  // If the caller disconnects before the answer has started, the engine request
  // is canceled at once. The engine then ends the stream that this fiber reads.
  this->caller->on_gone = [this, address, stream_id] {
    if (this->writer.started())
      return;
    this->engine_cancel_sent = true;
    this->deps.detached_streams.Cancel(address, stream_id);
  };
  endpoint::ResumingStream stream(this->deps.engine_client, this->deps.timers,
                                  address, stream_id, 0,
                                  ResumeLimitsOf(this->deps.settings),
                                  [&] { return this->ReserveRetry(decision); });
  stream.Start(this->MakeEngineRequest(decision), this->steps.deadline());
  const RelayTarget target{
      address,
      {decision.endpoint, stream_id, this->call.request.model,
       this->deps.settings.host_name, 0}};
  return RelayStream(
      this->deps, target, stream, this->writer, *this->caller,
      this->steps.deadline(),
      [this](const endpoint::TokenEvent& token) { this->OnFirstToken(token); });
}

void CompletionRun::OnFirstToken(const endpoint::TokenEvent& token) {
  if (!this->route.version.empty() && token.version != this->route.version)
    throw Error(ResultCode::kWrongVersion,
                "the engine answered with a different weight version");
  const common::TimePoint now = this->deps.timers.Now();
  this->first_token_at = now;
  this->first_token_in_time = now <= this->steps.deadline();
  this->deps.gate.OnFirstToken(this->steps.service(), now - this->dispatched_at,
                               this->steps.deadline() - this->steps.start());
  this->deps.router.With([&](routing::Router& router) {
    router.OnFirstToken(this->route.id,
                        static_cast<uint64_t>(token.cached_tokens),
                        static_cast<uint64_t>(token.restored_tokens), now);
  });
  this->deps.counters
      .GetHistogram("time_to_first_token_seconds",
                    {{"service", this->steps.service()}})
      .Observe(now - this->steps.start());
}

void CompletionRun::OnAttemptFailed(const RouteDecision& decision,
                                    const Address& address,
                                    const Error& error) {
  this->steps.ExcludeEndpoint(this->route, decision.endpoint);
  if (auto* lost = dynamic_cast<const StreamLostError*>(&error)) {
    this->deps.endpoint_monitor.ReportDown(decision.endpoint);
    if (lost->kind() == endpoint::StreamLossReason::kCrashed)
      this->steps.OnCrash(decision.endpoint);
    return;
  }
  if (auto* failed = dynamic_cast<const runtime::HttpError*>(&error)) {
    if (!failed->sent())
      this->deps.endpoint_monitor.ReportDown(decision.endpoint);
    return;
  }
  const bool may_still_run = error.code() == ResultCode::kDeadlineExceeded ||
                             error.code() == ResultCode::kWrongVersion ||
                             error.code() == ResultCode::kProtocolError ||
                             error.code() == ResultCode::kCanceled;
  if (!may_still_run || this->engine_cancel_sent)
    return;
  const bool may_resume =
      error.code() == ResultCode::kCanceled && this->writer.started();
  AbandonStream(this->deps, address,
                this->deps.request_ids.TextOf(this->route.id), may_resume);
}

endpoint::GenerateRequest CompletionRun::MakeEngineRequest(
    const RouteDecision& decision) const {
  const caller::CompletionRequest& request = this->call.request;
  endpoint::GenerateRequest generate;
  generate.request_id = this->deps.request_ids.TextOf(this->route.id);
  generate.team = this->call.team;
  generate.model = request.model;
  generate.adapter = request.adapter;
  generate.version = this->route.version;
  generate.prompt = request.prompt;
  generate.max_tokens = request.max_tokens;
  generate.priority = request.priority;
  generate.block_keys = ToHexKeys(this->route.block_keys);
  for (const routing::Restore& restore : decision.restores) {
    if (const auto* store = this->steps.rows().FindStore(restore.store))
      generate.restore.push_back({routing::ToHex(restore.key), store->address});
  }
  return generate;
}

void ResumeStream(Dependencies& deps,
                  const caller::ResumeCall& call,
                  caller::CompletionWriter& writer) {
  caller::StreamPosition position = call.position;
  const auto address = deps.endpoint_monitor.AddressOf(position.endpoint);
  if (!address)
    throw Error(ResultCode::kStreamGone,
                "the stream's endpoint was removed from the table");
  if (position.host == deps.settings.host_name)
    deps.detached_streams.TakeOver(position.engine_request_id);
  else
    deps.peer_sync.NotifyTakenOver(position.host, position.engine_request_id);
  position.host = deps.settings.host_name;
  const auto caller = CallerState::Watch(writer);
  endpoint::ResumingStream stream(deps.engine_client, deps.timers, *address,
                                  position.engine_request_id, position.offset,
                                  ResumeLimitsOf(deps.settings));
  const common::TimePoint resume_deadline =
      deps.timers.Now() + deps.settings.plain_call_limit;
  try {
    stream.Attach(resume_deadline);
    const RelayResult result =
        RelayStream(deps, {*address, position}, stream, writer, *caller,
                    resume_deadline, [](const endpoint::TokenEvent&) {});
    writer.Finish(result.reason, {0, result.tokens, result.cached_tokens});
  } catch (const Error& error) {
    if (error.code() == ResultCode::kCanceled)
      AbandonStream(deps, *address, position.engine_request_id, true);
    throw;
  }
}

}  // namespace jujuberock::serve
