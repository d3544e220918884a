#include "core/serve/completion_run.h"

#include <utility>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::Error;
using common::ResultCode;
using endpoint::StreamLost;
using routing::RouteDecision;
using runtime::Address;

namespace {

std::string ServiceOf(Parts& parts, const std::string& model) {
  const table::SnapshotPtr rows = parts.view.Current();
  const table::Service* service = rows->FindServiceOfModel(model);
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

endpoint::ResumeLimits LimitsOf(const Settings& settings) {
  return {settings.token_idle_limit, settings.probe_timeout};
}

// Ends the engine's work for a request whose answer nobody takes any more. A
// caller in the middle of a stream may come back for the rest.
void EndAtEngine(Parts& parts,
                 const Address& address,
                 const std::string& stream,
                 bool may_return) {
  if (may_return)
    parts.detached.Detach(address, stream);
  else
    parts.detached.Cancel(address, stream);
}

}  // namespace

CompletionRun::CompletionRun(Parts& parts,
                             const caller::CompletionCall& call,
                             caller::CompletionWriter& writer)
    : CompletionRun(parts, call, writer, ServiceOf(parts, call.request.model)) {
}

CompletionRun::CompletionRun(Parts& parts,
                             const caller::CompletionCall& call,
                             caller::CompletionWriter& writer,
                             const std::string& service)
    : parts(parts),
      call(call),
      writer(writer),
      caller(CallerState::Watch(writer)),
      steps(parts, call.team, service, FingerprintOf(call, service)) {}

CompletionRun::~CompletionRun() {
  this->caller->on_gone = nullptr;
}

void CompletionRun::Execute() {
  this->steps.SetDeadline(this->call.headers);
  this->PrepareRoute();
  this->owner = this->parts.sharing.AskOwner(this->call.headers.conversation,
                                             this->route);
  this->steps.Admit(this->route);
  this->route.isolate = this->steps.CheckSuspect();
  this->RunWithRetry();
  this->steps.Succeed();
}

void CompletionRun::PrepareRoute() {
  const caller::CompletionRequest& request = this->call.request;
  const table::Service& service =
      *this->steps.rows().ServicePolicy(this->steps.service());
  this->route.service = service.name;
  this->route.version = service.weight_version;
  this->route.zone = this->parts.settings.zone;
  this->route.team = this->call.team;
  this->route.block_keys = routing::ChainedBlockKeys(
      {this->call.team, request.model, request.adapter, service.weight_version},
      request.prompt);
  this->route.prompt_tokens = routing::TokensOf(request.prompt.size());
  this->route.max_tokens = static_cast<uint64_t>(request.max_tokens);
  this->route.deadline = this->steps.deadline();
}

void CompletionRun::RunWithRetry() {
  try {
    this->RunAttempt();
    return;
  } catch (const Error& error) {
    const bool possible =
        this->dispatched && !this->writer.started() && !this->caller->gone;
    if (!possible || !this->steps.TakeRetry(error))
      throw;
  }
  this->writer.Reset();
  this->route.isolate = this->steps.CheckSuspect();
  this->RunAttempt();
}

void CompletionRun::RunAttempt() {
  const RouteDecision decision = this->steps.Route(this->route);
  const auto address = this->parts.fleet.AddressOf(decision.endpoint);
  if (!address)
    throw Error(ResultCode::kNoEndpoint, "the endpoint has just been removed");
  Attempt attempt(this->parts, this->steps, this->route, decision);
  this->dispatched = true;
  this->dispatched_at = this->parts.timers.Now();
  this->parts.sharing.TellOwner(this->owner, this->route, decision);
  try {
    const RelayResult result = this->RunAt(decision, *address);
    this->writer.Finish(result.reason, {this->route.prompt_tokens,
                                        result.tokens, result.cached_tokens});
  } catch (const Error& error) {
    this->OnAttemptFailed(decision, *address, error);
    throw;
  }
  attempt.Succeed();
}

RelayResult CompletionRun::RunAt(const RouteDecision& decision,
                                 const Address& address) {
  const std::string stream_id = this->parts.ids.TextOf(this->route.id);
  // Unless the caller takes part of the answer, its absence ends the work at
  // once; the engine then ends the stream that this fiber reads.
  this->caller->on_gone = [this, address, stream_id] {
    if (this->writer.started())
      return;
    this->engine_told = true;
    this->parts.detached.Cancel(address, stream_id);
  };
  endpoint::ResumingStream stream(this->parts.engines, this->parts.timers,
                                  address, stream_id, 0,
                                  LimitsOf(this->parts.settings));
  stream.Start(this->EngineRequest(decision), this->steps.deadline());
  const RelayTarget target{
      address,
      {decision.endpoint, stream_id, this->call.request.model,
       this->parts.settings.host_name, 0}};
  return RelayStream(
      this->parts, target, stream, this->writer, *this->caller,
      this->steps.deadline(),
      [this](const endpoint::TokenEvent& token) { this->OnFirstToken(token); });
}

void CompletionRun::OnFirstToken(const endpoint::TokenEvent& token) {
  if (!this->route.version.empty() && token.version != this->route.version)
    throw Error(ResultCode::kWrongVersion,
                "the engine answered with another weight version");
  const common::TimePoint now = this->parts.timers.Now();
  this->first_token_in_time = now <= this->steps.deadline();
  this->parts.gate.OnFirstToken(this->steps.service(),
                                now - this->dispatched_at,
                                this->steps.deadline() - this->steps.start());
  this->parts.router.With([&](routing::Router& router) {
    router.OnFirstToken(this->route.id,
                        static_cast<uint64_t>(token.cached_tokens),
                        static_cast<uint64_t>(token.restored_tokens), now);
  });
  this->parts.counters
      .GetHistogram("time_to_first_token_seconds",
                    {{"service", this->steps.service()}})
      .Observe(now - this->steps.start());
}

void CompletionRun::OnAttemptFailed(const RouteDecision& decision,
                                    const Address& address,
                                    const Error& error) {
  this->steps.ExcludeEndpoint(this->route, decision.endpoint);
  if (auto* lost = dynamic_cast<const StreamLost*>(&error)) {
    this->parts.fleet.ReportDown(decision.endpoint);
    if (lost->kind() == endpoint::LossKind::kCrashed)
      this->steps.OnCrash(decision.endpoint);
    return;
  }
  if (auto* failed = dynamic_cast<const runtime::HttpError*>(&error)) {
    if (!failed->sent())
      this->parts.fleet.ReportDown(decision.endpoint);
    return;
  }
  const bool may_run = error.code() == ResultCode::kDeadlineExceeded ||
                       error.code() == ResultCode::kWrongVersion ||
                       error.code() == ResultCode::kProtocolError ||
                       error.code() == ResultCode::kCanceled;
  if (!may_run || this->engine_told)
    return;
  const bool may_return =
      error.code() == ResultCode::kCanceled && this->writer.started();
  EndAtEngine(this->parts, address, this->parts.ids.TextOf(this->route.id),
              may_return);
}

endpoint::GenerateRequest CompletionRun::EngineRequest(
    const RouteDecision& decision) const {
  const caller::CompletionRequest& request = this->call.request;
  endpoint::GenerateRequest generate;
  generate.request_id = this->parts.ids.TextOf(this->route.id);
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

void ResumeRun(Parts& parts,
               const caller::ResumeCall& call,
               caller::CompletionWriter& writer) {
  caller::StreamPosition position = call.position;
  const auto address = parts.fleet.AddressOf(position.endpoint);
  if (!address)
    throw Error(ResultCode::kStreamGone, "the stream's endpoint is gone");
  if (position.host == parts.settings.host_name)
    parts.detached.TakeOver(position.stream);
  else
    parts.sharing.TellTakenOver(position.host, position.stream);
  position.host = parts.settings.host_name;
  const auto caller = CallerState::Watch(writer);
  endpoint::ResumingStream stream(parts.engines, parts.timers, *address,
                                  position.stream, position.offset,
                                  LimitsOf(parts.settings));
  const common::TimePoint until =
      parts.timers.Now() + parts.settings.plain_call_limit;
  try {
    stream.Attach(until);
    const RelayResult result =
        RelayStream(parts, {*address, position}, stream, writer, *caller, until,
                    [](const endpoint::TokenEvent&) {});
    writer.Finish(result.reason, {0, result.tokens, result.cached_tokens});
  } catch (const Error& error) {
    if (error.code() == ResultCode::kCanceled)
      EndAtEngine(parts, *address, position.stream, true);
    throw;
  }
}

}  // namespace jujuberock::serve
