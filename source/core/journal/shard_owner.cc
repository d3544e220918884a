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
  Waiting asking{request, to, now + request.patience, {}};
  if (this->state == State::kActive) {
    this->ApplyOutcomes(request.outcomes, now);
    this->Decide(std::move(asking), now, wall);
    this->Pump(now, wall);
    return this->Take();
  }
  if (this->state == State::kIdle && now < this->not_before) {
    this->Reply(to, PermitVerdict::kNotOwner);
    return this->Take();
  }
  this->waiting.push_back(std::move(asking));
  this->Acquire(now);
  return this->Take();
}

OwnerActions ShardOwner::OnOutcome(const OutcomeRequest& request,
                                   ReplyTo to,
                                   TimePoint now,
                                   UnixTime wall) {
  if (this->state == State::kIdle && now < this->not_before) {
    this->actions.outcomes.push_back({to, {.accepted = false}});
    return this->Take();
  }
  if (this->state != State::kActive) {
    this->waiting_outcomes.push_back({request, to});
    this->Acquire(now);
    return this->Take();
  }
  this->ApplyOutcomes(request.outcomes, now);
  this->ReplyWhenCommitted(request.outcomes, to, now);
  this->Pump(now, wall);
  return this->Take();
}

OwnerActions ShardOwner::OnWriteReply(const std::string& name,
                                      const std::string& token,
                                      const platform::WriteResult& result,
                                      TimePoint now,
                                      UnixTime wall) {
  if (this->head_write && this->head_write->write.name == name &&
      this->head_write->write.token == token) {
    this->OnHeadSettled(this->Settle(*this->head_write, result, now), now,
                        wall);
  } else if (this->seal_write && this->seal_write->write.name == name &&
             this->seal_write->write.token == token) {
    this->OnSealSettled(this->Settle(*this->seal_write, result, now), now);
  }
  this->Pump(now, wall);
  return this->Take();
}

OwnerActions ShardOwner::OnReadReply(const std::string& name,
                                     bool ok,
                                     const std::optional<Object>& object,
                                     TimePoint now,
                                     UnixTime wall) {
  if (name == HeadName(this->shard)) {
    if (this->head_write && this->head_write->reading) {
      this->OnHeadSettled(
          this->SettleByRead(*this->head_write, ok, object, now), now, wall);
    } else if (this->state == State::kReadingHead) {
      this->OnHeadRead(ok, object, now);
    }
  } else if (this->seal_write && this->seal_write->reading &&
             this->seal_write->write.name == name) {
    this->OnSealSettled(this->SettleByRead(*this->seal_write, ok, object, now),
                        now);
  } else if (this->state == State::kLoading) {
    this->OnSealedLoaded(name, ok, object, now, wall);
  } else if (this->lookups.contains(name)) {
    this->OnLookupRead(name, ok, object, now, wall);
  }
  this->Pump(now, wall);
  return this->Take();
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
  for (auto it = this->load.retries.begin(); it != this->load.retries.end();) {
    if (it->second > now) {
      ++it;
      continue;
    }
    this->actions.reads.push_back({it->first});
    it = this->load.retries.erase(it);
  }
  for (auto& [name, lookup] : this->lookups) {
    if (!lookup.retry_at || *lookup.retry_at > now)
      continue;
    lookup.retry_at.reset();
    this->actions.reads.push_back({name});
  }
  this->RefuseLate(now);
  this->Pump(now, wall);
  return this->Take();
}

OwnerActions ShardOwner::Flush(TimePoint now, UnixTime wall) {
  if (this->first_outcome)
    this->first_outcome = now - this->options.outcome_delay;
  this->Pump(now, wall);
  return this->Take();
}

std::optional<TimePoint> ShardOwner::NextWake() const {
  std::optional<TimePoint> wake = this->WriteDue();
  auto consider = [&wake](std::optional<TimePoint> when) {
    if (when && (!wake || *when < *wake))
      wake = when;
  };
  consider(this->head_read_retry);
  if (this->head_write)
    consider(this->head_write->retry_at);
  if (this->seal_write)
    consider(this->seal_write->retry_at);
  for (const auto& [name, when] : this->load.retries)
    consider(when);
  for (const auto& [name, lookup] : this->lookups) {
    consider(lookup.retry_at);
    for (const Waiting& waiter : lookup.waiting)
      consider(waiter.give_up);
  }
  for (const Waiting& waiter : this->waiting)
    consider(waiter.give_up);
  return wake;
}

bool ShardOwner::settled() const {
  return !this->head_write && !this->seal_write &&
         this->last_change == this->committed_change;
}

size_t ShardOwner::sealed_records() const {
  size_t total = 0;
  for (const auto& [name, group] : this->sealed)
    total += group.hashes.size();
  return total;
}

void ShardOwner::Acquire(TimePoint now) {
  if (this->state != State::kIdle)
    return;
  this->state = State::kReadingHead;
  this->not_before = now;
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
    // A malformed head must not be overwritten; the shard stays unavailable.
    this->Lose({}, now);
  }
}

