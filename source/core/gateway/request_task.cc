#include "core/gateway/request_task.h"

#include <algorithm>
#include <map>
#include <utility>

#include <boost/beast/core/string.hpp>

#include "core/common/scale.h"
#include "core/gateway/refused_error.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using catalog::RouteKind;
using common::Duration;
using common::Error;
using common::ResultCode;
using common::Scale;
using common::TimePoint;
using dispatch::AdmissionStep;
using dispatch::SendOutcome;
using events::Event;
using events::Field;
using events::Line;
using forward::SendFailure;

// A waiting request looks again for an endpoint this often.
constexpr Duration kAwaitPoll = std::chrono::milliseconds(12);
// Connections that one request tries to open; a dead endpoint costs the
// connect timeout.
constexpr int64_t kMostFailedConnects = 3;
// Endpoints finish this long before the caller stops waiting, so that the
// answer can still travel.
constexpr Duration kTravelTime = std::chrono::milliseconds(5);
// An endpoint that rejected a request as full is left alone for a moment.
constexpr Duration kFullPause = std::chrono::milliseconds(60);
// An endpoint that is not the one meant, or runs other weights, is left alone
// until the view has caught up.
constexpr Duration kMismatchPause = std::chrono::milliseconds(400);
constexpr Duration kStaleViewRetryAfter = std::chrono::milliseconds(300);
constexpr double kPlainMoveFactor = 5;
constexpr double kPlainMoveShare = 0.8;
constexpr double kStreamMoveFactor = 2.5;
constexpr Duration kStreamMoveExtra = std::chrono::milliseconds(150);
// Part of the target within which stored parts must have been fetched; after
// that there is still time to read them.
constexpr double kFetchShare = 0.75;
// Part of the target that a fetch may wait for the store's link.
constexpr double kFetchWaitShare = 0.45;
// Answers that are kept whole before they are passed on end here.
constexpr size_t kMostWholeBytes = 16 * 1024 * 1024;

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

bool IsEventStream(const forward::AnswerHead& head) {
  const auto type = head.passed_on.Find("Content-Type");
  constexpr std::string_view kEventStream = "text/event-stream";
  return type && type->substr(0, kEventStream.size()) == kEventStream;
}

}  // namespace

RequestTask::RequestTask(RequestParts& parts,
                         forward::CallerRequest request,
                         runtime::ResponseWriter& writer)
    : parts(parts),
      request(std::move(request)),
      writer(writer),
      config(parts.view.config()),
      received_at(runtime::BootNow()),
      shared(std::make_shared<Shared>()) {}

RequestTask::~RequestTask() {
  this->shared->send = nullptr;
}

void RequestTask::Run() {
  this->Route();
  this->PickService();
  this->CheckSuspect();
  this->WatchCaller();
  this->parts.dispatcher.retries().OnRequest(this->service, this->received_at);
  while (true) {
    const dispatch::Choice choice = this->AwaitEndpoint();
    const AttemptEnd end = this->Attempt(choice);
    if (end == AttemptEnd::kAnswered)
      break;
    if (this->shared->caller_gone)
      throw Error(ResultCode::kCanceled, "the caller has left");
    if (!this->MaySendAgain(end))
      this->GiveUp();
  }
  this->parts.answered.Add();
  this->parts.total.Observe(runtime::BootNow() - this->received_at);
}

void RequestTask::Route() {
  if (!this->config || !this->parts.view.IsComplete())
    this->Refuse(ResultCode::kNotReady, "no configuration yet",
                 kStaleViewRetryAfter);
  this->route =
      this->config->FindRoute(this->request.host, this->request.target);
  if (!this->route)
    throw Error(ResultCode::kUnknownPath, "no route");
  this->urgency = static_cast<int>(this->route->priority);
  if (this->config->has_teams() && !this->route->is_public)
    this->CheckKey(*this->config);
  this->urgency = std::clamp(this->urgency, 0, dispatch::kUrgencies - 1);
  if (this->request.attempt_id.empty())
    throw Error(ResultCode::kMalformedRequest, "no attempt id");
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
  if (!this->parts.view.age().KeysUsable(this->received_at))
    this->Refuse(ResultCode::kNotReady, "the view of keys is too old",
                 kStaleViewRetryAfter);
  this->team = config.FindTeam(this->request.key);
  if (!this->team)
    throw Error(ResultCode::kUnauthenticated, "unknown key");
  if (this->team->priority)
    this->urgency = static_cast<int>(*this->team->priority);
}

