#include "core/catalog/evacuations.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::catalog {

using common::TimePoint;

std::optional<Evacuations::Change> Evacuations::OnStored(
    std::string_view zone,
    const EvacuationRecord& record,
    TimePoint now) {
  return this->Merge(common::Hash64(zone), zone, record,
                     EvacuationSource::kStore, now);
}

std::vector<Evacuations::Change> Evacuations::OnListed(
    const std::vector<std::string>& zones,
    uint64_t era,
    uint64_t revision,
    TimePoint now) {
  std::vector<Change> changes;
  for (const auto& [known, entry] : this->entries) {
    // Structured bindings can't be captured.
    const uint64_t hash = known;
    const bool is_listed = std::any_of(
        zones.begin(), zones.end(),
        [&](const std::string& zone) { return common::Hash64(zone) == hash; });
    if (is_listed || entry.record.is_ended)
      continue;
    auto change = this->Merge(hash, entry.zone, {era, revision, true},
                              EvacuationSource::kStore, now);
    if (change)
      changes.push_back(std::move(*change));
  }
  return changes;
}

std::optional<Evacuations::Change> Evacuations::OnPeer(
    const PeerEvacuation& told,
    TimePoint now) {
  return this->Merge(told.zone, {}, told.record, EvacuationSource::kPeer, now);
}

std::optional<Evacuations::Change> Evacuations::Merge(
    uint64_t hash,
    std::string_view zone,
    const EvacuationRecord& record,
    EvacuationSource source,
    TimePoint now) {
  const auto known = this->entries.find(hash);
  if (known == this->entries.end()) {
    // The end of an evacuation that was never known changes nothing.
    if (record.is_ended || !this->MakeRoom(source))
      return std::nullopt;
    this->entries.emplace(
        hash, Entry{std::string(zone), record, now, now + kRepeatTime});
    return Change{hash, std::string(zone), record, source};
  }
  Entry& entry = known->second;
  if (entry.zone.empty())
    entry.zone = zone;
  if (record < entry.record && source == EvacuationSource::kPeer)
    entry.repeat_until = now + kRepeatTime;
  if (record <= entry.record)
    return std::nullopt;
  const bool was_ended = entry.record.is_ended;
  entry.record = record;
  entry.repeat_until = now + kRepeatTime;
  if (was_ended == record.is_ended)
    return std::nullopt;
  entry.changed_at = now;
  return Change{hash, entry.zone, record, source};
}

bool Evacuations::MakeRoom(EvacuationSource source) {
  if (this->entries.size() < kMaxZones)
    return true;
  // The end that was learned first is the least likely to be asked about.
  auto oldest = this->entries.end();
  for (auto it = this->entries.begin(); it != this->entries.end(); ++it) {
    const bool is_only_told = it->second.zone.empty();
    if (!it->second.record.is_ended &&
        !(source == EvacuationSource::kStore && is_only_told))
      continue;
    if (oldest == this->entries.end() ||
        it->second.changed_at < oldest->second.changed_at)
      oldest = it;
  }
  if (oldest == this->entries.end())
    return false;
  this->entries.erase(oldest);
  return true;
}

bool Evacuations::IsEvacuated(std::string_view zone) const {
  if (this->entries.empty())
    return false;
  const auto found = this->entries.find(common::Hash64(zone));
  return found != this->entries.end() && !found->second.record.is_ended;
}

std::vector<PeerEvacuation> Evacuations::ForPeers(TimePoint now) const {
  std::vector<PeerEvacuation> told;
  for (const auto& [hash, entry] : this->entries) {
    if (!entry.record.is_ended || now < entry.repeat_until)
      told.push_back({hash, entry.record});
  }
  return told;
}

}  // namespace jujuberock::catalog
