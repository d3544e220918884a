#include "core/journal/node.h"

#include <algorithm>

namespace jujuberock::journal {

using common::Outcome;
using common::ResultCode;
using common::TimePoint;
using common::UnixTime;

namespace {

constexpr size_t kMaxKeyBytes = 255;
// Outcomes that one message carries.
constexpr size_t kMaxOutcomes = 64;

// Keys are stored as JSON text, so they must survive that unchanged.
bool IsStorable(const std::string& text) {
  return !text.empty() && text.size() <= kMaxKeyBytes &&
         std::all_of(text.begin(), text.end(),
                     [](char c) { return c >= ' ' && c <= '~'; });
}

CallResult Refusal(ResultCode code) {
  CallResult result;
  result.code = code;
  result.outcome = common::InfoOf(code).outcome;
  return result;
}

CallResult Replay(const SavedAnswer& answer) {
  CallResult result;
  result.code =
      answer.body_kept ? ResultCode::kOk : ResultCode::kAnswerNotStored;
  result.outcome = Outcome::kDone;
  result.replayed = true;
  result.answer = answer;
  return result;
}

}  // namespace

Node::Node(const Options& options,
           HostId host,
           std::string incarnation,
           HostOrder hosts)
    : options(options),
      host(std::move(host)),
      incarnation(std::move(incarnation)),
      hosts(std::move(hosts)) {}

CallHandle Node::StartCall(const CallRequest& request,
                           bool has_status_call,
                           TimePoint now,
                           UnixTime wall) {
  const CallHandle handle = this->next_id++;
  if (std::optional<CallResult> known = this->AnswerFromMemory(request)) {
    this->actions.answers.emplace_back(handle, std::move(*known));
    return handle;
  }
  const ShardId shard = ShardOf(request.key, this->options.shards);
  const CallId call_id =
      this->host + "/" + this->incarnation + "/" + std::to_string(handle);
  ActiveCall active{Call(request, shard, call_id, has_status_call,
                         this->memory.contains(request.key),
                         this->options.ask_retry)};
  auto [it, inserted] = this->calls.emplace(handle, std::move(active));
  this->calls_by_key[request.key] = handle;
  this->Wake(handle, request.deadline);
  this->ApplyCall(handle, it->second.call.Start(now), now, wall);
  return handle;
}

std::optional<CallResult> Node::AnswerFromMemory(
    const CallRequest& request) const {
  if (request.key.key.empty())
    return Refusal(ResultCode::kIdempotencyKeyMissing);
  if (!IsStorable(request.key.key) || !IsStorable(request.key.team))
    return Refusal(ResultCode::kMalformedRequest);
  auto active = this->calls_by_key.find(request.key);
  if (active != this->calls_by_key.end()) {
    const Call& other = this->calls.at(active->second).call;
    const bool same = other.request().request_hash == request.request_hash;
    return Refusal(same ? ResultCode::kCallInProgress
                        : ResultCode::kIdempotencyKeyReused);
  }
  auto remembered = this->memory.find(request.key);
  if (remembered == this->memory.end())
    return std::nullopt;
  if (remembered->second.request_hash != request.request_hash)
    return Refusal(ResultCode::kIdempotencyKeyReused);
  if (!remembered->second.done)
    return std::nullopt;
  return Replay(remembered->second.answer);
}

bool Node::OnFirstByteWritten(CallHandle handle) {
  auto found = this->calls.find(handle);
  return found != this->calls.end() && found->second.call.OnFirstByteWritten();
}

void Node::OnAnswer(CallHandle handle,
                    const SavedAnswer& answer,
                    TimePoint now,
                    UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCall(
      handle, found->second.call.OnAnswer(answer, this->options.answer_bytes),
      now, wall);
}

void Node::OnConnectionLost(CallHandle handle,
                            ResultCode code,
                            TimePoint now,
                            UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCall(handle, found->second.call.OnConnectionLost(code), now, wall);
}

void Node::OnServiceState(CallHandle handle,
                          ServiceState state,
                          const SavedAnswer& answer,
                          TimePoint now,
                          UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  this->ApplyCall(handle,
                  found->second.call.OnServiceState(state, answer,
                                                    this->options.answer_bytes),
                  now, wall);
}

void Node::ApplyCall(CallHandle handle,
                     const CallActions& wanted,
                     TimePoint now,
                     UnixTime wall) {
  ActiveCall& active = this->calls.at(handle);
  const CallRequest request = active.call.request();
  if (wanted.ask_owner) {
    active.ask_at = wanted.ask_at;
    if (wanted.ask_at > now)
      this->Wake(handle, wanted.ask_at);
  }
  if (wanted.forward)
    this->actions.forwards.push_back(handle);
  if (wanted.query_status)
    this->actions.status_queries.push_back(handle);
  if (wanted.answer && wanted.answer->replayed)
    this->Remember(request, true, wanted.answer->answer);
  if (wanted.answer) {
    this->actions.answers.emplace_back(handle, *wanted.answer);
    this->calls_by_key.erase(request.key);
    this->calls.erase(handle);
  }
  const bool sent =
      wanted.report && wanted.report->outcome != CallOutcome::kNotRun;
  if (sent)
    this->Remember(request, wanted.report->outcome == CallOutcome::kDone,
                   wanted.report->answer);
  if (wanted.report)
    this->AddReport(*wanted.report, now, wall);
  if (wanted.ask_owner && wanted.ask_at <= now)
    this->Ask(handle, now, wall);
}

void Node::Wake(CallHandle handle, TimePoint when) {
  this->wakes.emplace(when, handle);
}

HostId Node::HostFor(ShardId shard, size_t failures) const {
  const std::vector<HostId> order = this->hosts(shard);
  return order.empty() ? this->host : order[failures % order.size()];
}

void Node::Ask(CallHandle handle, TimePoint now, UnixTime wall) {
  ActiveCall& active = this->calls.at(handle);
  active.ask_at.reset();
  const Call& call = active.call;
  PermitRequest request;
  request.shard = call.shard();
  request.key = call.request().key;
  request.request_hash = call.request().request_hash;
  request.issued = call.request().issued;
  request.host = this->host;
  request.call_id = call.id();
  request.patience = std::chrono::duration_cast<std::chrono::milliseconds>(
      call.request().deadline - now);
  request.outcomes = this->OutcomesOf(request.key);
  HostId to = std::exchange(active.owner_hint, {});
  active.asked_hint = !to.empty();
  if (to.empty())
    to = this->HostFor(call.shard(), active.failures);
  const AskId ask = this->next_id++;
  this->asks[ask] = handle;
  if (to == this->host)
    this->HandlePermit(request, kFirstLocalReply + ask, now, wall);
  else
    this->actions.permits.push_back({ask, std::move(to), std::move(request)});
}

void Node::OnPermitReply(AskId ask,
                         const std::optional<PermitReply>& reply,
                         TimePoint now,
                         UnixTime wall) {
  auto found = this->asks.find(ask);
  if (found == this->asks.end())
    return;
  const CallHandle handle = found->second;
  this->asks.erase(found);
  this->OnReplyToCall(handle, reply, now, wall);
}

void Node::OnReplyToCall(CallHandle handle,
                         const std::optional<PermitReply>& reply,
                         TimePoint now,
                         UnixTime wall) {
  auto found = this->calls.find(handle);
  if (found == this->calls.end())
    return;
  ActiveCall& active = found->second;
  if (!reply) {
    if (active.asked_hint)
      active.ignore_hints = true;
    else
      ++active.failures;
    this->ApplyCall(handle, active.call.OnAskFailed(now), now, wall);
    return;
  }
  // Without a name the same host is asked again, which may take the shard back
  // after its pause. Going on to other hosts would make each of them take it
  // from the last while two sides of a cut both need it.
  if (reply->verdict == PermitVerdict::kNotOwner && !active.ignore_hints)
    active.owner_hint = reply->owner;
  this->ApplyCall(handle, active.call.OnPermitReply(*reply, now), now, wall);
}

void Node::Remember(const CallRequest& request, bool done, SavedAnswer answer) {
  if (!this->memory.contains(request.key))
    this->memory_order.push_back(request.key);
  this->memory[request.key] = {request.request_hash, done, std::move(answer)};
  while (this->memory_order.size() > this->options.host_answers) {
    this->memory.erase(this->memory_order.front());
    this->memory_order.pop_front();
  }
}

void Node::AddReport(const OutcomeReport& report,
                     TimePoint now,
                     UnixTime wall) {
  Unconfirmed& entry = this->unconfirmed[report.call_id];
  entry.report = report;
  entry.in_flight.reset();
  this->unconfirmed_by_key[report.key].insert(report.call_id);
  this->SendOutcomes(report.shard, {report.call_id}, now, wall);
}

std::vector<OutcomeReport> Node::OutcomesOf(const CallKey& key) const {
  std::vector<OutcomeReport> reports;
  auto found = this->unconfirmed_by_key.find(key);
  if (found == this->unconfirmed_by_key.end())
    return reports;
  for (const CallId& call_id : found->second)
    reports.push_back(this->unconfirmed.at(call_id).report);
  return reports;
}

void Node::Confirm(const CallId& call_id) {
  auto entry = this->unconfirmed.find(call_id);
  auto by_key = this->unconfirmed_by_key.find(entry->second.report.key);
  by_key->second.erase(call_id);
  if (by_key->second.empty())
    this->unconfirmed_by_key.erase(by_key);
  this->unconfirmed.erase(entry);
}

void Node::SendOutcomes(ShardId shard,
                        const std::vector<CallId>& call_ids,
                        TimePoint now,
                        UnixTime wall) {
  OutcomeRequest request;
  request.shard = shard;
  const AskId ask = this->next_id++;
  std::vector<CallId> sent;
  size_t failures = 0;
  for (const CallId& call_id : call_ids) {
    auto found = this->unconfirmed.find(call_id);
    if (found == this->unconfirmed.end() || found->second.in_flight)
      continue;
    found->second.in_flight = ask;
    failures = std::max(failures, found->second.failures);
    request.outcomes.push_back(found->second.report);
    sent.push_back(call_id);
  }
  if (sent.empty())
    return;
  this->outcome_asks[ask] = std::move(sent);
  HostId to = this->HostFor(shard, failures);
  if (to == this->host)
    this->HandleOutcomes(request, kFirstLocalReply + ask, now, wall);
  else
    this->actions.outcomes.push_back({ask, std::move(to), std::move(request)});
}

void Node::OnOutcomeReply(AskId ask,
                          const std::optional<OutcomeReply>& reply,
                          TimePoint now,
                          UnixTime /*wall*/) {
  this->OnReplyToOutcomes(ask, reply && reply->accepted, now);
}

void Node::OnReplyToOutcomes(AskId ask, bool accepted, TimePoint now) {
  auto found = this->outcome_asks.find(ask);
  if (found == this->outcome_asks.end())
    return;
  for (const CallId& call_id : found->second) {
    auto entry = this->unconfirmed.find(call_id);
    // A newer report of the same call may have taken its place.
    if (entry == this->unconfirmed.end() || entry->second.in_flight != ask)
      continue;
    if (accepted) {
      this->Confirm(call_id);
      continue;
    }
    ++entry->second.failures;
    entry->second.in_flight.reset();
    this->resends.emplace(now + this->options.outcome_retry, call_id);
  }
  this->outcome_asks.erase(found);
}

void Node::OnTick(TimePoint now, UnixTime wall) {
  while (!this->wakes.empty() && this->wakes.begin()->first <= now) {
    const CallHandle handle = this->wakes.begin()->second;
    this->wakes.erase(this->wakes.begin());
    auto found = this->calls.find(handle);
    if (found == this->calls.end())
      continue;
    ActiveCall& active = found->second;
    if (active.call.request().deadline <= now)
      this->ApplyCall(handle, active.call.OnDeadline(), now, wall);
    else if (active.ask_at && *active.ask_at <= now)
      this->Ask(handle, now, wall);
  }
  this->ResendOutcomes(now, wall);
  for (auto& [shard, owner] : this->owners)
    this->ApplyOwner(owner->OnTick(now, wall), now, wall);
  if (this->layout_retry && *this->layout_retry <= now) {
    this->layout_retry.reset();
    this->actions.reads.push_back({kLayoutName});
  }
}

void Node::ResendOutcomes(TimePoint now, UnixTime wall) {
  std::map<ShardId, std::vector<CallId>> due;
  while (!this->resends.empty() && this->resends.begin()->first <= now) {
    const CallId call_id = std::move(this->resends.begin()->second);
    this->resends.erase(this->resends.begin());
    auto entry = this->unconfirmed.find(call_id);
    if (entry != this->unconfirmed.end())
      due[entry->second.report.shard].push_back(call_id);
  }
  for (const auto& [shard, call_ids] : due) {
    for (size_t i = 0; i < call_ids.size(); i += kMaxOutcomes) {
      const auto first = call_ids.begin() + static_cast<ptrdiff_t>(i);
      const auto count = std::min(kMaxOutcomes, call_ids.size() - i);
      this->SendOutcomes(shard, {first, first + static_cast<ptrdiff_t>(count)},
                         now, wall);
    }
  }
}

void Node::Flush(TimePoint now, UnixTime wall) {
  std::multimap<TimePoint, CallId> all;
  for (auto& [when, call_id] : this->resends)
    all.emplace(now, std::move(call_id));
  this->resends = std::move(all);
  for (auto& [shard, owner] : this->owners)
    this->ApplyOwner(owner->Flush(now, wall), now, wall);
  this->OnTick(now, wall);
}

std::optional<TimePoint> Node::NextWake() const {
  std::optional<TimePoint> wake = this->layout_retry;
  auto consider = [&wake](std::optional<TimePoint> when) {
    if (when && (!wake || *when < *wake))
      wake = when;
  };
  if (!this->wakes.empty())
    consider(this->wakes.begin()->first);
  if (!this->resends.empty())
    consider(this->resends.begin()->first);
  for (const auto& [shard, owner] : this->owners)
    consider(owner->NextWake());
  return wake;
}

bool Node::settled() const {
  return this->calls.empty() && this->unconfirmed.empty() &&
         std::all_of(this->owners.begin(), this->owners.end(),
                     [](const auto& item) { return item.second->settled(); });
}

size_t Node::owned_shards() const {
  return static_cast<size_t>(
      std::count_if(this->owners.begin(), this->owners.end(),
                    [](const auto& item) { return item.second->active(); }));
}

const ShardOwner* Node::FindOwner(ShardId shard) const {
  auto found = this->owners.find(shard);
  return found == this->owners.end() ? nullptr : found->second.get();
}

}  // namespace jujuberock::journal
