#include "core/streams/origin_table.h"

#include <algorithm>

namespace jujuberock::streams {

using common::TimePoint;

void OriginTable::Bind(AttemptKey attempt,
                       const StreamOrigin& origin,
                       TimePoint expires_at) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end() && found->second.origin == origin) {
    found->second.expires_at = std::max(found->second.expires_at, expires_at);
    return;
  }
  if (found == this->entries.end() && this->entries.size() >= this->capacity)
    this->DropFirstToExpire();
  this->entries.insert_or_assign(
      attempt, Entry{origin, expires_at, ++this->last_sequence});
}

void OriginTable::Shorten(AttemptKey attempt, TimePoint expires_at) {
  const auto found = this->entries.find(attempt);
  if (found != this->entries.end())
    found->second.expires_at = std::min(found->second.expires_at, expires_at);
}

std::optional<StreamOrigin> OriginTable::Find(AttemptKey attempt) const {
  const auto found = this->entries.find(attempt);
  if (found == this->entries.end())
    return std::nullopt;
  return found->second.origin;
}

void OriginTable::Expire(TimePoint now) {
  std::erase_if(this->entries, [&](const auto& entry) {
    return entry.second.expires_at <= now;
  });
}

uint64_t OriginTable::SequenceOf(AttemptKey attempt) const {
  const auto found = this->entries.find(attempt);
  return found == this->entries.end() ? 0 : found->second.sequence;
}

OriginRecord OriginTable::RecordOf(
    const std::set<std::string>& services) const {
  OriginRecord record;
  for (const auto& [attempt, entry] : this->entries) {
    if (services.contains(entry.origin.service))
      record[entry.origin.service][entry.origin.software].push_back(attempt);
  }
  return record;
}

void OriginTable::DropFirstToExpire() {
  const auto first =
      std::min_element(this->entries.begin(), this->entries.end(),
                       [](const auto& a, const auto& b) {
                         return a.second.expires_at < b.second.expires_at;
                       });
  if (first != this->entries.end())
    this->entries.erase(first);
}

}  // namespace jujuberock::streams