void RequestTask::CheckSuspect() {
  const std::string_view caller =
      this->team ? std::string_view(this->team->name) : std::string_view();
  this->fingerprint = suspects::FingerprintOf(
      caller, this->service, this->request.target, this->request.body);
  const auto verdict = this->parts.dispatcher.suspects().Check(
      this->fingerprint, this->received_at);
  if (verdict == suspects::Verdict::kRefuse)
    this->Refuse(ResultCode::kSuspectRefused,
                 "the request has crashed endpoints", std::nullopt);
  this->isolate = verdict == suspects::Verdict::kIsolate;
}

void RequestTask::PickService() {
  double total = 0;
  for (const catalog::WeightedService& part : this->route->services)
    total += part.weight;
  double point = this->parts.dispatcher.random().Unit() * total;
  this->service = this->route->services.back().service;
  for (const catalog::WeightedService& part : this->route->services) {
    point -= part.weight;
    if (point >= 0)
      continue;
    this->service = part.service;
    break;
  }
  this->pool = this->parts.dispatcher.PoolOf(this->service);
  if (!this->pool)
    this->Refuse(ResultCode::kNoEndpoint, "unknown service",
                 kStaleViewRetryAfter);
}

void RequestTask::WatchCaller() {
  // A non-idempotent call goes on when its caller leaves: it may be half done.
  this->shared->cancel_when_gone =
      this->route->kind != RouteKind::kNonIdempotent;
  this->writer.OnCallerGone([shared = this->shared] {
    shared->caller_gone = true;
    if (shared->send && shared->cancel_when_gone)
      shared->send->Cancel();
  });
}

std::string RequestTask::SaltFor(uint64_t version) const {
  reuse::Salt made = this->salt;
  made.version = version;
  return reuse::RenderSalt(made);
}

Duration RequestTask::Remaining(TimePoint now) const {
  return this->deadline - now;
}

dispatch::SendNeeds RequestTask::Needs() const {
  dispatch::SendNeeds needs;
  needs.urgency = this->urgency;
  needs.tried = &this->tried;
  needs.isolate = this->isolate;
  if (!this->request.prompt || !this->pool->is_engine())
    return needs;
  needs.prompt = &*this->request.prompt;
  needs.salt = this->cache_key;
  const std::string& model = needs.prompt->model;
  needs.required_version =
      this->parts.view.RequiredVersion(model, runtime::BootNow());
  needs.preferred_version = this->parts.view.NewestVersion(model);
  const reuse::FetchTerms terms = this->TermsFor(nullptr);
  needs.fetch_limits = terms.limits;
  needs.stored = [this, terms,
                  known =
                      std::map<uint64_t, std::vector<dispatch::StoredPart>>()](
                     uint64_t version) mutable
      -> const std::vector<dispatch::StoredPart>& {
    const auto [entry, is_new] = known.try_emplace(version);
    if (is_new)
      entry->second = this->parts.stores.Offer(this->SaltFor(version),
                                               *this->request.prompt, terms,
                                               runtime::BootNow());
    return entry->second;
  };
  return needs;
}

dispatch::Choice RequestTask::AwaitEndpoint() {
  const TimePoint began = runtime::BootNow();
  bool queued = false;
  while (true) {
    const TimePoint now = runtime::BootNow();
    if (this->shared->caller_gone)
      throw Error(ResultCode::kCanceled, "the caller has left");
    const auto choice = this->pool->Choose(this->Needs(), now);
    dispatch::AdmissionRequest ask;
    ask.target_latency = this->route->target_latency;
    ask.elapsed = now - this->received_at;
    ask.held = now - began;
    ask.remaining = this->Remaining(now);
    const auto decision = dispatch::DecideAdmission(ask, choice);
    const bool out_of_time = ask.remaining <= 2 * kTravelTime;
    if (decision.step == AdmissionStep::kSend && !out_of_time) {
      this->held += now - began;
      return *choice;
    }
    if (decision.step == AdmissionStep::kRefuse || out_of_time) {
      if (this->sends > 0)
        this->GiveUp();
      this->Refuse(
          choice ? ResultCode::kDeadlineUnreachable : ResultCode::kNoEndpoint,
          choice ? "no endpoint answers in time" : "no endpoint",
          decision.retry_after);
    }
    if (!queued)
      Line(this->parts.log, Event::kRequestQueued)
          .Add(Field::kRequest, this->request.attempt_id)
          .Add(Field::kService, this->service)
          .Add(Field::kPredictedMs, choice ? choice->predicted : Duration(0));
    queued = true;
    runtime::SleepFor(kAwaitPoll);
  }
}

