// Conditional writes of a shard: group commit, sealing and lost replies.

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/journal/shard_owner.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;
using platform::WriteState;

void ShardOwner::WriteIfDue(TimePoint now, UnixTime wall) {
  const std::optional<TimePoint> due = this->NextWriteAt();
  if (!due || *due > now)
    return;
  const bool sealing = this->seal_write.has_value();
  this->DropExpired(wall);
  this->SealIfLarge();
  this->IndexIfMany();
  this->StartHeadWrite();
  this->first_intent_at.reset();
  this->first_outcome_at.reset();
  const int writes = this->seal_write && !sealing ? 2 : 1;
  this->write_budget_end = std::max(this->write_budget_end, now) +
                           writes * this->options.WriteSpacing();
}

std::optional<TimePoint> ShardOwner::NextWriteAt() const {
  if (this->state != State::kActive || this->head_write ||
      this->last_change == this->committed_change)
    return std::nullopt;
  TimePoint due = TimePoint::max();
  if (this->first_intent_at)
    due = *this->first_intent_at + this->options.write_window;
  if (this->first_outcome_at)
    due = std::min(due, *this->first_outcome_at + this->options.outcome_delay);
  const TimePoint allowed =
      this->write_budget_end -
      (this->options.write_burst - 1) * this->options.WriteSpacing();
  return std::max(due, allowed);
}

void ShardOwner::StartHeadWrite() {
  std::string joined;
  joined.reserve(this->record_bytes + this->records.size());
  for (const auto& [number, entry] : this->records) {
    if (!joined.empty())
      joined += ',';
    joined += entry.text;
  }
  PendingWrite pending;
  pending.write = {HeadName(this->shard), this->version,
                   RenderHead(this->head, joined), this->make_token()};
  pending.change = this->last_change;
  this->sent_change = this->last_change;
  pending.deletes = std::exchange(this->expired_objects, {});
  this->head_write = std::move(pending);
  this->Send(*this->head_write);
}

void ShardOwner::DropExpired(UnixTime wall) {
  this->head.floor = std::max(this->head.floor, wall - this->options.retention);
  std::vector<uint64_t> expired;
  for (const auto& [number, entry] : this->records) {
    if (entry.record.issued < this->head.floor && !entry.sealing)
      expired.push_back(number);
  }
  for (uint64_t number : expired)
    this->EraseEntry(number);
  // Segments that are being added to an index expire with that index.
  const bool indexing = this->seal_write && this->seal_write->is_index;
  std::erase_if(this->head.segments, [&](const SegmentInfo& segment) {
    if (indexing || segment.newest_issued >= this->head.floor)
      return false;
    this->expired_objects.push_back(segment.name);
    this->sealed.erase(segment.name);
    return true;
  });
  std::erase_if(this->head.indexes, [this](const IndexInfo& index) {
    if (index.newest_issued >= this->head.floor)
      return false;
    for (const std::string& name : this->sealed[index.name].segments)
      this->expired_objects.push_back(name);
    this->expired_objects.push_back(index.name);
    this->sealed.erase(index.name);
    return true;
  });
}

void ShardOwner::SealIfLarge() {
  if (this->seal_write ||
      this->record_bytes <= this->options.seal_threshold_bytes)
    return;
  PendingWrite pending;
  std::string joined;
  std::vector<uint64_t> released;
  for (const auto& [number, entry] : this->records) {
    if (entry.change > this->committed_change)
      continue;
    if (entry.record.state == RecordState::kReleased)
      released.push_back(number);
    if (entry.record.state != RecordState::kDone ||
        joined.size() > this->options.segment_limit_bytes)
      continue;
    if (!joined.empty())
      joined += ',';
    joined += entry.text;
    pending.entries.push_back(number);
    pending.segment.newest_issued =
        std::max(pending.segment.newest_issued, entry.record.issued);
  }
  // The calls of released records will never be sent, so they can be dropped.
  for (uint64_t number : released)
    this->EraseEntry(number);
  // Avoids small segments: each costs a platform object and a write.
  if (joined.size() < this->options.seal_threshold_bytes / 2)
    return;
  for (uint64_t number : pending.entries)
    this->records.at(number).sealing = true;
  pending.segment.name =
      SegmentName(this->shard, this->head.term, this->head.next_object);
  pending.segment.records = pending.entries.size();
  pending.write = {pending.segment.name, 0, RenderSegment(joined),
                   this->make_token()};
  this->seal_write = std::move(pending);
  this->Send(*this->seal_write);
}

