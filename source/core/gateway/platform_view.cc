#include "core/gateway/platform_view.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectChange;
using catalog::ObjectKind;
using catalog::ObjectSource;
using common::Duration;
using events::Event;
using events::Field;
using events::LogLine;

constexpr Duration kNoBatchDelay{0};
constexpr Duration kEndpointsBatchDelay = std::chrono::milliseconds(250);
constexpr Duration kHostsBatchDelay = std::chrono::milliseconds(150);
constexpr Duration kMinBackoff = std::chrono::milliseconds(100);
constexpr Duration kMaxBackoff = std::chrono::milliseconds(800);

Duration BackoffFor(int failures) {
  const auto doubled = kMinBackoff * (1 << std::min(failures - 1, 4));
  return std::min<Duration>(doubled, kMaxBackoff);
}

}  // namespace

PlatformView::PlatformView(const Settings& settings,
                           catalog::ObjectStore& store,
                           const ObjectDecoder& decoder,
                           events::EventLog& log)
    : settings(settings),
      store(store),
      decoder(decoder),
      log(log),
      view_age(
          catalog::ViewAgeOptions{settings.revocation_bound,
                                  catalog::ViewAgeOptions().confirmation_lag}),
      config_floor(
          {settings.revocation_bound,
           catalog::ViewAgeOptions{settings.revocation_bound}.MaxKeyAge()}),
      directory(settings.endpoint_heartbeat),
      stall_detector(kHostStallThreshold) {}

void PlatformView::Start() {
  std::vector<KindWatch> kinds = {
      {ObjectKind::kConfig, "store:config", this->settings.config_watch_wait,
       kNoBatchDelay, &PlatformView::ApplyConfig},
      {ObjectKind::kEndpoints, "store:endpoints",
       this->settings.endpoints_watch_wait, kEndpointsBatchDelay,
       &PlatformView::ApplyEndpoint},
      {ObjectKind::kVersions, "store:versions", this->settings.other_watch_wait,
       kNoBatchDelay, &PlatformView::ApplyVersion},
      {ObjectKind::kHosts, "store:hosts", this->settings.other_watch_wait,
       kHostsBatchDelay, &PlatformView::ApplyHost},
  };
  if (this->settings.evacuation_bound > Duration(0))
    kinds.push_back({ObjectKind::kEvacuations, "store:evacuations",
                     this->settings.evacuations_watch_wait, kNoBatchDelay,
                     &PlatformView::ApplyEvacuation});
  for (const KindWatch& kind : kinds) {
    auto watch = std::make_shared<KindWatch>(kind);
    this->watches.push_back(watch);
    runtime::SpawnLocal([this, watch] { this->WatchKind(watch); });
  }
}

void PlatformView::WatchKind(KindWatchPtr watch) {
  while (!this->stopping) {
    try {
      this->ReadNext(*watch);
    } catch (const common::Error& error) {
      this->OnFailure(*watch, error.what());
      runtime::SleepFor(BackoffFor(watch->failures));
    }
  }
}

void PlatformView::ListBesideWatch(KindWatchPtr watch) {
  try {
    this->List(*watch);
  } catch (const common::Error&) {
    // The watch lists the kind before it goes on.
  }
}

void PlatformView::ReadNext(KindWatch& watch) {
  if (watch.revision && watch.era == this->store.era())
    this->Watch(watch);
  else
    this->List(watch);
}

