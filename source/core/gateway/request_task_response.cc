// The response of an endpoint: how it is passed on, and what is learnt from it.
#include "core/gateway/request_task.h"

#include <algorithm>

#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

namespace {

using catalog::RouteKind;
using common::Duration;
using common::TimePoint;
using dispatch::SendOutcome;
using events::Event;
using events::Field;
using events::LogLine;
using forward::SendFailure;

// An endpoint that rejected a request because it is full is not used for this
// long.
constexpr Duration kFullEndpointPause = std::chrono::milliseconds(60);
// An endpoint that is not the intended one, or that runs other weights, is not
// used for this long, so that the view can be updated.
constexpr Duration kMismatchPause = std::chrono::milliseconds(400);
constexpr int kStatusOk = 200;
constexpr int kStatusMisdirected = 421;
// A connection that fails faster than this was refused; a slower one has run
// into the connect timeout.
constexpr Duration kQuickConnect = std::chrono::milliseconds(50);

bool IsSuccess(int status) {
  return status >= 200 && status < 300;
}

}  // namespace

void RequestTask::RecordHead(const forward::ResponseHead& head,
                             dispatch::EndpointRecord& record) {
  const TimePoint now = runtime::BootNow();
  record.OnBytesReceived(now);
  this->pool->OnReached(record, now);
  this->deps.dispatcher.OnNotice(record, head.notice);
  if (head.load)
    this->RecordLoad(*head.load, record, now);
  if (head.weight_version && this->request.prompt)
    record.SetVersion(this->request.prompt->model, *head.weight_version);
}

void RequestTask::RecordLoad(const dispatch::LoadReport& load,
                             dispatch::EndpointRecord& record,
                             TimePoint now) {
  // Each of many hosts hears little from an engine, so they share reports that
  // change what they would choose.
  const bool is_news = record.IsNews(load, now);
  record.OnLoadReport(load, now);
  if (is_news && this->deps.peer_loads && this->pool->is_engine())
    this->deps.peer_loads->OnLoad(record.endpoint().id, load);
}

RequestTask::AttemptResult RequestTask::HandleResponse(
    forward::EndpointSend& send,
    const forward::ResponseHead& head,
    dispatch::SendTicket& ticket) {
  auto& record = *ticket.endpoint;
  if (head.not_run) {
    this->OnTurnedAway(send, head, record);
    send.Discard();
    return AttemptResult::kNotRun;
  }
  record.OnAccepted();
  const bool own_failure = head.status >= 500;
  if (own_failure)
    this->deps.dispatcher.OnOutcome(*this->pool, record, SendOutcome::kError);
  // The failure is the answer unless another endpoint takes the request.
  if (own_failure && !this->relay.started() &&
      this->Remaining(runtime::BootNow()) > this->route->target_latency / 2 &&
      this->ReserveNextSend(false)) {
    send.Discard();
    return AttemptResult::kUnknown;
  }
  if (this->relay.started() && !this->IsStream(head))
    return AttemptResult::kUnknown;
  if (this->IsStream(head))
    this->CheckProcess(record);
  this->RelayResponse(send, head, ticket);
  this->succeeded = IsSuccess(head.status);
  if (this->succeeded && this->IsResumable())
    this->deps.stream_registry.OnComplete(this->FirstAttempt());
  if (!own_failure) {
    this->deps.dispatcher.OnOutcome(*this->pool, record, SendOutcome::kGood);
    this->deps.dispatcher.suspects().OnSuccess(this->fingerprint,
                                               runtime::BootNow());
    // Without framing, the end of the connection may also be a crash.
    if (IsSuccess(head.status) &&
        (!send.ends_with_connection() ||
         this->end_evidence == EndEvidence::kSameProcess ||
         this->end_evidence == EndEvidence::kReachable))
      this->part_monitor.OnAnswered(ticket, runtime::BootNow());
  }
  return AttemptResult::kAnswered;
}

void RequestTask::OnTurnedAway(const forward::EndpointSend& send,
                               const forward::ResponseHead& head,
                               dispatch::EndpointRecord& record) {
  const TimePoint now = runtime::BootNow();
  const bool is_misdirected = head.status == kStatusMisdirected;
  const Duration pause = is_misdirected ? kMismatchPause : kFullEndpointPause;
  record.paused_until = std::max(record.paused_until, now + pause);
  record.OnRefused(now);
  {
    LogLine line(this->deps.log, Event::kRequestTurnedAway);
    line.Add(Field::kRequest, this->request.attempt_id)
        .Add(Field::kEndpoint, record.endpoint().id)
        .Add(Field::kStatus, head.status);
    this->AddConnection(line, send);
  }
  if (!is_misdirected)
    return;
  ++this->misdirected_sends;
  ++this->quick_failures;
  // An endpoint with other weights is still the one that is registered.
  const bool has_other_weights = head.weight_version && this->request.prompt &&
                                 *head.weight_version != this->sent_version;
  if (!has_other_weights)
    this->deps.dispatcher.OnOutcome(*this->pool, record,
                                    SendOutcome::kReplaced);
}

bool RequestTask::IsStream(const forward::ResponseHead& head) const {
  return this->route->kind == RouteKind::kStream && head.status == kStatusOk;
}

