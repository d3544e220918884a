#include "core/gateway/request_task.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"
#include "core/common/scale.h"
#include "core/dispatch/stop_policy.h"
#include "core/gateway/refused_error.h"
#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

namespace {

using catalog::RouteKind;
using common::Duration;
using common::Error;
using common::ResultCode;
using common::Scale;
using common::TimePoint;
using dispatch::GiveUpReason;
using events::Event;
using events::Field;
using events::LogLine;

constexpr Duration kStaleViewRetryAfter = std::chrono::milliseconds(300);

}  // namespace

RequestTask::RequestTask(RequestDependencies& deps,
                         forward::CallerRequest request,
                         runtime::ResponseWriter& writer,
                         const RequestOrigin& origin)
    : deps(deps),
      request(std::move(request)),
      writer(writer),
      origin(origin),
      config(deps.view.config()),
      part_monitor(deps.dispatcher.part_suspects(),
                   this->request.prompt ? &*this->request.prompt : nullptr),
      received_at(runtime::BootNow()),
      callback_state(std::make_shared<CallbackState>()),
      relay(writer) {
  this->deps.planned_stop.Add(*this);
}

RequestTask::~RequestTask() {
  this->deps.planned_stop.Remove(*this);
  this->callback_state->send = nullptr;
  // Still registered if an unexpected exception ended the request.
  this->deps.dispatcher.Unregister(this->active_send);
  if (this->reserved)
    this->reserved->choice.endpoint->OnEnded(this->reserved->ticket,
                                             runtime::BootNow());
}

void RequestTask::Run() {
  try {
    this->Route();
    this->PickService();
    this->WatchCaller();
    this->FindOrigin();
    this->CheckPlannedStop();
    this->CheckCrashMarks();
    this->CheckParts();
    this->CheckReach();
    this->deps.dispatcher.retries().OnRequest(this->service, this->received_at);
    this->RunUntilAnswered();
  } catch (const Error& error) {
    this->RecordDuration();
    this->LogUnanswered(error);
    throw;
  }
  this->RecordDuration();
  this->deps.answered.Add();
  this->deps.total.Observe(runtime::BootNow() - this->received_at);
}

void RequestTask::RecordDuration() {
  if (this->sends == 0)
    return;
  const TimePoint now = runtime::BootNow();
  const Duration duration = now - this->received_at;
  PlannedStop& stop = this->deps.planned_stop;
  if (this->succeeded)
    stop.OnAnswered(this->route->name, this->service, duration, now);
  else
    stop.OnUnfinished(this->route->name, this->service, duration, now);
}

void RequestTask::RunUntilAnswered() {
  while (true) {
    if (this->MustHandOver() && this->HandOver())
      break;
    auto planned = this->NextSend();
    if (!planned)
      continue;
    const AttemptResult result = this->Attempt(std::move(*planned));
    if (result == AttemptResult::kAnswered)
      break;
    this->CheckMayGoOn();
    if (!this->reserved && !this->MaySendAgain())
      this->FailRequest();
  }
}

std::optional<RequestTask::PlannedSend> RequestTask::NextSend() {
  if (this->reserved) {
    PlannedSend planned = std::move(*this->reserved);
    this->reserved.reset();
    return planned;
  }
  const auto choice = this->AwaitEndpoint();
  if (!choice)
    return std::nullopt;
  this->CheckParts();
  this->BeginPartTrial();
  return this->Plan(*choice);
}

void RequestTask::CheckReach() {
  if (this->origin.reply && this->sends == 0 && this->pool->IsImpaired())
    this->Refuse(ResultCode::kPeerUnavailable,
                 "this host does not reach the endpoints either", std::nullopt);
}

RequestTask::PlannedSend RequestTask::Plan(
    const dispatch::EndpointChoice& choice) {
  dispatch::SendTicket ticket;
  ticket.endpoint = choice.endpoint;
  ticket.urgency = this->urgency;
  ticket.uncached_tokens = choice.uncached_tokens;
  ticket.tokens_ahead = choice.predicted_tokens;
  ticket.is_long = choice.is_long;
  ticket.usual_time = choice.usual_time;
  if (this->request.prompt) {
    ticket.memory_tokens = this->request.prompt->MemoryTokens();
    ticket.max_output_tokens = this->request.prompt->max_output_tokens;
  }
  this->BindSoftware(choice);
  choice.endpoint->OnSent(ticket, runtime::BootNow());
  this->tried.insert(choice.endpoint->endpoint().id);
  this->RecordPrompt(choice, ticket);
  return {choice, ticket, choice.endpoint->process().generation()};
}

