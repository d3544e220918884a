// How a request is handed over to another host, while this one does not reach
// the endpoints.
#include "core/gateway/request_task.h"

#include <utility>

#include "core/dispatch/silence_limit.h"
#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

namespace {

using common::ResultCode;
using common::TimePoint;
using events::Event;
using events::Field;
using events::LogLine;
using forward::SendFailure;

// Connections that a request fails to open before it is handed over, if the
// host has not found out before.
constexpr int64_t kMaxFailedConnects = 2;
// Hosts that one request is handed over to. Each of them that can't serve it is
// left out by later requests for a while.
constexpr int64_t kMaxHandovers = 4;
// Time after which a request that no host could serve may ask again.
constexpr common::Duration kHandoverPause = std::chrono::milliseconds(300);

}  // namespace

bool RequestTask::MustHandOver() const {
  if (!this->deps.peers || this->origin.reply ||
      runtime::BootNow() < this->handover_again_at)
    return false;
  if (this->relay.started() || this->reserved ||
      (this->runs > 0 && !this->IsRepeatable()))
    return false;
  return this->failed_connects >= kMaxFailedConnects ||
         this->pool->IsImpaired();
}

bool RequestTask::HandOver() {
  std::set<std::string> asked;
  const catalog::Homes homes = this->Homes();
  const std::string_view own_region =
      this->deps.regions.RegionOf(this->deps.settings.zone);
  const auto allows = [&](const std::string& zone) {
    return this->deps.regions.RegionOf(zone) == own_region || homes.Allow(zone);
  };
  for (int64_t i = 0; i < kMaxHandovers; ++i) {
    const auto host = this->deps.peers->Choose(this->service, asked, allows,
                                               runtime::BootNow());
    if (!host)
      break;
    asked.insert(host->name);
    const HandoverResult result = this->Ask(*host);
    if (result == HandoverResult::kAnswered)
      return true;
    this->CheckMayGoOn();
    if (result == HandoverResult::kUnknown && !this->MaySendAgain())
      this->FailRequest();
    if (this->Remaining(runtime::BootNow()) <= dispatch::kMinTimeToAnswer)
      break;
  }
  this->handover_again_at = runtime::BootNow() + kHandoverPause;
  return false;
}

RequestTask::HandoverResult RequestTask::Ask(const handover::PeerHost& host) {
  forward::CallerRequest request = this->request;
  request.attempt_id = this->deps.settings.host_name + "." +
                       std::to_string(++this->deps.last_handover);
  const handover::PeerCodec codec(this->deps.codec, this->config->version());
  forward::EndpointSend send(this->deps.peer_connections, codec, host.address);
  forward::SendParameters parameters;
  parameters.max_attempts =
      std::max<int64_t>(1, this->MaxAttempts() - this->runs);
  parameters.remaining =
      std::max(common::Duration(std::chrono::milliseconds(1)),
               this->Remaining(runtime::BootNow()) - kNetworkDelay);
  LogLine(this->deps.log, Event::kRequestHandedOver)
      .Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kService, this->service)
      .Add(Field::kPeer, host.name)
      .Add(Field::kZone, host.zone)
      .Add(Field::kSend, request.attempt_id)
      .Add(Field::kConfigVersion, this->config->version())
      .Add(Field::kFailedConnects, this->failed_connects)
      .Add(Field::kRemainingMs, parameters.remaining);
  this->callback_state->send = &send;
  this->callback_state->move_reason.reset();
  this->deps.peers->OnSent(host.name);
  const auto end_hop = [&] {
    this->callback_state->send = nullptr;
    this->deps.peers->OnEnded(host.name);
  };
  HandoverResult result = HandoverResult::kUnknown;
  try {
    result = this->Exchange(host, send, request, parameters);
  } catch (...) {
    end_hop();
    throw;
  }
  end_hop();
  if (result == HandoverResult::kUnknown) {
    ++this->sends;
    this->runs += parameters.max_attempts;
    this->holds_retry = false;
    this->CountElsewhere();
  }
  return result;
}

void RequestTask::CountElsewhere() {
  this->deps.dispatcher.retries().OnPassedOn(this->service, this->received_at);
}

RequestTask::HandoverResult RequestTask::Exchange(
    const handover::PeerHost& host,
    forward::EndpointSend& send,
    const forward::CallerRequest& request,
    const forward::SendParameters& parameters) {
  try {
    forward::ResponseHead head =
        send.Open(request, parameters, this->EffectiveDeadline());
    return this->OnReply(host, send, head);
  } catch (const forward::SendError& error) {
    return this->OnHandoverError(host, send, error);
  }
}