void PlatformView::List(KindWatch& watch) {
  const common::TimePoint sent_at = runtime::BootNow();
  const catalog::ObjectSnapshot snapshot = this->store.List(watch.kind);
  const uint64_t former_era = std::exchange(watch.era, this->store.era());
  this->CheckEra();
  // Changes since the last answer are not listed one by one.
  const ChangeTime changed_after = watch.answered_at;
  watch.revision = snapshot.revision;
  this->OnAnswer(watch, snapshot.answer_age, sent_at);
  if (watch.kind == ObjectKind::kEndpoints) {
    for (const catalog::StoredObject& object : snapshot.objects)
      this->ReportUnreadable(watch, object);
    this->ReplaceEndpoints(snapshot,
                           former_era != 0 && former_era != watch.era);
    this->OnApplied(watch);
    return;
  }
  for (const catalog::StoredObject& object : snapshot.objects)
    this->Apply(watch, {object, false}, changed_after);
  if (watch.kind == ObjectKind::kEvacuations)
    this->ReplaceEvacuations(snapshot);
  this->ConfirmConfig(watch);
  if (watch.kind == ObjectKind::kHosts) {
    this->hosts_known = true;
    this->config_floor.OnPeersRead();
  }
  this->NoteConfigKnowledge();
}

void PlatformView::Watch(KindWatch& watch) {
  const common::TimePoint sent_at = runtime::BootNow();
  const uint64_t since = *watch.revision;
  const catalog::ObjectChanges changes =
      this->store.Watch(watch.kind, since, watch.wait);
  this->CheckEra();
  const bool is_superseded =
      watch.era != this->store.era() || watch.revision != since;
  if (is_superseded)
    return;
  if (changes.history_gone) {
    watch.revision.reset();
    return;
  }
  watch.revision = changes.revision;
  const ChangeTime changed_after = this->ChangedAfter(watch, changes, sent_at);
  this->OnAnswer(watch, changes.answer_age, sent_at);
  for (const ObjectChange& change : changes.changes)
    this->Apply(watch, change, changed_after);
  this->OnApplied(watch);
  this->ConfirmConfig(watch);
  this->NoteConfigKnowledge();
  // A relay has collected several changes already.
  const bool is_collected = changes.answer_age.source == ObjectSource::kRelay;
  if (!changes.changes.empty() && !is_collected &&
      watch.batch_delay > kNoBatchDelay)
    runtime::SleepFor(watch.batch_delay);
}

PlatformView::ChangeTime PlatformView::ChangedAfter(
    const KindWatch& watch,
    const catalog::ObjectChanges& changes,
    common::TimePoint sent_at) const {
  const bool is_relayed = changes.answer_age.source == ObjectSource::kRelay;
  if (changes.change_age)
    return std::max(watch.answered_at,
                    ChangeTime(sent_at - *changes.change_age));
  // An uninterrupted watch reports a change at once, unless this process could
  // not read it; a resumed one reports all changes since the last answer.
  return watch.failures > 0 || is_relayed
             ? watch.answered_at
             : this->stall_detector.EarliestArrival(runtime::BootNow());
}

void PlatformView::CheckEra() {
  const uint64_t era = this->store.era();
  if (era == this->known_era)
    return;
  const bool is_restored = this->known_era != 0;
  this->known_era = era;
  this->config_floor.OnEra(era, runtime::BootNow());
  if (!is_restored)
    return;
  this->NoteConfigKnowledge();
  this->endpoints_read.reset();
  LogLine line(this->log, Event::kStoreRestored);
  line.Add(Field::kStoreEra, era);
  if (this->current_config)
    line.Add(Field::kConfigVersion, this->current_config->version());
  for (const KindWatchPtr& watch : this->watches) {
    if (watch->era != era)
      runtime::SpawnLocal([this, watch] { this->ListBesideWatch(watch); });
  }
}

void PlatformView::OnAnswer(KindWatch& watch,
                            const catalog::AnswerAge& answer_age,
                            common::TimePoint sent_at) {
  const common::TimePoint earliest_answer =
      answer_age.EarliestAt(sent_at, runtime::BootNow());
  // A relay that repeats what the store said before does not show that the
  // store answers.
  const bool is_repeated = answer_age.source == ObjectSource::kRelay &&
                           watch.answered_at &&
                           earliest_answer <= *watch.answered_at;
  if (is_repeated)
    return;
  if (watch.failures > 0)
    LogLine(this->log, Event::kDependencyRegained)
        .Add(Field::kDependency, watch.name)
        .Add(Field::kCount, watch.failures);
  watch.failures = 0;
  watch.answered_at = earliest_answer;
  if (watch.kind != ObjectKind::kEndpoints)
    return;
  this->directory.OnStoreAnswer(runtime::BootNow());
  if (!this->endpoints_read)
    this->endpoints_read = EndpointsAge{earliest_answer, runtime::BootNow()};
  this->endpoints_read->read_at = earliest_answer;
}