void ShardOwner::Send(PendingWrite& pending) {
  pending.reading = false;
  pending.retry_at.reset();
  this->actions.writes.push_back(pending.write);
}

void ShardOwner::Retry(PendingWrite& pending, TimePoint now) {
  if (!pending.retry_at || *pending.retry_at > now)
    return;
  if (!pending.reading) {
    this->Send(pending);
    return;
  }
  pending.retry_at.reset();
  this->actions.reads.push_back({pending.write.name});
}

ShardOwner::WriteResolution ShardOwner::ResolveByResult(
    PendingWrite& pending,
    const platform::WriteResult& result,
    TimePoint now) {
  switch (result.state) {
    case WriteState::kWritten:
      pending.version = result.version;
      return WriteResolution::kApplied;
    case WriteState::kConflict:
      if (result.current)
        return this->ResolveByObject(pending, *result.current);
      break;
    case WriteState::kRejected:
      pending.retry_at = now + this->options.platform_retry;
      return WriteResolution::kUnresolved;
    case WriteState::kUnknown:
      break;
  }
  pending.reading = true;
  this->actions.reads.push_back({pending.write.name});
  return WriteResolution::kUnresolved;
}

ShardOwner::WriteResolution ShardOwner::ResolveByRead(
    PendingWrite& pending,
    bool ok,
    const std::optional<platform::Object>& object,
    TimePoint now) {
  if (!ok) {
    pending.retry_at = now + this->options.platform_retry;
    return WriteResolution::kUnresolved;
  }
  const platform::Version found = object ? object->version : 0;
  if (found == pending.write.expected) {
    // The write has not taken effect, but it may still be in flight. Sends it
    // again with the same token instead of a different write.
    this->Send(pending);
    return WriteResolution::kUnresolved;
  }
  if (!object)
    return WriteResolution::kSuperseded;
  return this->ResolveByObject(pending, *object);
}

ShardOwner::WriteResolution ShardOwner::ResolveByObject(
    PendingWrite& pending,
    const platform::Object& object) {
  if (object.token == pending.write.token) {
    pending.version = object.version;
    return WriteResolution::kApplied;
  }
  if (pending.write.name == HeadName(this->shard)) {
    try {
      pending.new_owner = ParseHead(object.body).head.owner;
    } catch (const common::Error&) {
      // The new owner is only a hint for requesters.
    }
  }
  return WriteResolution::kSuperseded;
}

void ShardOwner::OnHeadWriteResolved(WriteResolution resolution,
                                     TimePoint now,
                                     UnixTime wall) {
  if (resolution == WriteResolution::kUnresolved)
    return;
  const PendingWrite pending = std::move(*this->head_write);
  this->head_write.reset();
  if (resolution == WriteResolution::kSuperseded) {
    this->LoseOwnership(pending.new_owner, now);
    return;
  }
  this->version = pending.version;
  this->committed_change = pending.change;
  this->CheckEra(platform::EraOf(pending.version), wall);
  if (this->state == State::kTakingOver) {
    this->OnTakenOver(now, wall);
    return;
  }
  for (const std::string& name : pending.deletes)
    this->actions.deletes.push_back(name);
  this->SendDeferredReplies();
}

void ShardOwner::IndexIfMany() {
  const std::vector<SegmentInfo>& listed = this->head.segments;
  if (this->seal_write || listed.size() < this->options.segments_per_index)
    return;
  PendingWrite pending;
  pending.is_index = true;
  pending.segment.name =
      IndexName(this->shard, this->head.term, this->head.next_object);
  std::vector<IndexedSegment> segments;
  for (const SegmentInfo& segment : listed) {
    segments.push_back({segment.name, this->sealed.at(segment.name).hashes});
    pending.segment.records += segment.records;
    pending.segment.newest_issued =
        std::max(pending.segment.newest_issued, segment.newest_issued);
  }
  pending.write = {pending.segment.name, 0, RenderIndex(segments),
                   this->make_token()};
  this->seal_write = std::move(pending);
  this->Send(*this->seal_write);
}