RequestTask::HandoverResult RequestTask::OnReply(const handover::PeerHost& host,
                                                 forward::EndpointSend& send,
                                                 forward::ResponseHead& head) {
  const handover::Reply reply = handover::TakeReply(head);
  this->LearnFrom(reply, head);
  if (reply.refusal) {
    const auto retry_after = head.notice.retry_after;
    send.Discard();
    LogLine(this->deps.log, Event::kHandoverRefused)
        .Add(Field::kRequest, this->request.attempt_id)
        .Add(Field::kPeer, host.name)
        .Add(Field::kReason, handover::kRefusalNames.NameOf(*reply.refusal));
    this->deps.handovers_refused.Add();
    if (*reply.refusal == handover::Refusal::kService)
      this->CountElsewhere();
    // After a send whose outcome is not known nothing may be promised.
    if (*reply.refusal == handover::Refusal::kService && this->runs > 0)
      this->FailRequest();
    if (*reply.refusal == handover::Refusal::kService)
      this->Refuse(ResultCode::kNoEndpoint,
                   "the host that was asked refuses the request", retry_after);
    this->deps.peers->OnRefused(host.name, this->service, runtime::BootNow());
    return HandoverResult::kNotRun;
  }
  send.CheckUsable();
  const auto on_progress = [this] { this->RecordHandedOverByte(); };
  // A host frames its responses, so the end of the connection is no end.
  const auto is_running = [] { return false; };
  if (this->IsStream(head))
    this->relay.RelayStream(send, head,
                            dispatch::StalledEndLimit(this->Targets()),
                            on_progress, is_running);
  else
    this->relay.RelayWhole(send, head, on_progress, is_running);
  this->succeeded = head.status >= 200 && head.status < 300;
  this->deps.handovers_answered.Add();
  this->CountElsewhere();
  LogLine line(this->deps.log, Event::kRequestAnswered);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kStatus, head.status)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kPeer, host.name);
  if (reply.endpoint)
    line.Add(Field::kEndpoint, reply.endpoint->id);
  this->AddTransfer(line, send);
  line.Add(Field::kTookMs, runtime::BootNow() - this->received_at);
  return HandoverResult::kAnswered;
}

void RequestTask::LearnFrom(const handover::Reply& reply,
                            const forward::ResponseHead& head) {
  if (!reply.endpoint || !head.notice.is_leaving)
    return;
  catalog::Endpoint endpoint;
  endpoint.id = reply.endpoint->id;
  endpoint.service = this->service;
  endpoint.started_at_ms = reply.endpoint->started_at_ms;
  catalog::EndpointNotice notice;
  notice.is_leaving = true;
  notice.brittle_limit = head.notice.brittle_limit;
  this->deps.dispatcher.OnNotice(endpoint, notice);
}

void RequestTask::RecordHandedOverByte() {
  if (this->first_byte_at != TimePoint())
    return;
  this->first_byte_at = runtime::BootNow();
  this->deps.first_byte.Observe(this->first_byte_at - this->received_at);
}

RequestTask::HandoverResult RequestTask::OnHandoverError(
    const handover::PeerHost& host,
    const forward::EndpointSend& send,
    const forward::SendError& error) {
  LogLine line(this->deps.log, Event::kRequestCut);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kPeer, host.name)
      .Add(Field::kReason, forward::kSendFailureNames.NameOf(error.failure()))
      .Add(Field::kDetail, error.what());
  this->AddTransfer(line, send);
  line.Add(Field::kElapsedMs, runtime::BootNow() - this->received_at);
  this->deps.handovers_failed.Add();
  this->timed_out |= error.failure() == SendFailure::kTimeout;
  // What comes after a head, or in place of one, says nothing about the host.
  const bool is_silent = send.framing() == forward::Framing::kNone &&
                         (error.failure() == SendFailure::kBroken ||
                          error.failure() == SendFailure::kTimeout);
  if (is_silent || error.failure() == SendFailure::kNotConnected)
    this->deps.peers->OnSilent(host.name, runtime::BootNow());
  if (!send.sent())
    return HandoverResult::kNotRun;
  if (this->relay.started()) {
    ++this->runs;
    this->FailRequest();
  }
  return HandoverResult::kUnknown;
}

}  // namespace jujuberock::gateway