void PlatformView::OnApplied(const KindWatch& watch) {
  if (watch.kind == ObjectKind::kEndpoints && watch.revision)
    this->endpoints_applied = {watch.era, *watch.revision};
}

void PlatformView::ConfirmConfig(const KindWatch& watch) {
  if (watch.kind != ObjectKind::kConfig || this->is_config_unreadable ||
      !watch.answered_at)
    return;
  const common::TimePoint now = runtime::BootNow();
  this->config_floor.OnAnswer(*watch.answered_at, now);
  if (this->config_floor.IsMet(now))
    this->view_age.OnConfirmed(*watch.answered_at);
}

void PlatformView::NoteConfigKnowledge() {
  const catalog::EraKnowledge knowledge = this->config_floor.knowledge();
  if (knowledge == this->noted_knowledge && this->known_era == this->noted_era)
    return;
  this->noted_knowledge = knowledge;
  this->noted_era = this->known_era;
  LogLine line(this->log, Event::kConfigKnowledge);
  line.Add(Field::kStoreEra, this->known_era)
      .Add(Field::kReason, catalog::kEraKnowledgeNames.NameOf(knowledge));
  if (this->current_config)
    line.Add(Field::kConfigVersion, this->current_config->version());
  if (const auto age = this->view_age.AgeAt(runtime::BootNow()))
    line.Add(Field::kViewAgeMs, *age);
  // The configuration may have been read while this host still waited.
  for (const KindWatchPtr& watch : this->watches)
    this->ConfirmConfig(*watch);
}

void PlatformView::OnPeerConfig(const catalog::PeerConfig& peer) {
  this->config_floor.OnPeer(peer);
  this->NoteConfigKnowledge();
}

void PlatformView::OnFailure(KindWatch& watch, const std::string& detail) {
  if (++watch.failures == 1)
    LogLine(this->log, Event::kDependencyLost)
        .Add(Field::kDependency, watch.name)
        .Add(Field::kDetail, detail);
  if (watch.kind != ObjectKind::kEndpoints)
    return;
  this->directory.OnStoreFailure(runtime::BootNow());
  this->endpoints_read.reset();
}

void PlatformView::Apply(const KindWatch& watch,
                         const ObjectChange& change,
                         const ChangeTime& changed_after) {
  if (!change.deleted)
    this->ReportUnreadable(watch, change.object);
  if (!change.object.name.empty())
    (this->*watch.apply)(change, changed_after);
}

void PlatformView::ReportUnreadable(const KindWatch& watch,
                                    const catalog::StoredObject& object) {
  const bool is_readable = object.fault == catalog::ObjectFault::kNone;
  if (is_readable || !this->reported_entries.Add(watch.kind, object))
    return;
  LogLine(this->log, Event::kEntryUnreadable)
      .Add(Field::kDependency, watch.name)
      .Add(Field::kDetail, object.name)
      .Add(Field::kReason, catalog::kObjectFaultNames.NameOf(object.fault))
      .Add(Field::kStoreEra, this->known_era)
      .Add(Field::kRevision, object.revision);
}