void RequestTask::Route() {
  if (!this->config || !this->deps.view.IsComplete(this->received_at))
    this->Refuse(ResultCode::kNotReady, "no configuration yet",
                 kStaleViewRetryAfter);
  if (this->config->version() < this->origin.config_version)
    this->Refuse(ResultCode::kNotReady,
                 "the configuration is older than that of the sending host",
                 kStaleViewRetryAfter);
  this->route =
      this->config->FindRoute(this->request.host, this->request.target);
  if (!this->route)
    this->Reject(ResultCode::kUnknownPath, "no route for this host and path");
  if (this->config->has_teams() && !this->route->is_public)
    this->CheckKey(*this->config);
  this->urgency = this->config->UrgencyOf(*this->route, this->team);
  if (this->request.attempt_id.empty())
    this->Reject(ResultCode::kMalformedRequest,
                 "the request has no attempt id");
  const Duration remaining =
      this->request.remaining.value_or(this->route->timeout);
  this->deadline =
      this->received_at + std::min(remaining, this->route->timeout);
  if (this->request.prompt)
    this->salt.model = this->request.prompt->model;
  if (this->team && this->team->isolated)
    this->salt.isolated_team = this->team->name;
  this->cache_key = reuse::RenderSalt(this->salt);
}

void RequestTask::CheckKey(const catalog::ConfigView& config) {
  if (!this->deps.view.KeysUsable(this->received_at))
    this->Refuse(ResultCode::kNotReady,
                 "the configuration is too old to check API keys",
                 kStaleViewRetryAfter);
  this->team = config.FindTeam(this->request.key);
  if (!this->team)
    this->Reject(ResultCode::kUnauthenticated, "unknown API key");
}

void RequestTask::Reject(ResultCode code, const char* reason) {
  LogLine line(this->deps.log, Event::kRequestRefused);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kReason, reason)
      .Add(Field::kStatus, common::InfoOf(code).http_status)
      .Add(Field::kConfigVersion, this->config->version());
  if (const auto age = this->deps.view.age().AgeAt(this->received_at))
    line.Add(Field::kViewAgeMs, *age);
  throw Error(code, reason);
}

void RequestTask::CheckCrashMarks() {
  const std::string_view caller =
      this->team ? std::string_view(this->team->name) : std::string_view();
  this->fingerprint = suspects::FingerprintOf(
      caller, this->service, this->request.target, this->request.body.view());
  const auto action = this->deps.dispatcher.suspects().Check(this->fingerprint,
                                                             this->received_at);
  if (action == suspects::SuspectAction::kRefuse)
    this->Refuse(ResultCode::kSuspectRefused,
                 "earlier sends of this request crashed endpoints",
                 std::nullopt);
  this->isolate = action == suspects::SuspectAction::kIsolate;
}

void RequestTask::CheckParts() {
  const TimePoint now = runtime::BootNow();
  this->blocked_part = this->part_monitor.FindBlocked(now);
  if (!this->blocked_part)
    return;
  if (this->sends > 0 && !(this->is_part_trial && this->runs == 0))
    this->FailRequest();
  if (this->is_part_trial || this->part_monitor.MayBeTrial(now)) {
    this->isolate = true;
    return;
  }
  this->RefuseForPart();
}

void RequestTask::BeginPartTrial() {
  if (!this->blocked_part || this->is_part_trial)
    return;
  // Another request may have become the trial while this one waited.
  this->is_part_trial = this->part_monitor.TakeTrial(runtime::BootNow());
  if (!this->is_part_trial)
    this->RefuseForPart();
  LogLine(this->deps.log, Event::kPartTrial)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kPart, *this->blocked_part);
}

void RequestTask::RefuseForPart() {
  this->Refuse(ResultCode::kSuspectRefused,
               "a part of the prompt crashes endpoints", std::nullopt);
}

void RequestTask::PickService() {
  double total = 0;
  for (const catalog::WeightedService& part : this->route->services)
    total += part.weight;
  // Attempts at the same stream pick the same service.
  const uint64_t hash = common::Hash64(this->FirstAttempt());
  double random_point = static_cast<double>(hash >> 11) * 0x1.0p-53 * total;
  this->service = this->route->services.back().service;
  for (const catalog::WeightedService& part : this->route->services) {
    random_point -= part.weight;
    if (random_point >= 0)
      continue;
    this->service = part.service;
    break;
  }
  this->pool = this->deps.dispatcher.FindPool(this->service);
  if (!this->pool)
    this->Refuse(ResultCode::kNoEndpoint,
                 "the service of the route does not exist",
                 kStaleViewRetryAfter);
}

