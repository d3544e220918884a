#include "core/catalog/endpoint_directory.h"

#include <utility>
#include <vector>

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
    const auto held_back = this->held.find(endpoint.id);
    const bool is_held =
        held_back != this->held.end() &&
        held_back->second.endpoint.started_at_ms == endpoint.started_at_ms;
    if (!is_held)
      this->Upsert(std::move(endpoint));
  }
  this->RemoveMissing(present, now);
}

void EndpointDirectory::ReplaceWithCopy(std::vector<Endpoint> endpoints,
                                        common::TimePoint now) {
  // Endpoints that registered after the copy was made register again.
  this->recovered_at = now;
  this->failing_since.reset();
  for (Endpoint& endpoint : endpoints) {
    if (!this->IsOutdated(endpoint))
      continue;
    const common::TimePoint due = now + kHeldIntervals * this->heartbeat;
    std::string id = endpoint.id;
    this->held.insert_or_assign(std::move(id), HeldEndpoint{endpoint, due});
  }
  this->ReplaceAll(std::move(endpoints), now);
}

bool EndpointDirectory::IsOutdated(const Endpoint& endpoint) const {
  const auto known = this->entries.find(endpoint.id);
  if (known != this->entries.end())
    return endpoint.started_at_ms < known->second.started_at_ms;
  const auto departure = this->departures.find(endpoint.id);
  return departure != this->departures.end() &&
         endpoint.started_at_ms <= departure->second.started_at_ms;
}

void EndpointDirectory::RemoveMissing(const std::set<std::string>& present,
                                      common::TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [id, endpoint] : this->entries) {
    if (!present.contains(id))
      missing.push_back(id);
  }
  for (const std::string& id : missing)
    this->Remove(id, now);
  std::erase_if(this->held, [&](const auto& entry) {
    return !present.contains(entry.first);
  });
}

void EndpointDirectory::Upsert(Endpoint endpoint) {
  ++this->change_count;
  this->removal_due.erase(endpoint.id);
  this->held.erase(endpoint.id);
  const auto departure = this->departures.find(endpoint.id);
  if (departure != this->departures.end() &&
      departure->second.started_at_ms == endpoint.started_at_ms)
    endpoint.leaving |= departure->second.is_leaving;
  if (endpoint.leaving)
    this->RecordDeparture(endpoint.id, {endpoint.started_at_ms, true});
  std::string id = endpoint.id;
  this->entries.insert_or_assign(std::move(id), std::move(endpoint));
}

void EndpointDirectory::MarkLeaving(std::string_view id,
                                    uint64_t started_at_ms) {
  // Its registration may have expired, and come back later.
  this->RecordDeparture(id, {started_at_ms, true});
  const auto found = this->entries.find(id);
  const bool is_known = found != this->entries.end() &&
                        found->second.started_at_ms == started_at_ms;
  if (!is_known || found->second.leaving)
    return;
  ++this->change_count;
  found->second.leaving = true;
}

void EndpointDirectory::RecordDeparture(std::string_view id,
                                        const Departure& departure) {
  const auto [entry, is_new] =
      this->departures.try_emplace(std::string(id), departure);
  Departure& known = entry->second;
  if (known.started_at_ms == departure.started_at_ms)
    known.is_leaving |= departure.is_leaving;
  else if (known.started_at_ms < departure.started_at_ms)
    known = departure;
  if (!is_new)
    return;
  this->departure_order.emplace_back(id);
  if (this->departure_order.size() <= kMaxDepartures)
    return;
  this->departures.erase(this->departure_order.front());
  this->departure_order.pop_front();
}

void EndpointDirectory::Remove(std::string_view id, common::TimePoint now) {
  const auto held_back = this->held.find(id);
  if (held_back != this->held.end())
    this->held.erase(held_back);
  const auto found = this->entries.find(id);
  if (found == this->entries.end())
    return;
  // A leaving endpoint accepts no new requests, so it is removed at once.
  if (this->AreRemovalsDeferred(now) && !found->second.leaving) {
    this->removal_due.emplace(std::string(id),
                              *this->recovered_at + kReregistrationWindow);
    return;
  }
  this->Erase(id);
}

void EndpointDirectory::Erase(std::string_view id) {
  const auto found = this->entries.find(id);
  if (found == this->entries.end())
    return;
  ++this->change_count;
  const Endpoint& endpoint = found->second;
  this->RecordDeparture(id, {endpoint.started_at_ms, endpoint.leaving});
  this->entries.erase(found);
}

void EndpointDirectory::Expire(common::TimePoint now) {
  for (auto it = this->removal_due.begin(); it != this->removal_due.end();) {
    if (now < it->second) {
      ++it;
      continue;
    }
    this->Erase(it->first);
    it = this->removal_due.erase(it);
  }
  std::vector<Endpoint> admitted;
  for (const auto& [id, held_back] : this->held) {
    if (now >= held_back.due)
      admitted.push_back(held_back.endpoint);
  }
  for (Endpoint& endpoint : admitted)
    this->Upsert(std::move(endpoint));
}

}  // namespace jujuberock::catalog