void RequestTask::Refuse(ResultCode code,
                         const char* reason,
                         std::optional<Duration> retry_after) {
  const TimePoint now = runtime::BootNow();
  if (retry_after) {
    // Spreads the returns of callers that were refused together.
    const double spread = 0.7 + 0.6 * this->parts.dispatcher.random().Unit();
    retry_after = Scale(*retry_after, spread);
  }
  this->parts.refused.Add();
  Line line(this->parts.log, Event::kRequestRefused);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kReason, reason)
      .Add(Field::kHeldMs, now - this->received_at);
  if (this->route)
    line.Add(Field::kRoute, this->route->name);
  if (const auto age = this->parts.view.age().AgeAt(now))
    line.Add(Field::kViewAgeMs, *age);
  if (retry_after)
    line.Add(Field::kRetryAfterMs, *retry_after);
  throw RefusedError(code, reason, retry_after);
}

forward::SendOrder RequestTask::OrderFor(const dispatch::Choice& choice) {
  const TimePoint now = runtime::BootNow();
  forward::SendOrder order;
  order.endpoint_id = choice.endpoint->endpoint().id;
  order.remaining = std::max(Duration(std::chrono::milliseconds(1)),
                             this->Remaining(now) - kTravelTime);
  if (this->team)
    order.team = this->team->name;
  if (this->splitter.last_id())
    order.last_event_id = this->splitter.last_id();
  if (!this->request.prompt || !this->pool->is_engine())
    return order;
  order.urgency = this->urgency;
  const uint64_t version =
      choice.endpoint->VersionOf(this->request.prompt->model);
  order.cache_salt = this->SaltFor(version);
  // Parts are found by their salt alone, so the weights that make them must be
  // those that the salt names.
  order.expected_version = version;
  this->AddReuse(choice, order);
  return order;
}

reuse::FetchTerms RequestTask::TermsFor(const dispatch::Choice* choice) const {
  reuse::FetchTerms terms;
  terms.limits.read_token_ms = this->pool->first_token().token_ms();
  terms.limits.most_wait_ms = common::ToMilliseconds(
      Scale(this->route->target_latency, kFetchWaitShare));
  const auto& traits = this->pool->engine_traits();
  if (traits) {
    terms.token_bytes = traits->kv_token_bytes;
    terms.engine_link_mbps = traits->link_mbps;
  }
  if (choice) {
    terms.cached_tokens = choice->cached_tokens;
    terms.engine_zone = choice->endpoint->endpoint().zone;
  }
  terms.read_time = Scale(this->route->target_latency, kFetchShare);
  terms.chance = this->parts.dispatcher.random().Unit();
  return terms;
}

void RequestTask::AddReuse(const dispatch::Choice& choice,
                           forward::SendOrder& order) {
  this->reuse =
      this->parts.stores.Plan(*order.cache_salt, *this->request.prompt,
                              this->TermsFor(&choice), runtime::BootNow());
  order.cache_sources = this->reuse.sources;
  order.cache_targets = this->reuse.targets;
  if (this->parts.peer_loads) {
    for (const reuse::StoreTransfer& transfer : this->reuse.transfers)
      this->parts.peer_loads->OnTransfer(transfer);
  }
  if (this->reuse.source_tokens > 0)
    order.cache_until_ms = this->reuse.until_ms;
}

std::optional<Duration> RequestTask::MoveAfter(
    const dispatch::Choice& choice) const {
  const bool is_last = this->sends + 1 >= this->route->max_attempts;
  if (!this->MayRepeat() || is_last)
    return std::nullopt;
  if (!this->pool->is_engine()) {
    const double usual_ms =
        choice.endpoint->mean_latency_ms() * kPlainMoveFactor;
    return std::max(common::FromSeconds(usual_ms / 1000),
                    Scale(this->route->target_latency, kPlainMoveShare));
  }
  return std::max(
      this->route->target_latency,
      Scale(choice.predicted, kStreamMoveFactor) + kStreamMoveExtra);
}

