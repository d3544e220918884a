#include "core/journal/shard_owner.h"

#include <algorithm>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;
using platform::Object;

namespace {

std::vector<uint64_t> HashesOf(const std::vector<Record>& records) {
  std::vector<uint64_t> hashes;
  hashes.reserve(records.size());
  for (const Record& record : records)
    hashes.push_back(HashKey(record.key));
  return hashes;
}

}  // namespace

ShardOwner::ShardOwner(const Options& options,
                       ShardId shard,
                       HostId host,
                       IsLive is_live,
                       MakeToken make_token)
    : options(options),
      shard(shard),
      host(std::move(host)),
      is_live(std::move(is_live)),
      make_token(std::move(make_token)) {}

OwnerActions ShardOwner::OnPermitRequest(const PermitRequest& request,
                                         ReplyTo to,
                                         TimePoint now,
                                         UnixTime wall) {
  PendingPermit pending{request, to, now + request.timeout, {}};
  if (this->state == State::kActive) {
    this->ApplyOutcomes(request.outcomes, now);
    this->DecidePermit(std::move(pending), now, wall);
    this->WriteIfDue(now, wall);
    return this->TakeActions();
  }
  if (this->state == State::kIdle && now < this->earliest_acquire) {
    this->Reply(to, PermitDecision::kNotOwner);
    return this->TakeActions();
  }
  this->pending_permits.push_back(std::move(pending));
  this->AcquireOwnership(now);
  return this->TakeActions();
}

OwnerActions ShardOwner::OnOutcome(const OutcomeRequest& request,
                                   ReplyTo to,
                                   TimePoint now,
                                   UnixTime wall) {
  if (this->state == State::kIdle && now < this->earliest_acquire) {
    this->actions.outcomes.push_back({to, {.accepted = false}});
    return this->TakeActions();
  }
  if (this->state != State::kActive) {
    this->pending_outcomes.push_back({request, to});
    this->AcquireOwnership(now);
    return this->TakeActions();
  }
  this->ApplyOutcomes(request.outcomes, now);
  this->ReplyWhenCommitted(request.outcomes, to, now);
  this->WriteIfDue(now, wall);
  return this->TakeActions();
}

OwnerActions ShardOwner::OnWriteReply(const std::string& name,
                                      const std::string& token,
                                      const platform::WriteResult& result,
                                      TimePoint now,
                                      UnixTime wall) {
  if (this->head_write && this->head_write->write.name == name &&
      this->head_write->write.token == token) {
    this->OnHeadWriteResolved(
        this->ResolveByResult(*this->head_write, result, now), now, wall);
  } else if (this->seal_write && this->seal_write->write.name == name &&
             this->seal_write->write.token == token) {
    this->OnSealWriteResolved(
        this->ResolveByResult(*this->seal_write, result, now), now);
  }
  this->WriteIfDue(now, wall);
  return this->TakeActions();
}

OwnerActions ShardOwner::OnReadReply(const std::string& name,
                                     bool ok,
                                     const std::optional<Object>& object,
                                     TimePoint now,
                                     UnixTime wall) {
  if (name == HeadName(this->shard)) {
    if (this->head_write && this->head_write->reading) {
      this->OnHeadWriteResolved(
          this->ResolveByRead(*this->head_write, ok, object, now), now, wall);
    } else if (this->state == State::kReadingHead) {
      this->OnHeadRead(ok, object, now);
    }
  } else if (this->seal_write && this->seal_write->reading &&
             this->seal_write->write.name == name) {
    this->OnSealWriteResolved(
        this->ResolveByRead(*this->seal_write, ok, object, now), now);
  } else if (this->state == State::kLoading) {
    this->OnSealedLoaded(name, ok, object, now, wall);
  } else if (this->lookups.contains(name)) {
    this->OnLookupRead(name, ok, object, now, wall);
  }
  this->WriteIfDue(now, wall);
  return this->TakeActions();
}

OwnerActions ShardOwner::OnTick(TimePoint now, UnixTime wall) {
  if (this->head_read_retry && *this->head_read_retry <= now) {
    this->head_read_retry.reset();
    this->actions.reads.push_back({HeadName(this->shard)});
  }
  if (this->head_write)
    this->Retry(*this->head_write, now);
  if (this->seal_write)
    this->Retry(*this->seal_write, now);
  for (auto it = this->load_progress.retries.begin();
       it != this->load_progress.retries.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    this->actions.reads.push_back({it->first});
    it = this->load_progress.retries.erase(it);
  }
  for (auto& [name, lookup] : this->lookups) {
    if (!lookup.retry_at || *lookup.retry_at > now)
      continue;
    lookup.retry_at.reset();
    this->actions.reads.push_back({name});
  }
  this->RefuseOverdue(now);
  this->WriteIfDue(now, wall);
  return this->TakeActions();
}