void ShardOwner::TakeOver(const std::optional<Object>& object) {
  HeadContent content;
  if (object)
    content = ParseHead(object->body);
  this->head = std::move(content.head);
  // An owner that died between writing an object and listing it left it here.
  if (this->head.term > 0) {
    const uint64_t number = this->head.next_object;
    this->strays = {SegmentName(this->shard, this->head.term, number),
                    IndexName(this->shard, this->head.term, number)};
  }
  ++this->head.term;
  this->head.next_object = 0;
  this->head.owner = this->host;
  for (Record& record : content.records) {
    Entry entry;
    entry.record = std::move(record);
    this->Insert(std::move(entry));
  }
  this->version = object ? object->version : 0;
  this->state = State::kTakingOver;
  this->StartHeadWrite();
}

void ShardOwner::OnTakenOver(TimePoint now, UnixTime wall) {
  for (std::string& name : std::exchange(this->strays, {}))
    this->actions.deletes.push_back(std::move(name));
  this->state = State::kLoading;
  this->load = {};
  this->load.left = this->head.segments.size() + this->head.indexes.size();
  if (this->load.left == 0)
    this->Activate(now, wall);
  else
    this->LoadMore();
}

void ShardOwner::LoadMore() {
  const size_t segments = this->head.segments.size();
  const size_t total = segments + this->head.indexes.size();
  while (this->load.next < total &&
         this->load.in_flight < this->options.parallel_reads) {
    const size_t next = this->load.next++;
    this->actions.reads.push_back(
        {next < segments ? this->head.segments[next].name
                         : this->head.indexes[next - segments].name});
    ++this->load.in_flight;
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
    // Only a later owner deletes a listed object.
    this->Lose({}, now);
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
    this->load.retries[name] = now + this->options.platform_retry;
    return;
  }
  --this->load.in_flight;
  --this->load.left;
  this->LoadMore();
  if (this->load.left == 0)
    this->Activate(now, wall);
}

void ShardOwner::Activate(TimePoint now, UnixTime wall) {
  this->state = State::kActive;
  // Outcomes first: they may settle the keys that are asked for.
  for (auto& [request, to] : std::exchange(this->waiting_outcomes, {})) {
    this->ApplyOutcomes(request.outcomes, now);
    this->ReplyWhenCommitted(request.outcomes, to, now);
  }
  for (Waiting& waiter : std::exchange(this->waiting, {})) {
    this->ApplyOutcomes(waiter.request.outcomes, now);
    this->Decide(std::move(waiter), now, wall);
  }
}

void ShardOwner::Lose(const HostId& new_owner, TimePoint now) {
  this->last_known_owner = new_owner == this->host ? HostId() : new_owner;
  for (const Waiting& waiter : this->waiting)
    this->Reply(waiter.to, PermitVerdict::kNotOwner);
  for (const auto& [name, lookup] : this->lookups) {
    for (const Waiting& waiter : lookup.waiting)
      this->Reply(waiter.to, PermitVerdict::kNotOwner);
  }
  for (const auto& [change, deferred] : this->deferred_permits)
    this->Reply(deferred.to, PermitVerdict::kNotOwner);
  for (const auto& [change, deferred] : this->deferred_outcomes)
    this->actions.outcomes.push_back({deferred.to, {.accepted = false}});
  for (const WaitingOutcome& waiter : this->waiting_outcomes)
    this->actions.outcomes.push_back({waiter.to, {.accepted = false}});
  this->ForgetShard();
  this->not_before = now + this->options.takeover_pause;
}

void ShardOwner::ForgetShard() {
  this->state = State::kIdle;
  this->version = 0;
  this->head = {};
  this->strays.clear();
  this->head_read_retry.reset();
  this->load = {};
  this->waiting.clear();
  this->waiting_outcomes.clear();
  this->records.clear();
  this->by_key.clear();
  this->record_bytes = 0;
  this->sealed.clear();
  this->lookups.clear();
  this->committed_change = this->last_change;
  this->first_intent.reset();
  this->first_outcome.reset();
  this->expired.clear();
  this->head_write.reset();
  this->seal_write.reset();
  this->deferred_permits.clear();
  this->deferred_outcomes.clear();
}

void ShardOwner::Reply(ReplyTo to, PermitVerdict verdict) {
  PermitReply reply;
  reply.verdict = verdict;
  reply.term = this->head.term;
  if (verdict == PermitVerdict::kNotOwner)
    reply.owner = this->last_known_owner;
  this->actions.permits.push_back({to, std::move(reply)});
}

void ShardOwner::RefuseLate(TimePoint now) {
  auto refuse = [&](std::vector<Waiting>& waiters) {
    std::erase_if(waiters, [&](const Waiting& waiter) {
      if (waiter.give_up > now)
        return false;
      this->Reply(waiter.to, PermitVerdict::kUnavailable);
      return true;
    });
  };
  refuse(this->waiting);
  for (auto& [name, lookup] : this->lookups)
    refuse(lookup.waiting);
}

OwnerActions ShardOwner::Take() {
  return std::exchange(this->actions, {});
}

}  // namespace jujuberock::journal