RequestTask::AttemptEnd RequestTask::Attempt(const dispatch::Choice& choice) {
  auto& record = *choice.endpoint;
  const TimePoint now = runtime::BootNow();
  this->predicted = choice.predicted;
  this->reuse = {};
  dispatch::SendTicket ticket;
  ticket.endpoint = choice.endpoint;
  ticket.urgency = this->urgency;
  ticket.uncached_tokens = choice.uncached_tokens;
  ticket.is_long = choice.is_long;
  if (this->request.prompt) {
    ticket.memory_tokens = this->request.prompt->MemoryTokens();
    ticket.max_output_tokens = this->request.prompt->max_output_tokens;
  }
  record.OnSent(ticket, now);
  this->tried.insert(record.endpoint().id);
  this->TellPeers(choice, ticket);

  forward::EndpointSend send(this->parts.connections, this->parts.codec,
                             record.endpoint().address);
  this->shared->send = &send;
  this->shared->moved = false;
  ActiveSend active{choice.endpoint, this->pool, now, this->MoveAfter(choice)};
  active.move = [shared = this->shared] {
    shared->moved = true;
    if (shared->send)
      shared->send->Cancel();
  };
  const auto handle = this->parts.dispatcher.Register(std::move(active));
  const forward::SendOrder order = this->OrderFor(choice);
  Line(this->parts.log, this->sends == 0       ? Event::kRequestSent
                        : this->answer_started ? Event::kRequestResumed
                                               : Event::kRequestResent)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kEndpoint, record.endpoint().id)
      .Add(Field::kConfigVersion, this->config->version())
      .Add(Field::kHeldMs, this->held)
      .Add(Field::kPredictedMs, choice.predicted)
      .Add(Field::kUncachedTokens, choice.uncached_tokens)
      .Add(Field::kFetchedTokens, this->reuse.fetched_tokens)
      .Add(Field::kSkippedTokens, this->reuse.skipped_tokens)
      .Add(Field::kAbsentTokens, this->reuse.absent_tokens)
      .Add(Field::kInFlight, record.own_in_flight())
      .Add(Field::kRemainingMs, this->Remaining(now));
  AttemptEnd end = AttemptEnd::kUnknown;
  std::optional<Error> failure;
  try {
    const forward::AnswerHead head =
        send.Open(this->request, order, this->deadline);
    this->parts.dispatcher.MarkStarted(handle);
    this->NoteHead(head, record);
    end = this->TakeAnswer(send, head, ticket);
  } catch (const forward::SendError& error) {
    end = this->OnSendError(error, send, ticket);
  } catch (const Error& error) {
    failure = error;
  }
  if (send.sent())
    ++this->sends;
  this->shared->send = nullptr;
  this->parts.dispatcher.Unregister(handle);
  record.OnEnded(ticket, runtime::BootNow());
  if (failure)
    throw *failure;
  return end;
}

void RequestTask::TellPeers(const dispatch::Choice& choice,
                            const dispatch::SendTicket& ticket) {
  if (!this->request.prompt || !this->pool->is_engine())
    return;
  const dispatch::PeerPrompt prompt{ticket.uncached_tokens,
                                    ticket.memory_tokens, choice.run_time,
                                    choice.is_long};
  this->pool->OnSent(prompt, ticket.sent_at);
  if (this->parts.peer_loads)
    this->parts.peer_loads->OnSent(choice.endpoint->endpoint().id, prompt);
}

void RequestTask::NoteHead(const forward::AnswerHead& head,
                           dispatch::EndpointRecord& record) {
  const TimePoint now = runtime::BootNow();
  record.OnSignOfLife(now);
  if (head.load)
    record.OnLoadReport(*head.load, now);
  if (head.weight_version && this->request.prompt)
    record.SetVersion(this->request.prompt->model, *head.weight_version);
}