OwnerActions ShardOwner::Flush(TimePoint now, UnixTime wall) {
  if (this->first_outcome_at)
    this->first_outcome_at = now - this->options.outcome_delay;
  this->WriteIfDue(now, wall);
  return this->TakeActions();
}

std::optional<TimePoint> ShardOwner::NextWakeup() const {
  std::optional<TimePoint> wakeup = this->NextWriteAt();
  auto consider = [&wakeup](std::optional<TimePoint> when) {
    if (when && (!wakeup || *when < *wakeup))
      wakeup = when;
  };
  consider(this->head_read_retry);
  if (this->head_write)
    consider(this->head_write->retry_at);
  if (this->seal_write)
    consider(this->seal_write->retry_at);
  for (const auto& [name, when] : this->load_progress.retries)
    consider(when);
  for (const auto& [name, lookup] : this->lookups) {
    consider(lookup.retry_at);
    for (const PendingPermit& waiter : lookup.pending_permits)
      consider(waiter.deadline);
  }
  for (const PendingPermit& waiter : this->pending_permits)
    consider(waiter.deadline);
  return wakeup;
}

bool ShardOwner::drained() const {
  return !this->head_write && !this->seal_write &&
         this->last_change == this->committed_change;
}

size_t ShardOwner::sealed_records() const {
  size_t total = 0;
  for (const auto& [name, group] : this->sealed)
    total += group.hashes.size();
  return total;
}

void ShardOwner::AcquireOwnership(TimePoint now) {
  if (this->state != State::kIdle)
    return;
  this->state = State::kReadingHead;
  this->earliest_acquire = now;
  this->actions.reads.push_back({HeadName(this->shard)});
}

void ShardOwner::OnHeadRead(bool ok,
                            const std::optional<Object>& object,
                            TimePoint now) {
  if (!ok) {
    this->head_read_retry = now + this->options.platform_retry;
    return;
  }
  try {
    this->TakeOver(object);
  } catch (const common::Error&) {
    // A malformed head must not be overwritten, so the shard stays unavailable.
    this->LoseOwnership({}, now);
  }
}

void ShardOwner::TakeOver(const std::optional<Object>& object) {
  HeadContent content;
  if (object)
    content = ParseHead(object->body);
  this->head = std::move(content.head);
  // The previous owner may have stopped after writing an object but before
  // listing it in the head.
  if (this->head.term > 0) {
    const uint64_t number = this->head.next_object;
    this->orphans = {SegmentName(this->shard, this->head.term, number),
                     IndexName(this->shard, this->head.term, number)};
  }
  ++this->head.term;
  this->head.next_object = 0;
  this->head.owner = this->host;
  for (Record& record : content.records) {
    Entry entry;
    entry.record = std::move(record);
    this->InsertEntry(std::move(entry));
  }
  this->version = object ? object->version : 0;
  this->state = State::kTakingOver;
  this->StartHeadWrite();
}

void ShardOwner::OnTakenOver(TimePoint now, UnixTime wall) {
  for (std::string& name : std::exchange(this->orphans, {}))
    this->actions.deletes.push_back(std::move(name));
  this->state = State::kLoading;
  this->load_progress = {};
  this->load_progress.remaining =
      this->head.segments.size() + this->head.indexes.size();
  if (this->load_progress.remaining == 0)
    this->Activate(now, wall);
  else
    this->LoadMore();
}

void ShardOwner::CheckEra(uint64_t era, UnixTime wall) {
  if (era == this->head.store_era)
    return;
  // The next write of the head, which commits the next intent, contains this.
  this->head.store_era = era;
  this->head.lost_until = wall + this->options.restore_margin;
}

void ShardOwner::LoadMore() {
  const size_t segments = this->head.segments.size();
  const size_t total = segments + this->head.indexes.size();
  while (this->load_progress.next < total &&
         this->load_progress.in_flight < this->options.parallel_reads) {
    const size_t next = this->load_progress.next++;
    this->actions.reads.push_back(
        {next < segments ? this->head.segments[next].name
                         : this->head.indexes[next - segments].name});
    ++this->load_progress.in_flight;
  }
}

