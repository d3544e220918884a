#include "core/catalog/endpoint_directory.h"

#include <set>
#include <utility>

namespace jujuberock::catalog {

void EndpointDirectory::OnStoreFailure(common::TimePoint now) {
  if (!this->failing_since)
    this->failing_since = now;
}

void EndpointDirectory::OnStoreAnswer(common::TimePoint now) {
  if (!this->failing_since)
    return;
  if (now - *this->failing_since >= kShortestOutage)
    this->returned_at = now;
  this->failing_since.reset();
}

bool EndpointDirectory::RemovalsAreTentative(common::TimePoint now) const {
  return this->returned_at && now < *this->returned_at + kReturnTime;
}

void EndpointDirectory::ReplaceAll(std::vector<Endpoint> endpoints,
                                   common::TimePoint now) {
  std::set<std::string> present;
  for (Endpoint& endpoint : endpoints) {
    present.insert(endpoint.id);
    this->Upsert(std::move(endpoint));
  }
  std::vector<std::string> missing;
  for (const auto& [id, endpoint] : this->entries) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const std::string& id : missing)
    this->Remove(id, now);
}

void EndpointDirectory::Upsert(Endpoint endpoint) {
  ++this->changes;
  const auto leaving = this->leave_at.find(endpoint.id);
  if (leaving != this->leave_at.end())
    this->leave_at.erase(leaving);
  std::string id = endpoint.id;
  this->entries.insert_or_assign(std::move(id), std::move(endpoint));
}

void EndpointDirectory::Remove(std::string_view id, common::TimePoint now) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end())
    return;
  // A leaving endpoint takes nothing new, so there is nothing to keep.
  if (this->RemovalsAreTentative(now) && !found->second.leaving) {
    this->leave_at.emplace(std::string(id), *this->returned_at + kReturnTime);
    return;
  }
  ++this->changes;
  this->entries.erase(found);
}

void EndpointDirectory::Expire(common::TimePoint now) {
  for (auto it = this->leave_at.begin(); it != this->leave_at.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    ++this->changes;
    this->entries.erase(it->first);
    it = this->leave_at.erase(it);
  }
}

}  // namespace jujuberock::catalog