RequestTask::AttemptEnd RequestTask::TakeAnswer(forward::EndpointSend& send,
                                                const forward::AnswerHead& head,
                                                dispatch::SendTicket& ticket) {
  auto& record = *ticket.endpoint;
  if (head.not_run) {
    const Duration pause = head.status == 421 ? kMismatchPause : kFullPause;
    record.reserved_until =
        std::max(record.reserved_until, runtime::BootNow() + pause);
    while (send.Read()) {
    }
    return AttemptEnd::kNotRun;
  }
  const bool own_failure = head.status >= 500;
  if (own_failure)
    this->parts.dispatcher.OnOutcome(*this->pool, record, SendOutcome::kError);
  if (own_failure && this->MayRepeat() && !this->answer_started &&
      this->sends + 1 < this->route->max_attempts &&
      this->Remaining(runtime::BootNow()) > this->route->target_latency / 2) {
    while (send.Read()) {
    }
    return AttemptEnd::kUnknown;
  }
  const bool relay =
      this->route->kind == RouteKind::kStream && IsSuccess(head.status);
  if (this->answer_started && !relay)
    return AttemptEnd::kUnknown;
  const AttemptEnd end = relay ? this->Relay(send, head, ticket)
                               : this->TakeWhole(send, head, ticket);
  if (end == AttemptEnd::kAnswered && !own_failure) {
    this->parts.dispatcher.OnOutcome(*this->pool, record, SendOutcome::kGood);
    this->parts.dispatcher.suspects().OnSuccess(this->fingerprint,
                                                runtime::BootNow());
  }
  return end;
}

void RequestTask::NotePause() {
  const TimePoint now = runtime::BootNow();
  if (this->last_event_at != TimePoint())
    this->longest_pause =
        std::max(this->longest_pause, now - this->last_event_at);
  this->last_event_at = now;
}

void RequestTask::NoteFirstByte(dispatch::SendTicket& ticket) {
  if (ticket.started)
    return;
  const TimePoint now = runtime::BootNow();
  auto& record = *ticket.endpoint;
  record.OnStarted(ticket, now);
  if (this->request.prompt && this->pool->is_engine()) {
    this->pool->OnFirstToken(ticket, now);
    this->NoteFetch(now - ticket.sent_at - this->predicted);
    record.part_cache().Insert(this->cache_key, *this->request.prompt);
  }
  if (this->first_byte_at == TimePoint())
    this->first_byte_at = now;
  this->parts.first_byte.Observe(now - this->received_at);
}

void RequestTask::NoteFetch(Duration excess) {
  if (this->reuse.main_source.empty())
    return;
  this->parts.stores.OnFetched(this->reuse.main_source, excess);
  if (this->parts.peer_loads)
    this->parts.peer_loads->OnFetched(this->reuse.main_source, excess);
}

RequestTask::AttemptEnd RequestTask::TakeWhole(forward::EndpointSend& send,
                                               const forward::AnswerHead& head,
                                               dispatch::SendTicket& ticket) {
  runtime::HttpResponse response;
  response.status = head.status;
  response.headers = head.passed_on;
  while (auto bytes = send.Read()) {
    response.body += *bytes;
    if (response.body.size() > kMostWholeBytes)
      throw Error(ResultCode::kEndpointFailed, "the answer is too large");
  }
  const TimePoint now = runtime::BootNow();
  if (!this->pool->is_engine())
    ticket.endpoint->OnLatency(now - ticket.sent_at);
  this->NoteFirstByte(ticket);
  Line(this->parts.log, Event::kRequestAnswered)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kStatus, head.status)
      .Add(Field::kTookMs, now - this->received_at);
  this->answer_started = true;
  this->writer.Send(std::move(response));
  return AttemptEnd::kAnswered;
}

RequestTask::AttemptEnd RequestTask::Relay(forward::EndpointSend& send,
                                           const forward::AnswerHead& head,
                                           dispatch::SendTicket& ticket) {
  const bool events = IsEventStream(head);
  this->splitter.DiscardPartial();
  if (!this->answer_started) {
    this->answer_started = true;
    this->writer.StartStream(head.status, head.passed_on);
  }
  while (auto bytes = send.Read()) {
    this->NoteFirstByte(ticket);
    ticket.endpoint->OnSignOfLife(runtime::BootNow());
    const std::string whole =
        events ? this->splitter.Push(*bytes) : std::move(*bytes);
    if (whole.empty())
      continue;
    ++this->events_sent;
    this->NotePause();
    this->writer.Write(whole);
  }
  const std::string rest = this->splitter.TakePartial();
  if (!rest.empty())
    this->writer.Write(rest);
  this->writer.FinishStream();
  const TimePoint now = runtime::BootNow();
  this->pool->OnFinished(ticket, now);
  Line(this->parts.log, Event::kRequestAnswered)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kStatus, head.status)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kEndpoint, ticket.endpoint->endpoint().id)
      .Add(Field::kPredictedMs, this->predicted)
      .Add(Field::kFirstByteMs, this->first_byte_at - this->received_at)
      .Add(Field::kLongestPauseMs, this->longest_pause)
      .Add(Field::kCount, this->events_sent)
      .Add(Field::kTookMs, now - this->received_at);
  return AttemptEnd::kAnswered;
}

