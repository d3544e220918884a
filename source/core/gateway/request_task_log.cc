// The log lines and counters of a request: the values that decided each step.
#include "core/gateway/request_task.h"

#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

using common::TimePoint;
using events::Event;
using events::Field;
using events::LogLine;

void RequestTask::CountTurnedFromCold(TimePoint now) {
  if (this->was_turned_from_cold || !this->pool->has_cold_limit())
    return;
  const auto counts = this->pool->CountExclusions(this->Requirements(), now);
  if (counts[static_cast<size_t>(dispatch::Exclusion::kCold)] == 0)
    return;
  this->was_turned_from_cold = true;
  this->deps.turned_from_cold.Add();
}

void RequestTask::CountTurnedFromBrittle(TimePoint now) {
  if (this->was_turned_from_brittle || !this->pool->IsBrittle(now))
    return;
  const auto counts = this->pool->CountExclusions(this->Requirements(), now);
  if (counts[static_cast<size_t>(dispatch::Exclusion::kBrittle)] == 0)
    return;
  this->was_turned_from_brittle = true;
  this->deps.turned_from_brittle.Add();
}

void RequestTask::AddExclusions(LogLine& line, TimePoint now) const {
  const dispatch::SendRequirements requirements = this->Requirements();
  const dispatch::ExclusionCounts counts =
      this->pool->CountExclusions(requirements, now);
  std::string excluded;
  for (size_t i = 1; i < counts.size(); ++i) {
    if (counts[i] == 0)
      continue;
    if (!excluded.empty())
      excluded += ',';
    const auto exclusion = static_cast<dispatch::Exclusion>(i);
    excluded += dispatch::kExclusionNames.NameOf(exclusion);
    excluded += ':' + std::to_string(counts[i]);
  }
  if (requirements.required_version != 0)
    line.Add(Field::kRequiredVersion, requirements.required_version);
  line.Add(Field::kEndpointsLeft, counts[0]);
  if (!excluded.empty())
    line.Add(Field::kExcludedEndpoints, excluded);
}

void RequestTask::LogSent(const dispatch::EndpointChoice& choice,
                          TimePoint now) {
  const dispatch::EndpointRecord& record = *choice.endpoint;
  LogLine line(this->deps.log, this->sends == 0        ? Event::kRequestSent
                               : this->relay.started() ? Event::kRequestResumed
                                                       : Event::kRequestResent);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kEndpoint, record.endpoint().id)
      .Add(Field::kConfigVersion, this->config->version())
      .Add(Field::kHeldMs, this->held)
      .Add(Field::kPredictedMs, choice.predicted)
      .Add(Field::kWorkFactor, record.work_rate().FactorAt(now))
      .Add(Field::kUncachedTokens, choice.uncached_tokens)
      .Add(Field::kFetchedTokens, this->reuse.fetched_tokens)
      .Add(Field::kSkippedTokens, this->reuse.skipped_tokens)
      .Add(Field::kAbsentTokens, this->reuse.absent_tokens)
      .Add(Field::kInFlight, record.own_in_flight())
      .Add(Field::kRemainingMs, this->Remaining(now));
  if (this->route->kind == catalog::RouteKind::kStream)
    line.Add(Field::kSoftware, record.endpoint().software)
        .Add(Field::kStartedAtMs, record.endpoint().started_at_ms);
  if (this->request.last_event_id)
    line.Add(Field::kResumes, this->request.first_attempt)
        .Add(Field::kLastEvent, *this->request.last_event_id);
  if (this->request.prompt && this->pool->is_engine())
    this->AddVersions(line, record, now);
}

void RequestTask::AddVersions(LogLine& line,
                              const dispatch::EndpointRecord& engine,
                              TimePoint now) const {
  const std::string& model = this->request.prompt->model;
  const uint64_t version = engine.VersionOf(model);
  line.Add(Field::kVersion, version);
  if (version >= this->deps.view.NewestVersion(model))
    return;
  line.Add(Field::kRequiredVersion, this->deps.view.RequiredVersion(model, now))
      .Add(Field::kVersionAgeMs, this->deps.view.AnnouncementAge(model, now));
}

