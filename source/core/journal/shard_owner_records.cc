// Decisions of a shard owner on single keys.

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/journal/shard_owner.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;

namespace {

// Covers permit requests that arrive after the report that released their call.
constexpr size_t kMaxReleasedCalls = 256;
constexpr size_t kMaxDeferredOutcomes = 4096;
constexpr size_t kMaxContentTypeBytes = 100;

bool MayHaveRun(RecordState state) {
  return state == RecordState::kGranted || state == RecordState::kUnknown;
}

}  // namespace

void ShardOwner::DecidePermit(PendingPermit pending,
                              TimePoint now,
                              UnixTime wall) {
  const PermitRequest& request = pending.request;
  auto found = this->by_key.find(request.key);
  if (found != this->by_key.end()) {
    const Entry& entry = this->records.at(found->second);
    const bool reusable = entry.record.state == RecordState::kReleased &&
                          entry.record.call_id != request.call_id;
    if (!reusable) {
      this->DecideByRecord(pending, entry, wall);
      return;
    }
  } else if (this->SearchSealed(pending)) {
    return;
  }
  if (request.issued < this->head.lost_until) {
    this->Reply(pending.to, PermitDecision::kUnknown);
    return;
  }
  if (request.issued < this->head.floor ||
      request.issued < wall - this->options.retention) {
    this->Reply(pending.to, PermitDecision::kTooOld);
    return;
  }
  if (request.issued > wall + this->options.future_limit) {
    this->Reply(pending.to, PermitDecision::kTooNew);
    return;
  }
  if (this->IsKnownReleased(request.call_id)) {
    this->Reply(pending.to, PermitDecision::kReleased);
    return;
  }
  if (this->HeadBytes() > this->options.head_limit_bytes) {
    this->Reply(pending.to, PermitDecision::kUnavailable);
    return;
  }
  this->AddIntent(pending, now);
}

void ShardOwner::DecideByRecord(const PendingPermit& pending,
                                const Entry& entry,
                                UnixTime wall) {
  const Record& record = entry.record;
  PermitReply reply;
  reply.term = this->head.term;
  if (record.request_hash != pending.request.request_hash) {
    reply.decision = PermitDecision::kKeyReused;
  } else if (record.call_id == pending.request.call_id &&
             record.state == RecordState::kGranted) {
    // The host repeats the request because a reply was lost. The permit is
    // bound to this call, so granting it again is safe.
    reply.decision = PermitDecision::kGranted;
    if (entry.change > this->committed_change) {
      this->deferred_permits.emplace(entry.change,
                                     PermitReplyAction{pending.to, reply});
      return;
    }
  } else {
    reply.decision = this->DecisionForOtherCall(record, wall);
    reply.holder = record.call_id;
    reply.answer = record.answer;
  }
  this->actions.permits.push_back({pending.to, std::move(reply)});
}

PermitDecision ShardOwner::DecisionForOtherCall(const Record& record,
                                                UnixTime wall) const {
  switch (record.state) {
    case RecordState::kDone:
      return PermitDecision::kReplay;
    case RecordState::kReleased:
      return PermitDecision::kReleased;
    case RecordState::kUnknown:
      return PermitDecision::kUnknown;
    case RecordState::kGranted:
      break;
  }
  const bool recent = record.issued >= wall - this->options.in_progress_limit;
  return recent && this->is_live(record.host) ? PermitDecision::kInProgress
                                              : PermitDecision::kUnknown;
}

bool ShardOwner::SearchSealed(PendingPermit& pending) {
  const std::vector<std::string> segments = this->FindSegmentsByHash(
      HashKey(pending.request.key), pending.searched_segments);
  if (segments.empty())
    return false;
  const std::string& name = segments.front();
  SegmentLookup& lookup = this->lookups[name];
  if (lookup.pending_permits.empty() && !lookup.retry_at)
    this->actions.reads.push_back({name});
  lookup.pending_permits.push_back(std::move(pending));
  return true;
}

void ShardOwner::OnLookupRead(const std::string& name,
                              bool ok,
                              const std::optional<platform::Object>& object,
                              TimePoint now,
                              UnixTime wall) {
  if (ok && !object && this->IsListed(name)) {
    // Only a later owner deletes a segment that this head lists.
    this->LoseOwnership({}, now);
    return;
  }
  std::vector<Record> found;
  try {
    if (!ok)
      throw common::Error(common::ResultCode::kPlatformUnavailable, name);
    if (object)
      found = ParseSegment(object->body);
  } catch (const common::Error&) {
    this->lookups[name].retry_at = now + this->options.platform_retry;
    return;
  }
  SegmentLookup lookup = std::move(this->lookups[name]);
  this->lookups.erase(name);
  for (PendingPermit& pending : lookup.pending_permits) {
    auto record = std::find_if(
        found.begin(), found.end(),
        [&](const Record& item) { return item.key == pending.request.key; });
    if (record != found.end()) {
      Entry entry;
      entry.record = *record;
      this->DecideByRecord(pending, entry, wall);
      continue;
    }
    pending.searched_segments.insert(name);
    this->DecidePermit(std::move(pending), now, wall);
  }
}