void RequestTask::CheckPlannedStop() {
  const auto end = this->deps.planned_stop.answer_deadline();
  if (!end)
    return;
  // An outcome that stays unknown is worst for a call that must not be
  // repeated. A stream that breaks off shows its caller how far it got.
  const PlannedStop& stop = this->deps.planned_stop;
  const bool is_call_once = this->route->kind == RouteKind::kNonIdempotent;
  const auto expected =
      is_call_once ? stop.LongestDuration(this->route->name, this->service,
                                          this->received_at)
                   : stop.UsualDuration(this->route->name, this->service,
                                        this->received_at);
  const dispatch::StoppingRequest stopping{this->deadline - this->received_at,
                                           expected, this->IsRepeatable()};
  if (!dispatch::MayStartWhileStopping(stopping, *end - this->received_at))
    this->Refuse(ResultCode::kStopping, "the host is stopping",
                 PlannedStop::kRetryAfter);
}

void RequestTask::WatchCaller() {
  // A non-idempotent request is not canceled when its caller disconnects,
  // because it may be partially executed.
  this->callback_state->cancel_when_gone =
      this->route->kind != RouteKind::kNonIdempotent;
  this->writer.OnCallerDisconnect([callback_state = this->callback_state] {
    callback_state->caller_gone = true;
    if (callback_state->send && callback_state->cancel_when_gone)
      callback_state->send->Cancel();
  });
}

TimePoint RequestTask::EffectiveDeadline() const {
  return std::min(
      this->deadline,
      this->deps.planned_stop.answer_deadline().value_or(this->deadline));
}

bool RequestTask::IsPastStop(TimePoint now) const {
  return this->EffectiveDeadline() < this->deadline &&
         this->Remaining(now) <= kNetworkDelay;
}

Duration RequestTask::Remaining(TimePoint now) const {
  return this->EffectiveDeadline() - now;
}

std::optional<dispatch::EndpointChoice> RequestTask::Choose(TimePoint now) {
  dispatch::SendRequirements requirements = this->Requirements();
  if (this->run_was_given_up) {
    // The endpoint that should go on has not run the request. The one whose run
    // was canceled may be the only one left.
    requirements.ready_only = true;
    requirements.tried = nullptr;
  }
  return this->pool->Choose(requirements, now);
}

void RequestTask::Refuse(ResultCode code,
                         const char* reason,
                         std::optional<Duration> retry_after) {
  const TimePoint now = runtime::BootNow();
  // Another host may reach the endpoints.
  if (this->origin.reply && this->pool && this->sends == 0 &&
      (this->failed_connects > 0 || this->pool->IsImpaired()))
    code = ResultCode::kPeerUnavailable;
  if (retry_after) {
    // Random spread, so that callers refused together do not retry together.
    const double spread =
        0.7 + 0.6 * this->deps.dispatcher.random().NextDouble();
    retry_after = Scale(*retry_after, spread);
  }
  this->deps.refused.Add();
  LogLine line(this->deps.log, Event::kRequestRefused);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kReason, reason)
      .Add(Field::kHeldMs, now - this->received_at);
  if (this->route)
    line.Add(Field::kRoute, this->route->name);
  if (this->config)
    line.Add(Field::kConfigVersion, this->config->version());
  if (const auto age = this->deps.view.age().AgeAt(now))
    line.Add(Field::kViewAgeMs, *age);
  if (this->pool)
    this->AddExclusions(line, now);
  if (this->request.last_event_id)
    line.Add(Field::kResumes, this->request.first_attempt);
  if (this->stream_software)
    line.Add(Field::kSoftware, *this->stream_software);
  if (this->blocked_part)
    line.Add(Field::kPart, *this->blocked_part);
  if (retry_after)
    line.Add(Field::kRetryAfterMs, *retry_after);
  throw RefusedError(code, reason, retry_after);
}

RequestTask::AttemptResult RequestTask::Attempt(PlannedSend planned) {
  const dispatch::EndpointChoice& choice = planned.choice;
  dispatch::SendTicket& ticket = planned.ticket;
  auto& record = *choice.endpoint;
  this->predicted = choice.predicted;
  this->sent_process = planned.process;
  this->reuse = {};
  this->end_evidence.reset();
  this->part_monitor.OnSent();
  forward::EndpointSend send(this->deps.connections, this->deps.codec,
                             record.endpoint().address);
  this->callback_state->send = &send;
  this->callback_state->move_reason.reset();
  this->RegisterSend(choice);
  const forward::SendParameters parameters = this->MakeSendParameters(choice);
  this->LogSent(choice, runtime::BootNow());
  AttemptResult result = AttemptResult::kUnknown;
  // Without an answer it is not known.
  bool may_be_refused = true;
  std::optional<Error> failure;
  try {
    const forward::ResponseHead head =
        send.Open(this->request, parameters, this->EffectiveDeadline());
    this->deps.dispatcher.MarkStarted(this->active_send);
    this->RecordHead(head, record);
    may_be_refused = head.not_run;
    send.CheckUsable();
    result = this->HandleResponse(send, head, ticket);
  } catch (const forward::SendError& error) {
    result = this->OnSendError(error, send, ticket);
  } catch (const Error& error) {
    failure = error;
  }
  this->LogStrayResponses(send, record);
  this->CountSend(send, result);
  this->callback_state->send = nullptr;
  this->deps.dispatcher.Unregister(this->active_send);
  record.OnEnded(ticket, runtime::BootNow());
  if (may_be_refused)
    record.brittle().OnRefused(runtime::BootNow());
  this->deps.dispatcher.GateOf(this->service).OnRoomFreed();
  if (failure)
    throw *failure;
  return result;
}