void ShardOwner::OnSealWriteResolved(WriteResolution resolution,
                                     TimePoint now) {
  if (resolution == WriteResolution::kUnresolved)
    return;
  const PendingWrite pending = std::move(*this->seal_write);
  this->seal_write.reset();
  ++this->head.next_object;
  if (resolution == WriteResolution::kSuperseded) {
    for (uint64_t number : pending.entries)
      this->records.at(number).sealing = false;
    return;
  }
  if (pending.is_index)
    this->OnIndexWritten(pending);
  else
    this->OnSegmentSealed(pending);
  ++this->last_change;
  if (!this->first_outcome_at)
    this->first_outcome_at = now;
}

void ShardOwner::OnSegmentSealed(const PendingWrite& pending) {
  IndexedSegment segment;
  segment.name = pending.segment.name;
  for (uint64_t number : pending.entries) {
    segment.hashes.push_back(HashKey(this->records.at(number).record.key));
    this->EraseEntry(number);
  }
  this->head.segments.push_back(pending.segment);
  this->sealed.emplace(pending.segment.name, MakeGroup({std::move(segment)}));
}

void ShardOwner::OnIndexWritten(const PendingWrite& pending) {
  std::vector<IndexedSegment> segments = ParseIndex(pending.write.body);
  for (const IndexedSegment& segment : segments) {
    this->sealed.erase(segment.name);
    std::erase_if(this->head.segments, [&](const SegmentInfo& listed) {
      return listed.name == segment.name;
    });
  }
  this->head.indexes.push_back({pending.segment.name,
                                pending.segment.newest_issued,
                                pending.segment.records});
  this->sealed.emplace(pending.segment.name, MakeGroup(std::move(segments)));
}

ShardOwner::SealedGroup ShardOwner::MakeGroup(
    std::vector<IndexedSegment> segments) {
  std::vector<std::pair<uint64_t, uint16_t>> sorted;
  SealedGroup group;
  for (IndexedSegment& segment : segments) {
    const auto position = static_cast<uint16_t>(group.segments.size());
    for (uint64_t hash : segment.hashes)
      sorted.emplace_back(hash, position);
    group.segments.push_back(std::move(segment.name));
  }
  std::sort(sorted.begin(), sorted.end());
  group.hashes.reserve(sorted.size());
  group.positions.reserve(sorted.size());
  for (const auto& [hash, position] : sorted) {
    group.hashes.push_back(hash);
    group.positions.push_back(position);
  }
  return group;
}

bool ShardOwner::IsIndex(const std::string& name) const {
  return std::any_of(
      this->head.indexes.begin(), this->head.indexes.end(),
      [&name](const IndexInfo& index) { return index.name == name; });
}

std::vector<std::string> ShardOwner::FindSegmentsByHash(
    uint64_t hash,
    const std::unordered_set<std::string>& searched_segments) const {
  std::vector<std::string> found;
  for (const auto& [name, group] : this->sealed) {
    const auto [first, last] =
        std::equal_range(group.hashes.begin(), group.hashes.end(), hash);
    for (auto it = first; it != last; ++it) {
      const auto at = static_cast<size_t>(it - group.hashes.begin());
      const std::string& segment = group.segments[group.positions[at]];
      if (!searched_segments.contains(segment))
        found.push_back(segment);
    }
  }
  return found;
}

bool ShardOwner::IsListed(const std::string& segment) const {
  return std::any_of(
      this->sealed.begin(), this->sealed.end(), [&segment](const auto& item) {
        const std::vector<std::string>& names = item.second.segments;
        return std::find(names.begin(), names.end(), segment) != names.end();
      });
}

size_t ShardOwner::HeadBytes() const {
  // Each listed segment or index takes a name, a time and a count.
  constexpr size_t kBytesPerListing = 64;
  return this->record_bytes + kBytesPerListing * (this->head.segments.size() +
                                                  this->head.indexes.size());
}

void ShardOwner::SendDeferredReplies() {
  auto& permits = this->deferred_permits;
  while (!permits.empty() && permits.begin()->first <= this->committed_change) {
    this->actions.permits.push_back(std::move(permits.begin()->second));
    permits.erase(permits.begin());
  }
  auto& outcomes = this->deferred_outcomes;
  while (!outcomes.empty() &&
         outcomes.begin()->first <= this->committed_change) {
    this->actions.outcomes.push_back(outcomes.begin()->second);
    outcomes.erase(outcomes.begin());
  }
}

}  // namespace jujuberock::journal