void ShardOwner::AddIntent(const PendingPermit& pending, TimePoint now) {
  const PermitRequest& request = pending.request;
  auto released = this->by_key.find(request.key);
  if (released != this->by_key.end())
    this->EraseEntry(released->second);
  Entry entry;
  entry.record.key = request.key;
  entry.record.request_hash = request.request_hash;
  entry.record.issued = request.issued;
  entry.record.state = RecordState::kGranted;
  entry.record.host = request.host;
  entry.record.call_id = request.call_id;
  entry.record.term = this->head.term;
  entry.change = ++this->last_change;
  this->InsertEntry(std::move(entry));
  if (!this->first_intent_at)
    this->first_intent_at = now;
  PermitReply reply;
  reply.decision = PermitDecision::kGranted;
  reply.term = this->head.term;
  this->deferred_permits.emplace(this->last_change,
                                 PermitReplyAction{pending.to, reply});
}

void ShardOwner::ApplyOutcomes(const std::vector<OutcomeReport>& reports,
                               TimePoint now) {
  for (const OutcomeReport& report : reports)
    this->ApplyOutcome(report, now);
}

void ShardOwner::ApplyOutcome(const OutcomeReport& report, TimePoint now) {
  auto found = this->by_key.find(report.key);
  const bool same_call =
      found != this->by_key.end() &&
      this->records.at(found->second).record.call_id == report.call_id;
  if (!same_call) {
    if (report.outcome == CallOutcome::kNotRun)
      this->RememberReleased(report.call_id);
    return;
  }
  Entry& entry = this->records.at(found->second);
  Record& record = entry.record;
  if (report.outcome == CallOutcome::kDone && MayHaveRun(record.state)) {
    record.state = RecordState::kDone;
    record.answer = report.answer;
    if (record.answer.content_type.size() > kMaxContentTypeBytes)
      record.answer.content_type.clear();
    if (this->HeadBytes() > this->options.head_limit_bytes) {
      record.answer.body.clear();
      record.answer.body_kept = false;
    }
  } else if (report.outcome == CallOutcome::kUnknown &&
             record.state == RecordState::kGranted) {
    record.state = RecordState::kUnknown;
  } else if (report.outcome == CallOutcome::kNotRun &&
             record.state == RecordState::kGranted) {
    if (entry.change > this->sent_change) {
      this->WithdrawIntent(found->second);
      return;
    }
    record.state = RecordState::kReleased;
  } else {
    return;
  }
  this->MarkChanged(entry);
  if (!this->first_outcome_at)
    this->first_outcome_at = now;
}

void ShardOwner::ReplyWhenCommitted(const std::vector<OutcomeReport>& reports,
                                    ReplyTo to,
                                    TimePoint now) {
  uint64_t change = 0;
  for (const OutcomeReport& report : reports) {
    auto found = this->by_key.find(report.key);
    if (found != this->by_key.end() &&
        this->records.at(found->second).record.call_id == report.call_id) {
      change = std::max(change, this->records.at(found->second).change);
    } else if (!this->IsSealed(report.key)) {
      // A former owner that was paused may not have the record. Only a write
      // that takes effect proves that there is no record to update.
      change = ++this->last_change;
      if (!this->first_outcome_at)
        this->first_outcome_at = now;
    }
  }
  const bool committed = change <= this->committed_change;
  // A refused report is sent again later. During an outage the handlers time
  // out, and replies that nobody waits for would accumulate here.
  if (committed || this->deferred_outcomes.size() >= kMaxDeferredOutcomes)
    this->actions.outcomes.push_back({to, {.accepted = committed}});
  else
    this->deferred_outcomes.emplace(change,
                                    OutcomeReplyAction{to, {.accepted = true}});
}

bool ShardOwner::IsSealed(const CallKey& key) const {
  return !this->FindSegmentsByHash(HashKey(key), {}).empty();
}

void ShardOwner::WithdrawIntent(uint64_t number) {
  const Entry& entry = this->records.at(number);
  const auto [first, last] = this->deferred_permits.equal_range(entry.change);
  for (auto it = first; it != last; ++it)
    this->Reply(it->second.to, PermitDecision::kReleased);
  this->deferred_permits.erase(first, last);
  this->RememberReleased(entry.record.call_id);
  this->EraseEntry(number);
}

void ShardOwner::RememberReleased(const CallId& call_id) {
  if (this->IsKnownReleased(call_id))
    return;
  this->released_calls.push_back(call_id);
  if (this->released_calls.size() > kMaxReleasedCalls)
    this->released_calls.pop_front();
}

bool ShardOwner::IsKnownReleased(const CallId& call_id) const {
  return std::find(this->released_calls.begin(), this->released_calls.end(),
                   call_id) != this->released_calls.end();
}

void ShardOwner::InsertEntry(Entry entry) {
  entry.text = RenderRecord(entry.record);
  this->record_bytes += entry.text.size();
  this->by_key[entry.record.key] = this->next_entry;
  this->records.emplace(this->next_entry++, std::move(entry));
}

void ShardOwner::MarkChanged(Entry& entry) {
  this->record_bytes -= entry.text.size();
  entry.text = RenderRecord(entry.record);
  this->record_bytes += entry.text.size();
  entry.change = ++this->last_change;
}

void ShardOwner::EraseEntry(uint64_t number) {
  auto entry = this->records.find(number);
  if (entry == this->records.end())
    return;
  this->record_bytes -= entry->second.text.size();
  auto key = this->by_key.find(entry->second.record.key);
  if (key != this->by_key.end() && key->second == number)
    this->by_key.erase(key);
  this->records.erase(entry);
}

}  // namespace jujuberock::journal
