#include "core/gateway/view_keeper.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/error.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectChange;
using catalog::ObjectKind;
using common::Duration;
using events::Event;
using events::Field;
using events::Line;

constexpr Duration kNoGathering{0};
constexpr Duration kGatherEndpoints = std::chrono::milliseconds(250);
constexpr Duration kGatherHosts = std::chrono::milliseconds(150);
constexpr Duration kFirstBackoff = std::chrono::milliseconds(100);
constexpr Duration kLongestBackoff = std::chrono::milliseconds(800);
// An answer to a watch that comes this much before its wait has passed may
// have been made at any time after it was asked.
constexpr Duration kWatchTolerance = std::chrono::milliseconds(5);

Duration BackoffAfter(int failures) {
  const auto doubled = kFirstBackoff * (1 << std::min(failures - 1, 4));
  return std::min<Duration>(doubled, kLongestBackoff);
}

}  // namespace

ViewKeeper::ViewKeeper(const Settings& settings,
                       catalog::ObjectStore& store,
                       const ObjectDecoder& decoder,
                       events::EventLog& log)
    : settings(settings),
      store(store),
      decoder(decoder),
      log(log),
      view_age(catalog::ViewAgeOptions{
          settings.revocation_bound,
          catalog::ViewAgeOptions().confirmation_lag}) {}

void ViewKeeper::Start() {
  const std::vector<Follower> followers = {
      {ObjectKind::kConfig, "store:config", this->settings.config_watch_wait,
       kNoGathering, &ViewKeeper::ApplyConfig},
      {ObjectKind::kEndpoints, "store:endpoints",
       this->settings.endpoints_watch_wait, kGatherEndpoints,
       &ViewKeeper::ApplyEndpoint},
      {ObjectKind::kVersions, "store:versions", this->settings.other_watch_wait,
       kNoGathering, &ViewKeeper::ApplyVersion},
      {ObjectKind::kHosts, "store:hosts", this->settings.other_watch_wait,
       kGatherHosts, &ViewKeeper::ApplyHost},
  };
  for (const Follower& follower : followers)
    runtime::SpawnHere([this, follower] { this->Follow(follower); });
}

void ViewKeeper::Follow(Follower follower) {
  while (!this->stopping) {
    try {
      this->Step(follower);
    } catch (const common::Error& error) {
      this->OnFailure(follower, error.what());
      runtime::SleepFor(BackoffAfter(follower.failures));
    }
  }
}

void ViewKeeper::Step(Follower& follower) {
  if (follower.revision)
    this->Watch(follower);
  else
    this->List(follower);
}

void ViewKeeper::List(Follower& follower) {
  const common::TimePoint asked = runtime::BootNow();
  const catalog::ObjectSnapshot snapshot = this->store.List(follower.kind);
  follower.revision = snapshot.revision;
  this->OnAnswer(follower, asked);
  if (follower.kind == ObjectKind::kEndpoints) {
    this->ReplaceEndpoints(snapshot);
    return;
  }
  for (const catalog::StoredObject& object : snapshot.objects)
    (this->*follower.apply)({object, false});
}

void ViewKeeper::Watch(Follower& follower) {
  const common::TimePoint asked = runtime::BootNow();
  const catalog::ObjectChanges changes =
      this->store.Watch(follower.kind, *follower.revision, follower.wait);
  if (changes.history_gone) {
    follower.revision.reset();
    return;
  }
  // An empty answer was made when the wait had passed, not before.
  const common::TimePoint answered = runtime::BootNow();
  const bool waited = changes.changes.empty() &&
                      answered - asked >= follower.wait - kWatchTolerance;
  follower.revision = changes.revision;
  this->OnAnswer(follower,
                 waited ? std::min(answered, asked + follower.wait) : asked);
  for (const ObjectChange& change : changes.changes)
    (this->*follower.apply)(change);
  if (!changes.changes.empty() && follower.gather > kNoGathering)
    runtime::SleepFor(follower.gather);
}

void ViewKeeper::OnAnswer(Follower& follower,
                          common::TimePoint earliest_answer) {
  if (follower.failures > 0)
    Line(this->log, Event::kDependencyRegained)
        .Add(Field::kDependency, follower.name)
        .Add(Field::kCount, follower.failures);
  follower.failures = 0;
  if (follower.kind == ObjectKind::kConfig)
    this->view_age.OnConfirmed(earliest_answer);
  if (follower.kind == ObjectKind::kEndpoints)
    this->directory.OnStoreAnswer(runtime::BootNow());
}