void PlatformView::ApplyConfig(const ObjectChange& change, const ChangeTime&) {
  if (change.object.name == this->config_name)
    this->is_config_unreadable =
        !change.deleted && change.object.fault != catalog::ObjectFault::kNone;
  if (change.deleted)
    return;
  try {
    catalog::Config config = this->decoder.Config(change.object);
    this->config_floor.OnStored(config.version, change.object.revision);
    // An older version can be read late and must not replace a newer one.
    if (this->current_config &&
        config.version <= this->current_config->version())
      return;
    this->current_config =
        std::make_shared<const catalog::ConfigView>(std::move(config));
    this->config_floor.OnInForce(this->current_config->version());
    this->config_name = change.object.name;
    this->is_config_unreadable = false;
    LogLine(this->log, Event::kConfigInForce)
        .Add(Field::kConfigVersion, this->current_config->version())
        .Add(Field::kStoreEra, this->known_era)
        .Add(Field::kRevision, change.object.revision);
    this->NotifyChanged();
  } catch (const common::Error& error) {
    LogLine(this->log, Event::kConfigRejected)
        .Add(Field::kDetail, error.what());
  }
}

void PlatformView::ApplyEndpoint(const ObjectChange& change,
                                 const ChangeTime&) {
  const common::TimePoint now = runtime::BootNow();
  auto endpoint =
      change.deleted ? std::nullopt : this->decoder.Endpoint(change.object);
  if (endpoint) {
    endpoint->read_at = now;
    const auto known = this->directory.endpoints().find(endpoint->id);
    const bool is_new = known == this->directory.endpoints().end() ||
                        known->second.started_at_ms != endpoint->started_at_ms;
    const bool leaves = endpoint->leaving && !is_new && !known->second.leaving;
    if (is_new)
      LogLine(this->log, Event::kEndpointAdded)
          .Add(Field::kEndpoint, endpoint->id)
          .Add(Field::kService, endpoint->service)
          .Add(Field::kSoftware, endpoint->software)
          .Add(Field::kStartedAtMs, endpoint->started_at_ms);
    if (leaves)
      LogLine(this->log, Event::kEndpointLeft)
          .Add(Field::kEndpoint, endpoint->id)
          .Add(Field::kReason, "leaving");
    this->directory.Upsert(*endpoint);
  } else {
    LogLine(this->log, Event::kEndpointLeft)
        .Add(Field::kEndpoint, change.object.name)
        .Add(Field::kReason, change.deleted ? "removed" : "unreadable");
    this->directory.Remove(change.object.name, now);
  }
  this->NotifyChanged();
}

void PlatformView::OnEndpointLeaving(const catalog::Endpoint& endpoint) {
  LogLine(this->log, Event::kEndpointLeft)
      .Add(Field::kEndpoint, endpoint.id)
      .Add(Field::kReason, "leaving_response");
  this->directory.MarkLeaving(endpoint.id, endpoint.started_at_ms);
}

void PlatformView::ReplaceEndpoints(const catalog::ObjectSnapshot& snapshot,
                                    bool is_copy) {
  const common::TimePoint now = runtime::BootNow();
  std::vector<catalog::Endpoint> endpoints;
  for (const catalog::StoredObject& object : snapshot.objects) {
    auto endpoint = this->decoder.Endpoint(object);
    if (!endpoint)
      continue;
    endpoint->read_at = now;
    endpoints.push_back(std::move(*endpoint));
  }
  if (is_copy) {
    this->directory.ReplaceWithCopy(std::move(endpoints), now);
    LogLine(this->log, Event::kEndpointsHeldBack)
        .Add(Field::kStoreEra, this->known_era)
        .Add(Field::kCount, static_cast<uint64_t>(this->directory.held_back()));
  } else {
    this->directory.ReplaceAll(std::move(endpoints), now);
  }
  this->endpoints_known = true;
  this->NotifyChanged();
}

void PlatformView::ApplyVersion(const ObjectChange& change,
                                const ChangeTime& changed_after) {
  if (change.deleted)
    return;
  try {
    const catalog::ModelVersion announced =
        this->decoder.Version(change.object);
    const bool is_newer =
        this->version_requirements[announced.model].OnAnnounced(
            announced.version, this->settings.version_bound, changed_after,
            runtime::BootNow());
    if (!is_newer)
      return;
    LogLine(this->log, Event::kVersionNamed)
        .Add(Field::kModel, announced.model)
        .Add(Field::kVersion, announced.version)
        .Add(Field::kStoreEra, this->known_era)
        .Add(Field::kRevision, change.object.revision);
    this->NotifyChanged();
  } catch (const common::Error& error) {
    LogLine(this->log, Event::kConfigRejected)
        .Add(Field::kDetail, error.what());
  }
}