dispatch::AnswerKind RequestTask::ExpectedAnswer() const {
  if (this->pool->is_engine())
    return dispatch::AnswerKind::kEngineStream;
  return this->route->kind == RouteKind::kStream ? dispatch::AnswerKind::kStream
                                                 : dispatch::AnswerKind::kWhole;
}

void RequestTask::RecordFirstByte(dispatch::SendTicket& ticket) {
  if (ticket.started)
    return;
  this->FixSoftware();
  const TimePoint now = runtime::BootNow();
  auto& record = *ticket.endpoint;
  record.OnStarted(ticket, now);
  // The engine has prefilled the prompt, and has reported its load.
  this->deps.dispatcher.GateOf(this->service).OnRoomFreed();
  this->deps.dispatcher.MarkFirstEvent(this->active_send);
  if (this->request.prompt && this->pool->is_engine()) {
    this->pool->OnFirstToken(ticket, now);
    this->RecordFetch(now - ticket.sent_at - this->predicted);
    record.part_cache().Insert(
        dispatch::CachedPartsOf(this->cache_key, *this->request.prompt));
  }
  if (this->first_byte_at == TimePoint())
    this->first_byte_at = now;
  this->deps.first_byte.Observe(now - this->received_at);
}

void RequestTask::RecordFetch(Duration excess) {
  if (this->reuse.main_source.empty())
    return;
  this->deps.cache_store_index.OnFetched(this->reuse.main_source, excess);
  if (this->deps.peer_loads)
    this->deps.peer_loads->OnFetched(this->reuse.main_source, excess);
}

void RequestTask::RelayResponse(forward::EndpointSend& send,
                                const forward::ResponseHead& head,
                                dispatch::SendTicket& ticket) {
  const auto is_running = [&] {
    const Duration watch_time =
        this->IsStream(head) ? std::min(this->route->target_event_gap,
                                        this->Remaining(runtime::BootNow()))
                             : Duration(0);
    this->end_evidence = this->deps.dispatcher.CheckAfterEnd(
        *ticket.endpoint, this->sent_process, watch_time);
    return MayStillRun(*this->end_evidence);
  };
  if (this->origin.reply)
    this->origin.reply->SetEndpoint(
        {ticket.endpoint->endpoint().id,
         ticket.endpoint->endpoint().started_at_ms});
  if (this->IsStream(head)) {
    this->relay.RelayStream(
        send, head, dispatch::StalledEndLimit(this->Targets()),
        [&] {
          this->RecordFirstByte(ticket);
          const TimePoint now = runtime::BootNow();
          ticket.endpoint->OnBytesReceived(now);
          this->pool->OnReached(*ticket.endpoint, now);
          this->part_monitor.OnEvent(ticket, now);
        },
        is_running);
    this->pool->OnFinished(ticket, runtime::BootNow());
  } else {
    this->relay.RelayWhole(
        send, head,
        [&] {
          if (!this->pool->is_engine())
            ticket.endpoint->OnLatency(runtime::BootNow() - ticket.sent_at);
          this->RecordFirstByte(ticket);
        },
        is_running);
  }
  this->LogAnswered(send, head, *ticket.endpoint);
}

RequestTask::AttemptResult RequestTask::OnSendError(
    const forward::SendError& error,
    const forward::EndpointSend& send,
    dispatch::SendTicket& ticket) {
  auto& record = *ticket.endpoint;
  this->LogCut(error, send, record);
  if (!send.sent()) {
    const bool is_quick = runtime::BootNow() - ticket.sent_at < kQuickConnect;
    ++(is_quick ? this->quick_failures : this->slow_connects);
    if (error.failure() == SendFailure::kNotConnected) {
      ++this->failed_connects;
      this->deps.dispatcher.OnOutcome(*this->pool, record,
                                      SendOutcome::kNoRoute);
    }
    return AttemptResult::kNotRun;
  }
  switch (error.failure()) {
    case SendFailure::kBroken:
      // A full endpoint resets new connections before it answers.
      if (send.framing() != forward::Framing::kNone && !this->end_evidence)
        record.process().OnResponseBroken(runtime::BootNow(),
                                          runtime::BootNow());
      this->deps.dispatcher.OnOutcome(*this->pool, record,
                                      SendOutcome::kBroken);
      this->deps.dispatcher.OnBroken(
          ticket.endpoint,
          {this->fingerprint,
           this->part_monitor.PossibleCauses(ticket, runtime::BootNow())});
      break;
    case SendFailure::kMalformed:
    case SendFailure::kStalled:
      this->deps.dispatcher.OnOutcome(*this->pool, record, SendOutcome::kError);
      break;
    case SendFailure::kTimeout:
      this->timed_out = true;
      if (record.last_byte_time() < ticket.sent_at)
        this->deps.dispatcher.OnOutcome(*this->pool, record,
                                        SendOutcome::kSilent);
      break;
    case SendFailure::kCanceled:
      // When the dispatcher cancels a send, it records the reason itself.
      break;
    case SendFailure::kNotConnected:
      break;
  }
  return AttemptResult::kUnknown;
}

}  // namespace jujuberock::gateway
