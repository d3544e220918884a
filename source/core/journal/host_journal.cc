#include "core/journal/host_journal.h"

#include <algorithm>

namespace jujuberock::journal {

using common::Outcome;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;

namespace {

constexpr size_t kMaxKeyBytes = 255;
constexpr size_t kMaxOutcomesPerMessage = 64;

// Keys are stored as JSON strings and must be preserved exactly, so only
// printable ASCII is accepted.
bool IsStorable(const std::string& text) {
  return !text.empty() && text.size() <= kMaxKeyBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

CallResult MakeRefusal(ResultCode code) {
  CallResult result;
  result.code = code;
  result.outcome = common::InfoOf(code).outcome;
  return result;
}

CallResult MakeReplay(const SavedAnswer& answer) {
  CallResult result;
  result.code =
      answer.body_kept ? ResultCode::kOk : ResultCode::kAnswerNotStored;
  result.outcome = Outcome::kDone;
  result.replayed = true;
  result.answer = answer;
  return result;
}

}  // namespace

HostJournal::HostJournal(const Options& options,
                         HostId host,
                         std::string incarnation,
                         HostOrder hosts)
    : options(options),
      host(std::move(host)),
      incarnation(std::move(incarnation)),
      hosts(std::move(hosts)) {}

CallHandle HostJournal::StartCall(const CallRequest& request,
                                  bool has_status_call,
                                  TimePoint now,
                                  UnixTime wall) {
  const CallHandle handle = this->next_id++;
  if (std::optional<CallResult> known = this->AnswerLocally(request)) {
    this->actions.answers.emplace_back(handle, std::move(*known));
    return handle;
  }
  const ShardId shard = ShardOf(request.key, this->options.shards);
  const CallId call_id =
      this->host + "/" + this->incarnation + "/" + std::to_string(handle);
  ActiveCall active{Call(request, shard, call_id, has_status_call,
                         this->local_outcomes.contains(request.key),
                         this->options.permit_retry)};
  auto [it, inserted] = this->calls.emplace(handle, std::move(active));
  this->calls_by_key[request.key] = handle;
  this->ScheduleWakeup(handle, request.deadline);
  this->ApplyCallActions(handle, it->second.call.Start(now), now, wall);
  return handle;
}

std::optional<CallResult> HostJournal::AnswerLocally(
    const CallRequest& request) const {
  if (request.key.key.empty())
    return MakeRefusal(ResultCode::kIdempotencyKeyMissing);
  if (!IsStorable(request.key.key) || !IsStorable(request.key.team))
    return MakeRefusal(ResultCode::kMalformedRequest);
  auto active = this->calls_by_key.find(request.key);
  if (active != this->calls_by_key.end()) {
    const Call& other = this->calls.at(active->second).call;
    const bool same = other.request().request_hash == request.request_hash;
    return MakeRefusal(same ? ResultCode::kCallInProgress
                            : ResultCode::kIdempotencyKeyReused);
  }
  auto local_outcome = this->local_outcomes.find(request.key);
  if (local_outcome == this->local_outcomes.end())
    return std::nullopt;
  if (local_outcome->second.request_hash != request.request_hash)
    return MakeRefusal(ResultCode::kIdempotencyKeyReused);
  if (!local_outcome->second.done)
    return std::nullopt;
  return MakeReplay(local_outcome->second.answer);
}

bool HostJournal::OnFirstByteWritten(CallHandle handle) {
  auto found = this->calls.find(handle);
  return found != this->calls.end() && found->second.call.OnFirstByteWritten();
}

void HostJournal::OnAnswer(CallHandle handle,
                           const SavedAnswer& answer,
                           TimePoint now,
                           UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCallActions(
      handle,
      found->second.call.OnAnswer(answer, this->options.max_answer_bytes), now,
      wall);
}

void HostJournal::OnConnectionLost(CallHandle handle,
                                   ResultCode code,
                                   TimePoint now,
                                   UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCallActions(handle, found->second.call.OnConnectionLost(code), now,
                         wall);
}

void HostJournal::OnServiceCallState(CallHandle handle,
                                     ServiceCallState state,
                                     const SavedAnswer& answer,
                                     TimePoint now,
                                     UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCallActions(handle,
                         found->second.call.OnServiceCallState(
                             state, answer, this->options.max_answer_bytes),
                         now, wall);
}

void HostJournal::ApplyCallActions(CallHandle handle,
                                   const CallActions& call_actions,
                                   TimePoint now,
                                   UnixTime wall) {
  ActiveCall& active = this->calls.at(handle);
  const CallRequest request = active.call.request();
  if (call_actions.request_permit) {
    active.request_at = call_actions.request_at;
    if (call_actions.request_at > now)
      this->ScheduleWakeup(handle, call_actions.request_at);
  }
  if (call_actions.forward)
    this->actions.forwards.push_back(handle);
  if (call_actions.query_status)
    this->actions.status_queries.push_back(handle);
  if (call_actions.answer && call_actions.answer->replayed)
    this->RecordLocalOutcome(request, true, call_actions.answer->answer);
  if (call_actions.answer) {
    this->actions.answers.emplace_back(handle, *call_actions.answer);
    this->calls_by_key.erase(request.key);
    this->calls.erase(handle);
  }
  const bool sent = call_actions.report &&
                    call_actions.report->outcome != CallOutcome::kNotRun;
  if (sent)
    this->RecordLocalOutcome(request,
                             call_actions.report->outcome == CallOutcome::kDone,
                             call_actions.report->answer);
  if (call_actions.report)
    this->AddReport(*call_actions.report, now, wall);
  if (call_actions.request_permit && call_actions.request_at <= now)
    this->RequestPermit(handle, now, wall);
}

void HostJournal::ScheduleWakeup(CallHandle handle, TimePoint when) {
  this->wakeups.emplace(when, handle);
}

HostId HostJournal::SelectHost(ShardId shard, size_t failures) const {
  const std::vector<HostId> order = this->hosts(shard);
  return order.empty() ? this->host : order[failures % order.size()];
}

void HostJournal::RequestPermit(CallHandle handle,
                                TimePoint now,
                                UnixTime wall) {
  ActiveCall& active = this->calls.at(handle);
  active.request_at.reset();
  const Call& call = active.call;
  PermitRequest request;
  request.shard = call.shard();
  request.key = call.request().key;
  request.request_hash = call.request().request_hash;
  request.issued = call.request().issued;
  request.host = this->host;
  request.call_id = call.id();
  request.timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.request().deadline - now);
  request.outcomes = this->UnconfirmedOutcomesOf(request.key);
  HostId to = std::exchange(active.owner_hint, {});
  active.sent_to_hint = !to.empty();
  if (to.empty())
    to = this->SelectHost(call.shard(), active.failures);
  const MessageId message_id = this->next_id++;
  this->permit_messages[message_id] = handle;
  if (to == this->host)
    this->HandlePermit(request, kFirstLocalReply + message_id, now, wall);
  else
    this->actions.permits.push_back(
        {message_id, std::move(to), std::move(request)});
}

void HostJournal::OnPermitReply(MessageId message_id,
                                const std::optional<PermitReply>& reply,
                                TimePoint now,
                                UnixTime wall) {
  auto found = this->permit_messages.find(message_id);
  if (found == this->permit_messages.end())
    return;
  const CallHandle handle = found->second;
  this->permit_messages.erase(found);
  this->OnReplyToCall(handle, reply, now, wall);
}

void HostJournal::OnReplyToCall(CallHandle handle,
                                const std::optional<PermitReply>& reply,
                                TimePoint now,
                                UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  ActiveCall& active = found->second;
  if (!reply) {
    if (active.sent_to_hint)
      active.ignore_hints = true;
    else
      ++active.failures;
    this->ApplyCallActions(handle, active.call.OnPermitRequestFailed(now), now,
                           wall);
    return;
  }
  // Without a hint, the request goes to the same host again, which may take the
  // shard back after its pause. Trying other hosts would make them take the
  // shard from each other while both sides of a network partition need it.
  if (reply->decision == PermitDecision::kNotOwner && !active.ignore_hints)
    active.owner_hint = reply->owner;
  this->ApplyCallActions(handle, active.call.OnPermitReply(*reply, now), now,
                         wall);
}

void HostJournal::RecordLocalOutcome(const CallRequest& request,
                                     bool done,
                                     SavedAnswer answer) {
  if (!this->local_outcomes.contains(request.key))
    this->local_outcome_order.push_back(request.key);
  this->local_outcomes[request.key] = {request.request_hash, done,
                                       std::move(answer)};
  while (this->local_outcome_order.size() > this->options.max_local_outcomes) {
    this->local_outcomes.erase(this->local_outcome_order.front());
    this->local_outcome_order.pop_front();
  }
}

void HostJournal::AddReport(const OutcomeReport& report,
                            TimePoint now,
                            UnixTime wall) {
  UnconfirmedReport& entry = this->unconfirmed[report.call_id];
  entry.report = report;
  entry.in_flight.reset();
  this->unconfirmed_by_key[report.key].insert(report.call_id);
  this->SendOutcomes(report.shard, {report.call_id}, now, wall);
}

std::vector<OutcomeReport> HostJournal::UnconfirmedOutcomesOf(
    const CallKey& key) const {
  std::vector<OutcomeReport> reports;
  auto found = this->unconfirmed_by_key.find(key);
  if (found == this->unconfirmed_by_key.end())
    return reports;
  for (const CallId& call_id : found->second)
    reports.push_back(this->unconfirmed.at(call_id).report);
  return reports;
}

void HostJournal::RemoveConfirmed(const CallId& call_id) {
  auto entry = this->unconfirmed.find(call_id);
  auto by_key = this->unconfirmed_by_key.find(entry->second.report.key);
  by_key->second.erase(call_id);
  if (by_key->second.empty())
    this->unconfirmed_by_key.erase(by_key);
  this->unconfirmed.erase(entry);
}

void HostJournal::SendOutcomes(ShardId shard,
                               const std::vector<CallId>& call_ids,
                               TimePoint now,
                               UnixTime wall) {
  OutcomeRequest request;
  request.shard = shard;
  const MessageId message_id = this->next_id++;
  std::vector<CallId> sent;
  size_t failures = 0;
  for (const CallId& call_id : call_ids) {
    auto found = this->unconfirmed.find(call_id);
    if (found == this->unconfirmed.end() || found->second.in_flight)
      continue;
    found->second.in_flight = message_id;
    failures = std::max(failures, found->second.failures);
    request.outcomes.push_back(found->second.report);
    sent.push_back(call_id);
  }
  if (sent.empty())
    return;
  this->outcome_messages[message_id] = std::move(sent);
  HostId to = this->SelectHost(shard, failures);
  if (to == this->host)
    this->HandleOutcomes(request, kFirstLocalReply + message_id, now, wall);
  else
    this->actions.outcomes.push_back(
        {message_id, std::move(to), std::move(request)});
}

void HostJournal::OnOutcomeReply(MessageId message_id,
                                 const std::optional<OutcomeReply>& reply,
                                 TimePoint now,
                                 UnixTime /*wall*/) {
  this->OnReplyToOutcomes(message_id, reply && reply->accepted, now);
}

void HostJournal::OnReplyToOutcomes(MessageId message_id,
                                    bool accepted,
                                    TimePoint now) {
  auto found = this->outcome_messages.find(message_id);
  if (found == this->outcome_messages.end())
    return;
  for (const CallId& call_id : found->second) {
    auto entry = this->unconfirmed.find(call_id);
    // A newer report of the same call may have replaced it.
    if (entry == this->unconfirmed.end() ||
        entry->second.in_flight != message_id)
      continue;
    if (accepted) {
      this->RemoveConfirmed(call_id);
      continue;
    }
    ++entry->second.failures;
    entry->second.in_flight.reset();
    this->resends.emplace(now + this->options.outcome_retry, call_id);
  }
  this->outcome_messages.erase(found);
}

void HostJournal::OnTick(TimePoint now, UnixTime wall) {
  while (!this->wakeups.empty() && this->wakeups.begin()->first <= now) {
    const CallHandle handle = this->wakeups.begin()->second;
    this->wakeups.erase(this->wakeups.begin());
    auto found = this->calls.find(handle);
    if (found == this->calls.end())
      continue;
    ActiveCall& active = found->second;
    if (active.call.request().deadline <= now)
      this->ApplyCallActions(handle, active.call.OnDeadline(), now, wall);
    else if (active.request_at && *active.request_at <= now)
      this->RequestPermit(handle, now, wall);
  }
  this->ResendOutcomes(now, wall);
  for (auto& [shard, owner] : this->owners)
    this->ApplyOwnerActions(owner->OnTick(now, wall), now, wall);
  if (this->layout_retry && *this->layout_retry <= now) {
    this->layout_retry.reset();
    this->actions.reads.push_back({kLayoutName});
  }
}

void HostJournal::ResendOutcomes(TimePoint now, UnixTime wall) {
  std::map<ShardId, std::vector<CallId>> due;
  while (!this->resends.empty() && this->resends.begin()->first <= now) {
    const CallId call_id = std::move(this->resends.begin()->second);
    this->resends.erase(this->resends.begin());
    auto entry = this->unconfirmed.find(call_id);
    if (entry != this->unconfirmed.end())
      due[entry->second.report.shard].push_back(call_id);
  }
  for (const auto& [shard, call_ids] : due) {
    for (size_t i = 0; i < call_ids.size(); i += kMaxOutcomesPerMessage) {
      const auto first = call_ids.begin() + static_cast<ptrdiff_t>(i);
      const auto count = std::min(kMaxOutcomesPerMessage, call_ids.size() - i);
      this->SendOutcomes(shard, {first, first + static_cast<ptrdiff_t>(count)},
                         now, wall);
    }
  }
}

void HostJournal::Flush(TimePoint now, UnixTime wall) {
  std::multimap<TimePoint, CallId> all;
  for (auto& [when, call_id] : this->resends)
    all.emplace(now, std::move(call_id));
  this->resends = std::move(all);
  for (auto& [shard, owner] : this->owners)
    this->ApplyOwnerActions(owner->Flush(now, wall), now, wall);
  this->OnTick(now, wall);
}

std::optional<TimePoint> HostJournal::NextWakeup() const {
  std::optional<TimePoint> wakeup = this->layout_retry;
  auto consider = [&wakeup](std::optional<TimePoint> when) {
    if (when && (!wakeup || *when < *wakeup))
      wakeup = when;
  };
  if (!this->wakeups.empty())
    consider(this->wakeups.begin()->first);
  if (!this->resends.empty())
    consider(this->resends.begin()->first);
  for (const auto& [shard, owner] : this->owners)
    consider(owner->NextWakeup());
  return wakeup;
}

bool HostJournal::drained() const {
  return this->calls.empty() && this->unconfirmed.empty() &&
         std::all_of(this->owners.begin(), this->owners.end(),
                     [](const auto& item) { return item.second->drained(); });
}

size_t HostJournal::owned_shards() const {
  return static_cast<size_t>(
      std::count_if(this->owners.begin(), this->owners.end(),
                    [](const auto& item) { return item.second->active(); }));
}

const ShardOwner* HostJournal::FindOwner(ShardId shard) const {
  auto found = this->owners.find(shard);
  return found == this->owners.end() ? nullptr : found->second.get();
}

}  // namespace jujuberock::journal
