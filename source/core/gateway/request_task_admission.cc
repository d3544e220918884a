// How a request waits on this host until an endpoint has room for it.
#include "core/gateway/request_task.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include "core/runtime/boot_clock.h"

namespace jujuberock::gateway {

using common::Duration;
using common::ResultCode;
using common::TimePoint;
using dispatch::AdmissionStep;
using dispatch::GiveUpReason;
using events::Event;
using events::Field;
using events::LogLine;

dispatch::AdmissionRequest RequestTask::Admission(TimePoint now) const {
  dispatch::AdmissionRequest admission;
  admission.target_latency = this->route->target_latency;
  admission.elapsed = now - this->received_at;
  admission.remaining = this->Remaining(now);
  admission.is_continuation = this->stream_software.has_value();
  admission.may_be_refused = !this->run_was_given_up;
  return admission;
}

std::vector<std::string> RequestTask::FloorGroups() {
  std::vector<std::string> groups;
  if (this->team)
    groups.push_back("team:" + this->team->name);
  if (!this->request.prompt)
    return groups;
  const auto size =
      this->deps.dispatcher.GateOf(this->service)
          .floor()
          .SizeOf(this->route->name, this->request.prompt->prompt_tokens);
  groups.push_back("size:" + this->route->name + ":" +
                   std::to_string(static_cast<int>(size)));
  return groups;
}

dispatch::WaitingRequest RequestTask::AsWaiting(TimePoint now) {
  dispatch::WaitingRequest waiting;
  waiting.urgency = this->urgency;
  waiting.is_below_floor = this->deps.dispatcher.GateOf(this->service)
                               .floor()
                               .IsBelow(this->floor_groups, now);
  const TimePoint on_time = this->received_at + this->route->target_latency;
  // Once the target is missed, only the caller's own deadline is left.
  waiting.latest_start = on_time > now
                             ? std::min(on_time, this->EffectiveDeadline())
                             : this->EffectiveDeadline();
  if (this->request.prompt)
    waiting.work_ms = this->pool->first_token().token_ms() *
                      static_cast<double>(this->request.prompt->prompt_tokens);
  return waiting;
}

std::optional<dispatch::EndpointChoice> RequestTask::AwaitEndpoint() {
  AdmissionGate& gate = this->deps.dispatcher.GateOf(this->service);
  const TimePoint began = runtime::BootNow();
  if (this->sends == 0)
    this->floor_groups = this->FloorGroups();
  const dispatch::WaitingRequest waiting = this->AsWaiting(began);
  std::optional<AdmissionGate::Waiter> waiter;
  while (true) {
    const TimePoint now = runtime::BootNow();
    this->CheckMayGoOn();
    this->CheckReach();
    if (this->MustHandOver())
      return std::nullopt;
    const auto choice = this->Choose(now);
    dispatch::AdmissionRequest admission = this->Admission(now);
    admission.held = now - began;
    admission.must_wait =
        !waiter && this->pool->is_engine() && gate.MustWait(waiting);
    if (!choice) {
      admission.pause_left = this->pool->PauseLeft(this->Requirements(), now);
      this->CountTurnedFromCold(now);
      this->CountTurnedFromBrittle(now);
    }
    const auto decision = dispatch::DecideAdmission(admission, choice);
    const bool out_of_time = admission.remaining <= dispatch::kMinTimeToAnswer;
    if (decision.step == AdmissionStep::kSend && !out_of_time) {
      this->held += now - began;
      gate.floor().OnAdmitted(this->floor_groups, now);
      return choice;
    }
    if (decision.step == AdmissionStep::kRefuse || out_of_time) {
      if (this->sends > 0) {
        this->give_up_reason =
            out_of_time ? GiveUpReason::kTime : GiveUpReason::kNoEndpoint;
        this->FailRequest();
      }
      gate.floor().OnRefused(this->floor_groups, now);
      this->Refuse(
          choice ? ResultCode::kDeadlineUnreachable : ResultCode::kNoEndpoint,
          choice ? "no endpoint can respond in time" : "no endpoint available",
          decision.retry_after);
    }
    const bool is_stuck = !choice && this->stream_software &&
                          !this->pool->HasSoftware(*this->stream_software);
    if (is_stuck && this->sends > 0) {
      this->give_up_reason = GiveUpReason::kNoEndpoint;
      this->FailRequest();
    }
    if (!waiter) {
      this->deps.queued.Add();
      if (admission.must_wait)
        this->deps.displaced.Add();
      this->LogQueued(choice, waiting, admission.must_wait);
      waiter.emplace(gate, waiting);
    }
    waiter->Wait(choice.has_value(),
                 std::min(decision.wait_left, admission.remaining));
  }
}

void RequestTask::LogQueued(
    const std::optional<dispatch::EndpointChoice>& choice,
    const dispatch::WaitingRequest& waiting,
    bool is_displaced) const {
  LogLine line(this->deps.log, Event::kRequestQueued);
  line.Add(Field::kRequest, this->request.attempt_id)
      .Add(Field::kService, this->service)
      .Add(Field::kReason, is_displaced ? "others_go_first"
                           : choice     ? "no_room"
                                        : "no_endpoint")
      .Add(Field::kUrgency, this->urgency)
      .Add(Field::kBelowFloor, waiting.is_below_floor ? 1 : 0)
      .Add(Field::kPredictedMs, choice ? choice->predicted : Duration(0));
  if (!choice || !this->request.prompt)
    return;
  line.Add(Field::kAheadTokens, choice->ahead_tokens)
      .Add(Field::kMemoryTokens, choice->memory_tokens)
      .Add(Field::kFetchMs, choice->fetch_ms);
}

}  // namespace jujuberock::gateway