void ShardOwner::OnSealedLoaded(const std::string& name,
                                bool ok,
                                const std::optional<Object>& object,
                                TimePoint now,
                                UnixTime wall) {
  if (this->sealed.contains(name))
    return;
  if (ok && !object) {
    // Only a later owner deletes an object that this head lists.
    this->LoseOwnership({}, now);
    return;
  }
  try {
    if (!ok)
      throw common::Error(common::ResultCode::kPlatformUnavailable, name);
    std::vector<IndexedSegment> segments;
    if (this->IsIndex(name))
      segments = ParseIndex(object->body);
    else
      segments.push_back({name, HashesOf(ParseSegment(object->body))});
    this->sealed.emplace(name, MakeGroup(std::move(segments)));
  } catch (const common::Error&) {
    this->load_progress.retries[name] = now + this->options.platform_retry;
    return;
  }
  --this->load_progress.in_flight;
  --this->load_progress.remaining;
  this->LoadMore();
  if (this->load_progress.remaining == 0)
    this->Activate(now, wall);
}

void ShardOwner::Activate(TimePoint now, UnixTime wall) {
  this->state = State::kActive;
  // Applies outcomes first because pending permits may depend on them.
  for (auto& [request, to] : std::exchange(this->pending_outcomes, {})) {
    this->ApplyOutcomes(request.outcomes, now);
    this->ReplyWhenCommitted(request.outcomes, to, now);
  }
  for (PendingPermit& waiter : std::exchange(this->pending_permits, {})) {
    this->ApplyOutcomes(waiter.request.outcomes, now);
    this->DecidePermit(std::move(waiter), now, wall);
  }
}

void ShardOwner::LoseOwnership(const HostId& new_owner, TimePoint now) {
  this->last_known_owner = new_owner == this->host ? HostId() : new_owner;
  for (const PendingPermit& waiter : this->pending_permits)
    this->Reply(waiter.to, PermitDecision::kNotOwner);
  for (const auto& [name, lookup] : this->lookups) {
    for (const PendingPermit& waiter : lookup.pending_permits)
      this->Reply(waiter.to, PermitDecision::kNotOwner);
  }
  for (const auto& [change, deferred] : this->deferred_permits)
    this->Reply(deferred.to, PermitDecision::kNotOwner);
  for (const auto& [change, deferred] : this->deferred_outcomes)
    this->actions.outcomes.push_back({deferred.to, {.accepted = false}});
  for (const PendingOutcomeRequest& waiter : this->pending_outcomes)
    this->actions.outcomes.push_back({waiter.to, {.accepted = false}});
  this->ResetShard();
  this->earliest_acquire = now + this->options.takeover_pause;
}

void ShardOwner::ResetShard() {
  this->state = State::kIdle;
  this->version = 0;
  this->head = {};
  this->orphans.clear();
  this->head_read_retry.reset();
  this->load_progress = {};
  this->pending_permits.clear();
  this->pending_outcomes.clear();
  this->records.clear();
  this->by_key.clear();
  this->record_bytes = 0;
  this->sealed.clear();
  this->lookups.clear();
  this->committed_change = this->last_change;
  this->first_intent_at.reset();
  this->first_outcome_at.reset();
  this->expired_objects.clear();
  this->head_write.reset();
  this->seal_write.reset();
  this->deferred_permits.clear();
  this->deferred_outcomes.clear();
}

void ShardOwner::Reply(ReplyTo to, PermitDecision decision) {
  PermitReply reply;
  reply.decision = decision;
  reply.term = this->head.term;
  if (decision == PermitDecision::kNotOwner)
    reply.owner = this->last_known_owner;
  this->actions.permits.push_back({to, std::move(reply)});
}

void ShardOwner::RefuseOverdue(TimePoint now) {
  auto refuse = [&](std::vector<PendingPermit>& waiters) {
    std::erase_if(waiters, [&](const PendingPermit& waiter) {
      if (waiter.deadline > now)
        return false;
      this->Reply(waiter.to, PermitDecision::kUnavailable);
      return true;
    });
  };
  refuse(this->pending_permits);
  for (auto& [name, lookup] : this->lookups)
    refuse(lookup.pending_permits);
}

OwnerActions ShardOwner::TakeActions() {
  return std::exchange(this->actions, {});
}

}  // namespace jujuberock::journal