void ViewKeeper::OnFailure(Follower& follower, const std::string& detail) {
  if (++follower.failures == 1)
    Line(this->log, Event::kDependencyLost)
        .Add(Field::kDependency, follower.name)
        .Add(Field::kDetail, detail);
  if (follower.kind == ObjectKind::kEndpoints)
    this->directory.OnStoreFailure(runtime::BootNow());
}

void ViewKeeper::ApplyConfig(const ObjectChange& change) {
  if (change.deleted)
    return;
  try {
    catalog::Config config = this->decoder.Config(change.object);
    // An older version may be read late; it never comes back into force.
    if (this->view && config.version <= this->view->version())
      return;
    this->view = std::make_shared<const catalog::ConfigView>(std::move(config));
    Line(this->log, Event::kConfigInForce)
        .Add(Field::kConfigVersion, this->view->version());
    this->NotifyChanged();
  } catch (const common::Error& error) {
    Line(this->log, Event::kConfigRejected).Add(Field::kDetail, error.what());
  }
}

void ViewKeeper::ApplyEndpoint(const ObjectChange& change) {
  const common::TimePoint now = runtime::BootNow();
  const auto endpoint =
      change.deleted ? std::nullopt : this->decoder.Endpoint(change.object);
  if (endpoint) {
    const auto known = this->directory.endpoints().find(endpoint->id);
    const bool is_new = known == this->directory.endpoints().end() ||
                        known->second.born != endpoint->born;
    const bool leaves = endpoint->leaving && !is_new && !known->second.leaving;
    if (is_new)
      Line(this->log, Event::kEndpointAdded)
          .Add(Field::kEndpoint, endpoint->id)
          .Add(Field::kService, endpoint->service);
    if (leaves)
      Line(this->log, Event::kEndpointLeft)
          .Add(Field::kEndpoint, endpoint->id)
          .Add(Field::kReason, "leaving");
    this->directory.Upsert(*endpoint);
  } else {
    Line(this->log, Event::kEndpointLeft)
        .Add(Field::kEndpoint, change.object.name)
        .Add(Field::kReason, change.deleted ? "removed" : "unreadable");
    this->directory.Remove(change.object.name, now);
  }
  this->NotifyChanged();
}

void ViewKeeper::ReplaceEndpoints(const catalog::ObjectSnapshot& snapshot) {
  std::vector<catalog::Endpoint> endpoints;
  for (const catalog::StoredObject& object : snapshot.objects) {
    if (auto endpoint = this->decoder.Endpoint(object))
      endpoints.push_back(std::move(*endpoint));
  }
  this->directory.ReplaceAll(std::move(endpoints), runtime::BootNow());
  this->endpoints_known = true;
  this->NotifyChanged();
}

void ViewKeeper::ApplyVersion(const ObjectChange& change) {
  if (change.deleted)
    return;
  try {
    const catalog::ModelVersion named = this->decoder.Version(change.object);
    const bool is_newer = this->named_versions[named.model].OnNamed(
        named.version, this->settings.version_bound, runtime::BootNow());
    if (!is_newer)
      return;
    Line(this->log, Event::kVersionNamed)
        .Add(Field::kModel, named.model)
        .Add(Field::kVersion, named.version);
    this->NotifyChanged();
  } catch (const common::Error& error) {
    Line(this->log, Event::kConfigRejected).Add(Field::kDetail, error.what());
  }
}

void ViewKeeper::ApplyHost(const ObjectChange& change) {
  if (this->host_changed)
    this->host_changed(change);
}

uint64_t ViewKeeper::NewestVersion(std::string_view model) const {
  const auto found = this->named_versions.find(model);
  return found == this->named_versions.end() ? 0 : found->second.newest();
}

uint64_t ViewKeeper::RequiredVersion(std::string_view model,
                                     common::TimePoint now) const {
  const auto found = this->named_versions.find(model);
  return found == this->named_versions.end() ? 0
                                             : found->second.RequiredAt(now);
}

void ViewKeeper::Expire(common::TimePoint now) {
  const uint64_t before = this->directory.generation();
  this->directory.Expire(now);
  if (this->directory.generation() != before)
    this->NotifyChanged();
}

void ViewKeeper::NotifyChanged() {
  if (this->changed)
    this->changed();
}

}  // namespace jujuberock::gateway