RequestTask::AttemptEnd RequestTask::OnSendError(
    const forward::SendError& error,
    const forward::EndpointSend& send,
    dispatch::SendTicket& ticket) {
  auto& record = *ticket.endpoint;
  Line(this->parts.log, Event::kRequestCut)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kEndpoint, record.endpoint().id)
      .Add(Field::kReason, forward::kSendFailureNames.NameOf(error.failure()))
      .Add(Field::kDetail, error.what())
      .Add(Field::kElapsedMs, runtime::BootNow() - this->received_at);
  if (!send.sent()) {
    ++this->failed_connects;
    if (error.failure() == SendFailure::kNotConnected)
      this->parts.dispatcher.OnOutcome(*this->pool, record,
                                       SendOutcome::kNoRoute);
    return AttemptEnd::kNotRun;
  }
  switch (error.failure()) {
    case SendFailure::kBroken:
      this->parts.dispatcher.OnOutcome(*this->pool, record,
                                       SendOutcome::kBroken);
      this->parts.dispatcher.OnBroken(ticket.endpoint, this->fingerprint);
      break;
    case SendFailure::kMalformed:
      this->parts.dispatcher.OnOutcome(*this->pool, record,
                                       SendOutcome::kError);
      break;
    case SendFailure::kTimeout:
      this->timed_out = true;
      if (record.last_heard() < ticket.sent_at)
        this->parts.dispatcher.OnOutcome(*this->pool, record,
                                         SendOutcome::kSilent);
      break;
    case SendFailure::kCanceled:
      // A move was decided by the silence check, which booked its reason.
      break;
    case SendFailure::kNotConnected:
      break;
  }
  return AttemptEnd::kUnknown;
}

bool RequestTask::MayRepeat() const {
  if (this->route->kind == RouteKind::kIdempotent)
    return true;
  return this->route->kind == RouteKind::kStream && this->route->can_resume;
}

bool RequestTask::MaySendAgain(AttemptEnd end) {
  if (end == AttemptEnd::kUnknown) {
    this->may_have_run = true;
    if (!this->MayRepeat())
      return false;
  }
  // A begun answer goes on only behind an event that the caller has.
  if (this->answer_started && !this->splitter.last_id())
    return false;
  if (this->sends >= this->route->max_attempts)
    return false;
  if (this->failed_connects >= kMostFailedConnects)
    return false;
  const TimePoint now = runtime::BootNow();
  if (this->Remaining(now) <= 2 * kTravelTime)
    return false;
  if (this->sends == 0)
    return true;
  return this->parts.dispatcher.retries().TryRetry(this->service, now);
}

void RequestTask::GiveUp() {
  const TimePoint now = runtime::BootNow();
  this->parts.failed.Add();
  if (!this->may_have_run && !this->answer_started)
    this->Refuse(ResultCode::kNoEndpoint, "no endpoint took the request",
                 this->route->target_latency / 3);
  const bool expired = this->timed_out || this->Remaining(now) <= kTravelTime;
  const auto code =
      expired ? ResultCode::kEndpointSilent : ResultCode::kEndpointFailed;
  if (!this->answer_started)
    Line(this->parts.log, Event::kRequestAnswered)
        .Add(Field::kRequest, this->request.attempt_id)
        .Add(Field::kStatus, common::InfoOf(code).http_status)
        .Add(Field::kReason, expired ? "endpoint_silent" : "endpoint_failed")
        .Add(Field::kTookMs, now - this->received_at);
  throw Error(code, expired ? "no answer in time" : "the endpoint failed",
              common::Outcome::kUnknown);
}

}  // namespace jujuberock::gateway
