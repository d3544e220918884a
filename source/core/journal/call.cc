#include "core/journal/call.h"

#include <algorithm>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::journal {

using common::Outcome;
using common::ResultCode;

namespace {

// With the default settings, the delay between permit requests grows from
// 20 to 320 ms.
constexpr uint32_t kMaxBackoffDoublings = 4;

SavedAnswer DropBodyAboveLimit(SavedAnswer answer, size_t max_body_bytes) {
  if (answer.body.size() <= max_body_bytes)
    return answer;
  answer.body.clear();
  answer.body_kept = false;
  return answer;
}

void AppendSized(std::string& text, std::string_view part) {
  text += std::to_string(part.size());
  text += ':';
  text += part;
}

}  // namespace

std::string HashRequest(std::string_view method,
                        std::string_view target,
                        std::string_view body,
                        common::UnixTime issued) {
  std::string text;
  text.reserve(method.size() + target.size() + body.size() + 64);
  // Length prefixes distinguish ("ab", "c") from ("a", "bc").
  AppendSized(text, method);
  AppendSized(text, target);
  AppendSized(text, body);
  AppendSized(text, std::to_string(issued.time_since_epoch().count()));
  return common::Hash128Hex(text);
}

SavedAnswer MakeAnswer(int status, std::string content_type, std::string body) {
  SavedAnswer answer;
  answer.status = status;
  answer.content_type = std::move(content_type);
  answer.digest = common::Hash128Hex(body);
  answer.body_bytes = body.size();
  answer.body_kept = true;
  answer.body = std::move(body);
  return answer;
}

Call::Call(CallRequest request,
           ShardId shard,
           CallId id,
           bool has_status_call,
           bool may_have_run,
           common::Duration permit_retry)
    : call(std::move(request)),
      key_shard(shard),
      call_id(std::move(id)),
      has_status_call(has_status_call),
      may_have_run(may_have_run),
      permit_retry(permit_retry) {}

CallActions Call::Start(common::TimePoint now) {
  CallActions actions;
  actions.request_permit = true;
  actions.request_at = now;
  this->permit_requested = true;
  return actions;
}

CallActions Call::OnPermitReply(const PermitReply& reply,
                                common::TimePoint now) {
  // Ignores a second grant of the same permit.
  if (this->state != State::kRequestingPermit)
    return {};
  switch (reply.decision) {
    case PermitDecision::kGranted: {
      this->state = State::kPermitted;
      CallActions actions;
      actions.forward = true;
      return actions;
    }
    case PermitDecision::kReplay:
      return this->EndByReplay(reply.answer);
    case PermitDecision::kInProgress:
      return this->End(ResultCode::kCallInProgress, Outcome::kUnknown);
    case PermitDecision::kUnknown: {
      if (!this->has_status_call || reply.holder.empty())
        return this->EndUnknown();
      this->state = State::kQuerying;
      this->holder = reply.holder;
      CallActions actions;
      actions.query_status = true;
      return actions;
    }
    case PermitDecision::kKeyReused:
      return this->End(ResultCode::kIdempotencyKeyReused, Outcome::kNotRun);
    case PermitDecision::kTooOld:
      return this->End(ResultCode::kIssueTimeTooOld, Outcome::kNotRun);
    case PermitDecision::kTooNew:
      return this->End(ResultCode::kMalformedRequest, Outcome::kNotRun);
    case PermitDecision::kReleased:
      return this->EndNotRun(ResultCode::kJournalUnavailable);
    case PermitDecision::kNotOwner:
    case PermitDecision::kUnavailable:
      return this->RetryPermitRequest(now);
  }
  return {};
}

CallActions Call::OnPermitRequestFailed(common::TimePoint now) {
  if (this->state != State::kRequestingPermit)
    return {};
  return this->RetryPermitRequest(now);
}

bool Call::OnFirstByteWritten() {
  if (this->state != State::kPermitted)
    return false;
  this->state = State::kSent;
  return true;
}

CallActions Call::OnAnswer(const SavedAnswer& answer, size_t max_body_bytes) {
  if (this->state != State::kSent)
    return {};
  CallActions actions = this->End(ResultCode::kOk, Outcome::kDone);
  actions.answer->answer = answer;
  actions.report = this->Report(CallOutcome::kDone);
  actions.report->answer = DropBodyAboveLimit(answer, max_body_bytes);
  return actions;
}

CallActions Call::OnConnectionLost(ResultCode code) {
  if (this->state == State::kPermitted)
    return this->EndNotRun(code);
  if (this->state != State::kSent)
    return {};
  CallActions actions = this->EndUnknown();
  actions.report = this->Report(CallOutcome::kUnknown);
  return actions;
}

CallActions Call::OnDeadline() {
  if (this->state == State::kRequestingPermit)
    return this->EndNotRun(ResultCode::kJournalUnavailable);
  if (this->state == State::kQuerying)
    return this->EndUnknown();
  // The endpoint exchange has its own timeouts.
  return {};
}

CallActions Call::OnServiceCallState(ServiceCallState service_state,
                                     const SavedAnswer& answer,
                                     size_t max_body_bytes) {
  if (this->state != State::kQuerying)
    return {};
  if (service_state == ServiceCallState::kRunning)
    return this->End(ResultCode::kCallInProgress, Outcome::kUnknown);
  // kAbsent does not prove that the call will not run: the holder's request may
  // still be in flight.
  if (service_state != ServiceCallState::kDone)
    return this->EndUnknown();
  const SavedAnswer kept = DropBodyAboveLimit(answer, max_body_bytes);
  CallActions actions = this->EndByReplay(answer);
  actions.report = this->Report(CallOutcome::kDone);
  actions.report->call_id = this->holder;
  actions.report->answer = kept;
  return actions;
}

CallActions Call::End(ResultCode code, Outcome outcome) {
  this->state = State::kEnded;
  CallActions actions;
  actions.answer.emplace();
  actions.answer->code = code;
  actions.answer->outcome = outcome;
  return actions;
}

CallActions Call::EndUnknown() {
  return this->End(ResultCode::kOutcomeUnknown, Outcome::kUnknown);
}

CallActions Call::EndByReplay(const SavedAnswer& answer) {
  const ResultCode code =
      answer.body_kept ? ResultCode::kOk : ResultCode::kAnswerNotStored;
  CallActions actions = this->End(code, Outcome::kDone);
  actions.answer->replayed = true;
  actions.answer->answer = answer;
  return actions;
}

CallActions Call::EndNotRun(ResultCode code) {
  CallActions actions = this->may_have_run ? this->EndUnknown()
                                           : this->End(code, Outcome::kNotRun);
  if (this->permit_requested)
    actions.report = this->Report(CallOutcome::kNotRun);
  return actions;
}

CallActions Call::RetryPermitRequest(common::TimePoint now) {
  CallActions actions;
  actions.request_permit = true;
  // Backs off because in an outage many calls retry until their deadlines.
  const uint32_t doublings = std::min(this->retries++, kMaxBackoffDoublings);
  actions.request_at = now + this->permit_retry * (1U << doublings);
  return actions;
}

OutcomeReport Call::Report(CallOutcome outcome) const {
  OutcomeReport report;
  report.shard = this->key_shard;
  report.key = this->call.key;
  report.call_id = this->call_id;
  report.outcome = outcome;
  return report;
}

}  // namespace jujuberock::journal