void RequestTask::LogAnswered(const forward::EndpointSend& send,
                              const forward::ResponseHead& head,
                              const dispatch::EndpointRecord& endpoint) {
  const forward::ResponseRelay::Statistics& stats = this->relay.statistics();
  LogLine line(this->deps.log, Event::kRequestAnswered);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kStatus, head.status)
      .Add(Field::kRoute, this->route->name)
      .Add(Field::kEndpoint, endpoint.endpoint().id);
  if (stats.events > 0)
    line.Add(Field::kPredictedMs, this->predicted)
        .Add(Field::kFirstByteMs, this->first_byte_at - this->received_at)
        .Add(Field::kLongestPauseMs, stats.longest_pause)
        .Add(Field::kCount, stats.events);
  this->AddTransfer(line, send);
  this->AddConnection(line, send);
  line.Add(Field::kTookMs, runtime::BootNow() - this->received_at);
}

void RequestTask::LogUnanswered(const common::Error& error) const {
  const bool by_caller = error.code() == common::ResultCode::kCanceled;
  // Other errors are sent to the caller as the answer, unless one has started.
  if (!by_caller && !this->relay.started())
    return;
  const bool by_stop = this->IsPastStop(runtime::BootNow());
  this->LogUnanswered(by_caller ? "caller" : (by_stop ? "stop" : "host"),
                      error.what());
}

void RequestTask::LogCutOff() const {
  // The server may have answered in place of this request.
  if (this->writer.started() && !this->relay.started())
    return;
  this->LogUnanswered("stop", "the grace period of the stop has ended");
}

void RequestTask::LogUnanswered(std::string_view ended_by,
                                std::string_view detail) const {
  LogLine line(this->deps.log, Event::kRequestUnanswered);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kEndedBy, ended_by)
      .Add(Field::kOwed, this->relay.started() ? "rest" : "answer");
  if (this->give_up_reason)
    line.Add(Field::kReason,
             dispatch::kGiveUpReasonNames.NameOf(*this->give_up_reason));
  line.Add(Field::kDetail, detail)
      .Add(Field::kCount, this->relay.statistics().events);
  if (this->config)
    line.Add(Field::kConfigVersion, this->config->version());
  if (const auto current = this->deps.view.config())
    line.Add(Field::kCurrentVersion, current->version());
  line.Add(Field::kTookMs, runtime::BootNow() - this->received_at);
}

void RequestTask::LogCut(const forward::SendError& error,
                         const forward::EndpointSend& send,
                         const dispatch::EndpointRecord& endpoint) {
  const auto& move_reason = this->callback_state->move_reason;
  const std::string_view detail =
      move_reason ? kMoveReasonNames.NameOf(*move_reason) : error.what();
  LogLine line(this->deps.log, Event::kRequestCut);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kEndpoint, endpoint.endpoint().id)
      .Add(Field::kReason, forward::kSendFailureNames.NameOf(error.failure()))
      .Add(Field::kDetail, detail);
  this->AddTransfer(line, send);
  this->AddConnection(line, send);
  line.Add(Field::kElapsedMs, runtime::BootNow() - this->received_at);
}

void RequestTask::LogStrayResponses(
    const forward::EndpointSend& send,
    const dispatch::EndpointRecord& endpoint) const {
  for (const forward::StrayResponse& stray : send.stray_responses()) {
    this->deps.stray_responses.Add();
    LogLine line(this->deps.log, Event::kResponseDropped);
    line.Add(Field::kRequest, this->request.attempt_id)
        .Add(Field::kEndpoint, endpoint.endpoint().id)
        .Add(Field::kStatus, stray.status)
        .Add(Field::kNamedRequest, stray.attempt_id);
    this->AddConnection(line, send);
  }
}

void RequestTask::AddConnection(LogLine& line,
                                const forward::EndpointSend& send) const {
  const forward::ConnectionUse& use = send.connection_use();
  line.Add(Field::kConnection, use.number)
      .Add(Field::kEarlierRequests, static_cast<uint64_t>(use.earlier_requests))
      .Add(Field::kCarriedBefore, use.carried_request ? 1 : 0);
}

void RequestTask::AddTransfer(LogLine& line,
                              const forward::EndpointSend& send) const {
  line.Add(Field::kFraming, forward::kFramingNames.NameOf(send.framing()))
      .Add(Field::kBodyBytes, send.body_bytes())
      .Add(Field::kInsideEvent, this->relay.is_inside_event() ? 1 : 0)
      .Add(Field::kConnectionEnd,
           forward::kConnectionEndNames.NameOf(send.connection_end()));
  if (this->end_evidence)
    line.Add(Field::kEndEvidence,
             kEndEvidenceNames.NameOf(*this->end_evidence));
}

}  // namespace jujuberock::gateway
