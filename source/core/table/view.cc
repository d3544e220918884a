#include "core/table/view.h"

#include <algorithm>
#include <set>

#include "core/common/error.h"
#include "core/table/parse.h"

namespace jujuberock::table {

namespace {

template <typename T>
void EraseByName(std::vector<std::shared_ptr<const T>>* rows,
                 const std::string& name) {
  std::erase_if(*rows, [&](const auto& row) { return row->name == name; });
}

}  // namespace

View::View(ViewOptions options)
    : options(options),
      rows(options.utc_offset),
      cached_snapshot(std::make_shared<Snapshot>(options.utc_offset)) {}

bool View::IsStale(const Object& object, const Object* held) const {
  if (held)
    return object.version <= held->version;
  return object.version <= this->tombstone_floor;
}

bool View::Apply(const Object& object) {
  if (!KindOf(object.kind) || !IsObjectName(object.name) || object.version == 0)
    return false;
  if (this->IsStale(object, this->Find(object.kind, object.name)))
    return false;
  this->Store(object);
  if (object.deleted)
    this->EraseRow(object);
  else
    this->UpdateRow(object);
  this->DropOldTombstones();
  return true;
}

std::vector<Object> View::ApplyList(Kind kind,
                                    const platform::ObjectList& list,
                                    bool keep_former) {
  std::vector<Object> changed;
  std::set<std::string> listed;
  for (const Object& object : list.objects) {
    listed.insert(object.name);
    if (this->Apply(object))
      changed.push_back(object);
  }
  // An object that the list left out still exists, and it is not known which.
  if (list.malformed > 0)
    return changed;
  std::vector<Object> missing;
  const std::string kind_name(NameOf(kind));
  for (auto it = this->objects.lower_bound({kind_name, ""});
       it != this->objects.end() && it->first.first == kind_name; ++it) {
    const Object& held = it->second;
    const bool is_kept = keep_former && platform::EraOf(held.version) <
                                            platform::EraOf(list.version);
    if (!held.deleted && held.version < list.version && !is_kept &&
        !listed.contains(held.name))
      missing.push_back({kind_name, held.name, list.version, true, "", ""});
  }
  for (const Object& tombstone : missing) {
    if (this->Apply(tombstone))
      changed.push_back(tombstone);
  }
  return changed;
}

void View::Store(const Object& object) {
  const Key key(object.kind, object.name);
  const size_t bucket = BucketOf(object.kind, object.name);
  auto& versions = this->by_version[bucket];
  const auto held = this->objects.find(key);
  if (held != this->objects.end()) {
    const Version old = held->second.version;
    this->current_digest.buckets[bucket].hash ^=
        ObjectHash(object.kind, object.name, old);
    std::erase(versions[old], key);
    if (versions[old].empty())
      versions.erase(old);
    if (held->second.deleted) {
      std::erase(this->tombstone_versions[old], key);
      if (this->tombstone_versions[old].empty())
        this->tombstone_versions.erase(old);
    }
  }
  Object& stored = this->objects[key];
  stored = object;
  // The token only serves to resolve a lost write response; it is not
  // replicated.
  stored.token.clear();
  if (object.deleted) {
    stored.body.clear();
    this->tombstone_versions[object.version].push_back(key);
  }
  versions[object.version].push_back(key);
  BucketDigest& digest = this->current_digest.buckets[bucket];
  digest.hash ^= ObjectHash(object.kind, object.name, object.version);
  digest.max_version = versions.rbegin()->first;
}

void View::DropOldTombstones() {
  size_t count = this->tombstones();
  while (count > this->options.max_tombstones) {
    const auto oldest = this->tombstone_versions.begin();
    this->tombstone_floor = std::max(this->tombstone_floor, oldest->first);
    for (const Key& key : oldest->second) {
      const size_t bucket = BucketOf(key.first, key.second);
      auto& versions = this->by_version[bucket];
      BucketDigest& digest = this->current_digest.buckets[bucket];
      digest.hash ^= ObjectHash(key.first, key.second, oldest->first);
      std::erase(versions[oldest->first], key);
      if (versions[oldest->first].empty())
        versions.erase(oldest->first);
      digest.max_version = versions.empty() ? 0 : versions.rbegin()->first;
      this->objects.erase(key);
    }
    count -= oldest->second.size();
    this->tombstone_versions.erase(oldest);
  }
}

void View::EraseRow(const Object& object) {
  this->cached_snapshot.reset();
  this->problems.erase({object.kind, object.name});
  const std::string& name = object.name;
  switch (*KindOf(object.kind)) {
    case Kind::kTeam:
      std::erase_if(this->rows.team_by_key,
                    [&](const auto& item) { return item.second == name; });
      this->rows.team_rows.erase(name);
      return;
    case Kind::kService:
      this->rows.service_rows.erase(name);
      return;
    case Kind::kEndpoint: {
      const auto held = this->rows.endpoint_rows.find(name);
      if (held == this->rows.endpoint_rows.end())
        return;
      EraseByName(&this->rows.endpoints_by_service[held->second->service],
                  name);
      this->rows.endpoint_rows.erase(held);
      return;
    }
    case Kind::kHost:
      this->rows.host_rows.erase(name);
      return;
    case Kind::kStore:
      this->rows.store_rows.erase(name);
      return;
  }
}

void View::UpdateRow(const Object& object) {
  try {
    switch (*KindOf(object.kind)) {
      case Kind::kTeam: {
        auto team = std::make_shared<const Team>(ParseTeam(object));
        this->EraseRow(object);
        for (const std::string& digest : team->key_digests)
          this->rows.team_by_key[digest] = team->name;
        this->rows.team_rows[team->name] = team;
        return;
      }
      case Kind::kService: {
        auto service = std::make_shared<const Service>(ParseService(object));
        this->EraseRow(object);
        this->rows.service_rows[service->name] = service;
        return;
      }
      case Kind::kEndpoint: {
        auto endpoint = std::make_shared<const Endpoint>(ParseEndpoint(object));
        this->EraseRow(object);
        auto& service_endpoints =
            this->rows.endpoints_by_service[endpoint->service];
        service_endpoints.insert(
            std::upper_bound(
                service_endpoints.begin(), service_endpoints.end(), endpoint,
                [](const auto& a, const auto& b) { return a->name < b->name; }),
            endpoint);
        this->rows.endpoint_rows[endpoint->name] = endpoint;
        return;
      }
      case Kind::kHost: {
        auto host = std::make_shared<const HostEntry>(ParseHost(object));
        this->EraseRow(object);
        this->rows.host_rows[host->name] = host;
        return;
      }
      case Kind::kStore: {
        auto store = std::make_shared<const StoreEntry>(ParseStore(object));
        this->EraseRow(object);
        this->rows.store_rows[store->name] = store;
        return;
      }
    }
  } catch (const common::Error& error) {
    this->problems[{object.kind, object.name}] = {object.kind, object.name,
                                                  object.version, error.what()};
  }
}

Delta View::DeltaSince(const Digest& other) const {
  Delta delta;
  size_t bytes = 0;
  for (size_t bucket = 0; bucket < kBucketCount; ++bucket) {
    const BucketDigest& mine = this->current_digest.buckets[bucket];
    const BucketDigest& theirs = other.buckets[bucket];
    if (mine == theirs)
      continue;
    // The other view is ahead in this bucket; this view must request its
    // objects first.
    if (theirs.max_version > mine.max_version)
      continue;
    // If the highest versions are equal, an older object differs. The hash does
    // not tell which one, so the whole bucket is sent.
    const bool is_ahead = mine.max_version > theirs.max_version;
    const Version after = is_ahead ? theirs.max_version : 0;
    const auto& versions = this->by_version[bucket];
    for (auto it = versions.upper_bound(after); it != versions.end(); ++it) {
      // A whole bucket must not be truncated, or every delta would start over.
      if (is_ahead && bytes > this->options.max_delta_bytes) {
        delta.more = true;
        return delta;
      }
      for (const Key& key : it->second) {
        const Object& object = this->objects.at(key);
        bytes += object.body.size() + object.name.size();
        delta.objects.push_back(object);
      }
    }
  }
  return delta;
}

std::vector<Object> View::ObjectsNewerThan(Version after,
                                           size_t limit_bytes) const {
  std::vector<Object> newest;
  size_t bytes = 0;
  for (const auto& versions : this->by_version) {
    for (auto it = versions.upper_bound(after); it != versions.end(); ++it) {
      for (const Key& key : it->second) {
        const Object& object = this->objects.at(key);
        bytes += object.body.size();
        if (bytes > limit_bytes)
          return {};
        newest.push_back(object);
      }
    }
  }
  return newest;
}

const Object* View::Find(std::string_view kind, std::string_view name) const {
  const auto found =
      this->objects.find(Key(std::string(kind), std::string(name)));
  return found == this->objects.end() ? nullptr : &found->second;
}

std::optional<EffectiveLimits> View::LimitsFor(std::string_view team,
                                               std::string_view service,
                                               common::UnixTime when) const {
  return this->rows.LimitsFor(team, service, when);
}

const Service* View::FindService(std::string_view name) const {
  return this->rows.FindService(name);
}

SnapshotPtr View::snapshot() {
  if (!this->cached_snapshot)
    this->cached_snapshot = std::make_shared<const Snapshot>(this->rows);
  return this->cached_snapshot;
}

std::vector<InvalidObject> View::InvalidObjects() const {
  std::vector<InvalidObject> all;
  for (const auto& [key, problem] : this->problems)
    all.push_back(problem);
  return all;
}

}  // namespace jujuberock::table