void PlatformView::ApplyHost(const ObjectChange& change, const ChangeTime&) {
  if (this->on_host_object)
    this->on_host_object(change);
}

void PlatformView::ApplyEvacuation(const ObjectChange& change,
                                   const ChangeTime&) {
  // The name of the object says all; an evacuation whose content can't be read
  // holds like the others.
  const auto changed = this->known_evacuations.OnStored(
      change.object.name,
      {this->known_era, change.object.revision, change.deleted},
      runtime::BootNow());
  if (changed)
    this->ReportEvacuation(*changed);
}

void PlatformView::ReplaceEvacuations(const catalog::ObjectSnapshot& snapshot) {
  this->evacuations_known = true;
  std::vector<std::string> zones;
  for (const catalog::StoredObject& object : snapshot.objects)
    zones.push_back(object.name);
  const auto changes = this->known_evacuations.OnListed(
      zones, this->known_era, snapshot.revision, runtime::BootNow());
  for (const auto& change : changes)
    this->ReportEvacuation(change);
}

void PlatformView::OnPeerEvacuation(const catalog::PeerEvacuation& told) {
  if (this->settings.evacuation_bound <= Duration(0))
    return;
  const auto changed = this->known_evacuations.OnPeer(told, runtime::BootNow());
  if (changed)
    this->ReportEvacuation(*changed);
}

void PlatformView::ReportEvacuation(
    const catalog::Evacuations::Change& change) {
  const auto& endpoints = this->directory.endpoints();
  std::string zone = change.zone;
  uint64_t affected = 0;
  for (const auto& [id, endpoint] : endpoints) {
    if (common::Hash64(endpoint.zone) != change.zone_hash)
      continue;
    zone = endpoint.zone;
    ++affected;
  }
  LogLine(this->log, change.record.is_ended ? Event::kEvacuationEnded
                                            : Event::kEvacuationBegan)
      .Add(Field::kZone, zone)
      .Add(Field::kSource,
           catalog::kEvacuationSourceNames.NameOf(change.source))
      .Add(Field::kStoreEra, change.record.era)
      .Add(Field::kRevision, change.record.revision)
      .Add(Field::kCount, affected);
  if (this->on_evacuation)
    this->on_evacuation(change);
}

uint64_t PlatformView::NewestVersion(std::string_view model) const {
  const auto found = this->version_requirements.find(model);
  return found == this->version_requirements.end() ? 0 : found->second.newest();
}

uint64_t PlatformView::RequiredVersion(std::string_view model,
                                       common::TimePoint now) const {
  const auto found = this->version_requirements.find(model);
  return found == this->version_requirements.end()
             ? 0
             : found->second.RequiredAt(now);
}

std::optional<common::TimePoint> PlatformView::StartDeadline(
    std::string_view model,
    uint64_t version) const {
  const auto found = this->version_requirements.find(model);
  if (found == this->version_requirements.end())
    return std::nullopt;
  return found->second.StartDeadline(version);
}

common::Duration PlatformView::AnnouncementAge(std::string_view model,
                                               common::TimePoint now) const {
  const auto found = this->version_requirements.find(model);
  return found == this->version_requirements.end()
             ? common::Duration(0)
             : found->second.AnnouncementAge(now);
}

void PlatformView::OnTick(common::TimePoint now) {
  this->stall_detector.OnTick(now);
  this->CheckEra();
  this->config_floor.OnTick(now);
  this->NoteConfigKnowledge();
  const uint64_t before = this->directory.generation();
  this->directory.Expire(now);
  if (this->directory.generation() != before)
    this->NotifyChanged();
}

void PlatformView::NotifyChanged() {
  if (this->on_changed)
    this->on_changed();
}

}  // namespace jujuberock::gateway
