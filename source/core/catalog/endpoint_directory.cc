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
  if (now - *this->failing_since >= kMinOutage)
    this->recovered_at = now;
  this->failing_since.reset();
}

bool EndpointDirectory::AreRemovalsDeferred(common::TimePoint now) const {
  return this->recovered_at &&
         now < *this->recovered_at + kReregistrationWindow;
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
  ++this->change_count;
  const auto pending_removal = this->removal_due.find(endpoint.id);
  if (pending_removal != this->removal_due.end())
    this->removal_due.erase(pending_removal);
  std::string id = endpoint.id;
  this->entries.insert_or_assign(std::move(id), std::move(endpoint));
}

void EndpointDirectory::Remove(std::string_view id, common::TimePoint now) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end())
    return;
  // A leaving endpoint accepts no new requests, so it is removed at once.
  if (this->AreRemovalsDeferred(now) && !found->second.leaving) {
    this->removal_due.emplace(std::string(id),
                              *this->recovered_at + kReregistrationWindow);
    return;
  }
  ++this->change_count;
  this->entries.erase(found);
}

void EndpointDirectory::Expire(common::TimePoint now) {
  for (auto it = this->removal_due.begin(); it != this->removal_due.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    ++this->change_count;
    this->entries.erase(it->first);
    it = this->removal_due.erase(it);
  }
}

}  // namespace jujuberock::catalog