void RequestTask::RegisterSend(const dispatch::EndpointChoice& choice) {
  ActiveSend active{choice.endpoint,    this->pool,
                    runtime::BootNow(), this->MoveTimeout(choice),
                    this->Targets(),    this->ExpectedAnswer()};
  // The shared state outlives the task and tells whether a send is in progress.
  active.move = [this, state = this->callback_state](MoveReason reason) {
    return state->send && this->Move(reason);
  };
  active.last_event_at = [this] {
    return std::max(this->relay.statistics().last_event_at,
                    this->relay.last_event_taken_at());
  };
  active.waits_for_caller = [this, state = this->callback_state] {
    return state->send && this->relay.waits_for_caller();
  };
  if (this->request.prompt && this->pool->is_engine()) {
    active.model = this->request.prompt->model;
    active.version = choice.endpoint->VersionOf(active.model);
  }
  this->active_send = this->deps.dispatcher.Register(std::move(active));
}

void RequestTask::RecordPrompt(const dispatch::EndpointChoice& choice,
                               const dispatch::SendTicket& ticket) {
  if (!this->request.prompt || !this->pool->is_engine())
    return;
  const dispatch::PeerPrompt prompt{ticket.uncached_tokens,
                                    ticket.memory_tokens, choice.run_time,
                                    choice.is_long, ticket.urgency};
  this->pool->OnSent(prompt, ticket.sent_at);
  if (this->deps.peer_loads)
    this->deps.peer_loads->OnSent(choice.endpoint->endpoint().id, prompt);
}

void RequestTask::EndUnanswered() {
  if (this->relay.started())
    return;
  this->ended_by_stop = true;
  if (this->callback_state->send)
    this->callback_state->send->Cancel();
}

void RequestTask::EndForStop() {
  constexpr const char* kReason = "the host is stopping";
  if (this->runs == 0)
    this->Refuse(ResultCode::kStopping, kReason, PlannedStop::kRetryAfter);
  this->deps.failed.Add();
  LogLine(this->deps.log, Event::kRequestAnswered)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kStatus,
           common::InfoOf(ResultCode::kDeadlineExceeded).http_status)
      .Add(Field::kReason, "stopping")
      .Add(Field::kTookMs, runtime::BootNow() - this->received_at);
  throw Error(ResultCode::kDeadlineExceeded, kReason);
}

void RequestTask::EndForCaller() {
  constexpr const char* kReason =
      "the caller closed its side of the connection";
  if (this->runs == 0)
    throw RefusedError(ResultCode::kCanceled, kReason, std::nullopt);
  throw Error(ResultCode::kCanceled, kReason);
}

void RequestTask::CheckMayGoOn() {
  if (this->callback_state->caller_gone)
    this->EndForCaller();
  if (this->ended_by_stop)
    this->EndForStop();
}

void RequestTask::FailRequest() {
  const TimePoint now = runtime::BootNow();
  this->deps.failed.Add();
  if (this->runs == 0 && !this->relay.started())
    this->Refuse(ResultCode::kNoEndpoint, "no endpoint accepted the request",
                 this->route->target_latency / 3);
  const bool expired = this->timed_out || this->Remaining(now) <= kNetworkDelay;
  const auto code =
      expired ? ResultCode::kEndpointSilent : ResultCode::kEndpointFailed;
  if (!this->relay.started()) {
    LogLine line(this->deps.log, Event::kRequestAnswered);
    line.Add(Field::kRequest, this->request.attempt_id)
        .Add(Field::kStatus, common::InfoOf(code).http_status)
        .Add(Field::kReason, expired ? "endpoint_silent" : "endpoint_failed");
    if (this->give_up_reason)
      line.Add(Field::kDetail,
               dispatch::kGiveUpReasonNames.NameOf(*this->give_up_reason));
    line.Add(Field::kTookMs, now - this->received_at);
  }
  throw Error(
      code, expired ? "no response before the deadline" : "the endpoint failed",
      common::Outcome::kUnknown);
}

}  // namespace jujuberock::gateway
