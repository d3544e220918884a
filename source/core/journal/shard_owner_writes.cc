// Conditional writes of a shard: group commit, sealing, lost answers.

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/journal/shard_owner.h"

namespace jujuberock::journal {

using common::TimePoint;
using common::UnixTime;
using platform::WriteState;

void ShardOwner::Pump(TimePoint now, UnixTime wall) {
  const std::optional<TimePoint> due = this->WriteDue();
  if (!due || *due > now)
    return;
  const bool sealing = this->seal_write.has_value();
  this->DropExpired(wall);
  this->SealIfLarge();
  this->IndexIfMany();
  this->StartHeadWrite();
  this->first_intent.reset();
  this->first_outcome.reset();
  const int writes = this->seal_write && !sealing ? 2 : 1;
  this->write_budget_end = std::max(this->write_budget_end, now) +
                           writes * this->options.WriteSpacing();
}

std::optional<TimePoint> ShardOwner::WriteDue() const {
  if (this->state != State::kActive || this->head_write ||
      this->last_change == this->committed_change)
    return std::nullopt;
  TimePoint due = TimePoint::max();
  if (this->first_intent)
    due = *this->first_intent + this->options.write_window;
  if (this->first_outcome)
    due = std::min(due, *this->first_outcome + this->options.outcome_delay);
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
  pending.deletes = std::exchange(this->expired, {});
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
  // Segments that an index is about to list expire together with it.
  const bool indexing = this->seal_write && this->seal_write->is_index;
  std::erase_if(this->head.segments, [&](const SegmentInfo& segment) {
    if (indexing || segment.newest_issued >= this->head.floor)
      return false;
    this->expired.push_back(segment.name);
    this->sealed.erase(segment.name);
    return true;
  });
  std::erase_if(this->head.indexes, [this](const IndexInfo& index) {
    if (index.newest_issued >= this->head.floor)
      return false;
    for (const std::string& name : this->sealed[index.name].segments)
      this->expired.push_back(name);
    this->expired.push_back(index.name);
    this->sealed.erase(index.name);
    return true;
  });
}

void ShardOwner::SealIfLarge() {
  if (this->seal_write || this->record_bytes <= this->options.head_bytes)
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
  // Their calls will never be sent, so nothing is lost with them.
  for (uint64_t number : released)
    this->EraseEntry(number);
  // Small segments would cost a platform object and a write each.
  if (joined.size() < this->options.head_bytes / 2)
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

ShardOwner::Settled ShardOwner::Settle(PendingWrite& pending,
                                       const platform::WriteResult& result,
                                       TimePoint now) {
  switch (result.state) {
    case WriteState::kWritten:
      pending.version = result.version;
      return Settled::kTookEffect;
    case WriteState::kConflict:
      if (result.current)
        return this->SettleByObject(pending, *result.current);
      break;
    case WriteState::kRejected:
      pending.retry_at = now + this->options.platform_retry;
      return Settled::kNo;
    case WriteState::kUnknown:
      break;
  }
  pending.reading = true;
  this->actions.reads.push_back({pending.write.name});
  return Settled::kNo;
}

ShardOwner::Settled ShardOwner::SettleByRead(
    PendingWrite& pending,
    bool ok,
    const std::optional<platform::Object>& object,
    TimePoint now) {
  if (!ok) {
    pending.retry_at = now + this->options.platform_retry;
    return Settled::kNo;
  }
  const platform::Version found = object ? object->version : 0;
  if (found == pending.write.expected) {
    // It has had no effect so far. It may still be on its way, so the same
    // token goes out again rather than a different write.
    this->Send(pending);
    return Settled::kNo;
  }
  if (!object)
    return Settled::kSuperseded;
  return this->SettleByObject(pending, *object);
}

ShardOwner::Settled ShardOwner::SettleByObject(PendingWrite& pending,
                                               const platform::Object& object) {
  if (object.token == pending.write.token) {
    pending.version = object.version;
    return Settled::kTookEffect;
  }
  if (pending.write.name == HeadName(this->shard)) {
    try {
      pending.new_owner = ParseHead(object.body).head.owner;
    } catch (const common::Error&) {
      // The name is only a hint for those who ask.
    }
  }
  return Settled::kSuperseded;
}

void ShardOwner::OnHeadSettled(Settled settled, TimePoint now, UnixTime wall) {
  if (settled == Settled::kNo)
    return;
  const PendingWrite pending = std::move(*this->head_write);
  this->head_write.reset();
  if (settled == Settled::kSuperseded) {
    this->Lose(pending.new_owner, now);
    return;
  }
  this->version = pending.version;
  this->committed_change = pending.change;
  if (this->state == State::kTakingOver) {
    this->OnTakenOver(now, wall);
    return;
  }
  for (const std::string& name : pending.deletes)
    this->actions.deletes.push_back(name);
  this->ReleaseReplies();
}

void ShardOwner::IndexIfMany() {
  const std::vector<SegmentInfo>& listed = this->head.segments;
  if (this->seal_write || listed.size() < this->options.index_segments)
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

void ShardOwner::OnSealSettled(Settled settled, TimePoint now) {
  if (settled == Settled::kNo)
    return;
  const PendingWrite pending = std::move(*this->seal_write);
  this->seal_write.reset();
  ++this->head.next_object;
  if (settled == Settled::kSuperseded) {
    for (uint64_t number : pending.entries)
      this->records.at(number).sealing = false;
    return;
  }
  if (pending.is_index)
    this->OnIndexed(pending);
  else
    this->OnSealed(pending);
  ++this->last_change;
  if (!this->first_outcome)
    this->first_outcome = now;
}

void ShardOwner::OnSealed(const PendingWrite& pending) {
  IndexedSegment segment;
  segment.name = pending.segment.name;
  for (uint64_t number : pending.entries) {
    segment.hashes.push_back(HashKey(this->records.at(number).record.key));
    this->EraseEntry(number);
  }
  this->head.segments.push_back(pending.segment);
  this->sealed.emplace(pending.segment.name, MakeGroup({std::move(segment)}));
}

void ShardOwner::OnIndexed(const PendingWrite& pending) {
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

std::vector<std::string> ShardOwner::SegmentsWith(
    uint64_t hash,
    const std::unordered_set<std::string>& searched) const {
  std::vector<std::string> found;
  for (const auto& [name, group] : this->sealed) {
    const auto [first, last] =
        std::equal_range(group.hashes.begin(), group.hashes.end(), hash);
    for (auto it = first; it != last; ++it) {
      const auto at = static_cast<size_t>(it - group.hashes.begin());
      const std::string& segment = group.segments[group.positions[at]];
      if (!searched.contains(segment))
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
  // An entry of a list takes its name, a time and a count.
  constexpr size_t kListedBytes = 64;
  return this->record_bytes + kListedBytes * (this->head.segments.size() +
                                              this->head.indexes.size());
}

void ShardOwner::ReleaseReplies() {
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
