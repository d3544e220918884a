// How a request is sent again: after a send that has failed, or instead of one
// that is in progress.
#include "core/gateway/request_task.h"

#include <algorithm>

#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

using catalog::RouteKind;
using common::TimePoint;
using dispatch::GiveUpReason;

void RequestTask::CountSend(const forward::EndpointSend& send,
                            AttemptResult result) {
  if (!send.sent())
    return;
  ++this->sends;
  if (result != AttemptResult::kNotRun) {
    ++this->runs;
    this->run_was_given_up = this->reserved.has_value() ||
                             this->callback_state->move_reason.has_value();
  }
  // A retry that is reserved meanwhile belongs to the next send.
  if (!this->reserved)
    this->holds_retry = false;
}

int64_t RequestTask::MaxAttempts() const {
  const int64_t of_route = this->route->max_attempts;
  return std::min(of_route, this->origin.max_attempts.value_or(of_route));
}

bool RequestTask::IsRepeatable() const {
  if (this->route->kind == RouteKind::kIdempotent)
    return true;
  return this->route->kind == RouteKind::kStream && this->route->can_resume;
}

dispatch::ResendRequest RequestTask::AsResend(TimePoint now) const {
  dispatch::ResendRequest resend;
  resend.service = this->service;
  resend.is_repeatable = this->IsRepeatable();
  resend.has_started = this->relay.started();
  resend.has_event_id = this->relay.last_event_id().has_value();
  resend.sends = this->sends;
  resend.runs = this->runs;
  resend.max_attempts = this->MaxAttempts();
  resend.misdirected_sends = this->misdirected_sends;
  resend.slow_connects = this->slow_connects;
  resend.quick_failures = this->quick_failures;
  resend.holds_retry = this->holds_retry;
  resend.admission = this->Admission(now);
  return resend;
}

bool RequestTask::MaySendAgain() {
  this->give_up_reason = this->ReasonToGiveUp();
  // The endpoint whose run this host has canceled might have answered, so the
  // request waits for the budget as long as it has time.
  while (this->run_was_given_up &&
         this->give_up_reason == GiveUpReason::kRetryBudget) {
    runtime::SleepFor(kRetryBudgetPoll);
    this->CheckMayGoOn();
    this->give_up_reason = this->ReasonToGiveUp();
  }
  return !this->give_up_reason;
}

std::optional<GiveUpReason> RequestTask::ReasonToGiveUp() {
  const TimePoint now = runtime::BootNow();
  const dispatch::ResendRequest resend = this->AsResend(now);
  if (const auto reason = dispatch::CheckResend(resend))
    return reason;
  if (!dispatch::TakeRetry(resend, this->deps.dispatcher.retries(), now))
    return GiveUpReason::kRetryBudget;
  this->holds_retry = this->sends > 0;
  return std::nullopt;
}

bool RequestTask::Move(MoveReason reason) {
  // A run that must not begin any more is canceled in any case.
  const bool may_go_on = reason != MoveReason::kOutdatedWeights;
  if (may_go_on && !this->ReserveNextSend(true))
    return false;
  this->callback_state->move_reason = reason;
  this->callback_state->send->Cancel();
  return true;
}

bool RequestTask::ReserveNextSend(bool needs_ready) {
  if (this->reserved)
    return true;
  const TimePoint now = runtime::BootNow();
  if (this->part_monitor.FindBlocked(now))
    return false;
  dispatch::ResendRequest resend = this->AsResend(now);
  resend.needs_ready = needs_ready;
  if (this->callback_state->send->sent()) {
    ++resend.sends;
    ++resend.runs;
    resend.holds_retry = false;
  }
  const auto choice =
      dispatch::ReserveResend(resend, this->Requirements(), *this->pool,
                              this->deps.dispatcher.retries(), now);
  if (!choice)
    return false;
  this->holds_retry = resend.sends > 0;
  this->reserved = this->Plan(*choice);
  return true;
}

}  // namespace jujuberock::gateway
