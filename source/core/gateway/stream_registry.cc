#include "core/gateway/stream_registry.h"

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectKind;
using catalog::WriteState;
using common::Duration;
using common::TimePoint;
using events::Event;
using events::Field;
using events::LogLine;
using streams::SoftwareRecord;
using streams::SoftwareState;
using streams::StreamOrigin;

constexpr std::string_view kNamePrefix = "software.";
constexpr Duration kTickPeriod = std::chrono::milliseconds(20);
// Streams that begin within this time are written together. Shorter than the
// time to the first event, so that most streams are known to the store before a
// caller has a part of them.
constexpr Duration kMinWriteInterval = std::chrono::milliseconds(100);
// Writes of all hosts together; with more hosts, each writes less often.
constexpr double kMaxWritesPerSecond = 400;
constexpr Duration kRetryDelay = std::chrono::milliseconds(300);
// Time between the turns of two hosts to write the same record. With hundreds
// of hosts, a few write before they learn of each other's record.
constexpr Duration kTurnPeriod = std::chrono::milliseconds(10);
// A caller whose connection broke at the end of a stream may not have got it.
constexpr Duration kCompleteLifetime = std::chrono::seconds(1);
constexpr Duration kMaxRecordWait = std::chrono::milliseconds(250);
constexpr Duration kRecordPoll = std::chrono::milliseconds(3);

// Name of the object with the record of a service.
std::string ObjectNameOf(const std::string& service) {
  return std::string(kNamePrefix) + service;
}

}  // namespace

StreamRegistry::StreamRegistry(const Settings& settings,
                               const PlatformView& view,
                               const HostRegistry& hosts,
                               catalog::ObjectStore& store,
                               events::EventLog& log,
                               common::MetricRegistry& counters)
    : settings(settings),
      view(view),
      hosts(hosts),
      store(store),
      log(log),
      recorded(counters.GetCounter("stream_origin_writes_total")),
      lookups(counters.GetCounter("stream_origin_lists_total")),
      unknown(counters.GetCounter("stream_origins_unknown_total")),
      stored_origins([this] { return this->ReadOrigins(); }) {}

bool StreamRegistry::OwnsObject(std::string_view name) {
  return name.substr(0, kNamePrefix.size()) == kNamePrefix;
}

void StreamRegistry::OnObject(const catalog::ObjectChange& change) {
  const std::string service = change.object.name.substr(kNamePrefix.size());
  this->CheckEra();
  SoftwareState& state = this->states[service];
  if (change.deleted) {
    state.OnNoRecord();
    return;
  }
  const auto record = streams::ParseSoftwareRecord(change.object.content);
  // Odd bytes of another writer are replaced.
  state.OnRecord(record.value_or(SoftwareRecord()), change.object.revision,
                 runtime::BootNow());
}

std::optional<Duration> StreamRegistry::LongestStream(
    const std::string& service) const {
  std::optional<Duration> longest;
  for (const catalog::Route& route : this->view.config()->config().routes) {
    const bool can_be_taken_up =
        route.kind == catalog::RouteKind::kStream && route.can_resume;
    const bool has_service =
        std::any_of(route.services.begin(), route.services.end(),
                    [&](const auto& s) { return s.service == service; });
    if (can_be_taken_up && has_service)
      longest = std::max(longest.value_or(route.timeout), route.timeout);
  }
  return longest;
}

streams::SoftwareVersions StreamRegistry::VersionsOf(
    const std::string& service) const {
  streams::SoftwareVersions versions;
  for (const auto& [id, endpoint] : this->view.endpoints().endpoints()) {
    if (endpoint.service != service)
      continue;
    versions.registered.insert(endpoint.software);
    if (!endpoint.leaving)
      versions.serving.insert(endpoint.software);
  }
  return versions;
}

void StreamRegistry::Refresh() {
  const auto config = this->view.config();
  if (!config)
    return;
  const TimePoint now = runtime::BootNow();
  for (const catalog::Service& service : config->config().services) {
    if (this->LongestStream(service.name))
      this->states[service.name].OnVersions(this->VersionsOf(service.name),
                                            now);
  }
}

void StreamRegistry::CheckEra() {
  const uint64_t era = this->store.era();
  if (era == this->known_era)
    return;
  this->known_era = era;
  for (auto& [service, state] : this->states)
    state.OnEra(era);
}

void StreamRegistry::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kTickPeriod);
    if (!this->view.config())
      continue;
    this->CheckEra();
    this->WriteStates();
    this->table.Expire(runtime::BootNow());
    this->WriteOrigins();
  }
}

void StreamRegistry::WriteStates() {
  // Objects may be added while a call suspends this fiber.
  std::vector<std::string> services;
  for (const auto& [service, state] : this->states)
    services.push_back(service);
  for (const std::string& service : services) {
    const auto longest = this->LongestStream(service);
    if (!longest)
      continue;
    SoftwareState& state = this->states[service];
    state.OnEra(this->store.era());
    if (state.NeedsRead())
      this->ReadState(service, state);
    state.OnViewPosition(this->view.endpoints_position());
    const auto record = state.RecordToWrite(*longest, this->TurnOf(service),
                                            runtime::BootNow());
    if (record)
      this->WriteState(service, state, *record);
  }
}

Duration StreamRegistry::TurnOf(const std::string& service) const {
  const auto slots =
      std::max<uint64_t>(1, static_cast<uint64_t>(this->hosts.host_count()));
  const uint64_t slot =
      common::Hash64(this->settings.host_name + '/' + service) % slots;
  return kTurnPeriod * slot;
}

void StreamRegistry::ReadState(const std::string& service,
                               SoftwareState& state) {
  try {
    const auto object =
        this->store.Read(ObjectKind::kHosts, ObjectNameOf(service));
    if (!object) {
      state.OnNoRecord();
      return;
    }
    const auto record = streams::ParseSoftwareRecord(object->content);
    state.OnRecord(record.value_or(SoftwareRecord()), object->revision,
                   runtime::BootNow());
  } catch (const common::Error&) {
    // The watches log that the store does not answer. The state stays unknown.
    runtime::SleepFor(kRetryDelay);
  }
}

void StreamRegistry::WriteState(const std::string& service,
                                SoftwareState& state,
                                const SoftwareRecord& record) {
  const auto reply = this->Write(ObjectKind::kHosts, ObjectNameOf(service),
                                 state.expected_revision(),
                                 streams::RenderSoftwareRecord(record));
  switch (reply.state) {
    case WriteState::kWritten:
      if (!reply.current) {
        state.OnUnknown();
        return;
      }
      state.OnRecord(record, reply.current->revision, runtime::BootNow());
      this->LogState(service, record, reply.current->revision);
      return;
    case WriteState::kConflict:
      if (!reply.current) {
        state.OnUnknown();
        return;
      }
      state.OnRecord(streams::ParseSoftwareRecord(reply.current->content)
                         .value_or(SoftwareRecord()),
                     reply.current->revision, runtime::BootNow());
      return;
    case WriteState::kMissing:
      state.OnNoRecord();
      return;
    case WriteState::kUnknown:
      state.OnUnknown();
      runtime::SleepFor(kRetryDelay);
      return;
    case WriteState::kRefused:
      runtime::SleepFor(kRetryDelay);
      return;
  }
}

void StreamRegistry::LogState(const std::string& service,
                              const SoftwareRecord& record,
                              uint64_t revision) {
  LogLine line(this->log, Event::kSoftwareAgreed);
  line.Add(Field::kService, service).Add(Field::kStoreEra, record.store_era);
  if (record.sole)
    line.Add(Field::kSoftware, *record.sole);
  if (record.candidate)
    line.Add(Field::kCandidate, *record.candidate);
  line.Add(Field::kRevision, revision)
      .Add(Field::kViewRevision, this->view.endpoints_position().revision);
}

catalog::WriteReply StreamRegistry::Write(ObjectKind kind,
                                          std::string_view name,
                                          std::optional<uint64_t> expected,
                                          std::string_view content) {
  if (expected)
    return this->store.Replace(kind, name, *expected, content);
  return this->store.Create(kind, name, content);
}

std::set<std::string> StreamRegistry::RecordedServices() const {
  std::set<std::string> services;
  for (const auto& [service, state] : this->states) {
    if (state.MustRecordStreams())
      services.insert(service);
  }
  return services;
}

Duration StreamRegistry::WriteInterval() const {
  const auto host_count = static_cast<double>(this->hosts.host_count());
  return std::max(kMinWriteInterval,
                  common::FromSeconds(host_count / kMaxWritesPerSecond));
}

void StreamRegistry::WriteOrigins() {
  const std::set<std::string> services = this->RecordedServices();
  if (services.empty())
    return;
  const TimePoint now = runtime::BootNow();
  const bool is_changed = this->table.sequence() > this->written_sequence ||
                          services != this->written_services ||
                          this->origins_era != this->store.era();
  if (!is_changed || now - this->written_at < this->WriteInterval())
    return;
  this->written_at = now;
  if (!this->has_read_former)
    this->ReadFormerOrigins();
  if (!this->has_read_former)
    return;
  if (this->origins_era != this->store.era())
    this->origins_revision.reset();
  const uint64_t sequence = this->table.sequence();
  const uint64_t era = this->store.era();
  const auto reply = this->Write(
      ObjectKind::kStreams, this->settings.host_name, this->origins_revision,
      streams::RenderOriginRecord(this->table.RecordOf(services)));
  this->recorded.Add();
  if (reply.state == WriteState::kMissing)
    this->origins_revision.reset();
  if (reply.current) {
    this->origins_revision = reply.current->revision;
    this->origins_era = era;
  }
  if (reply.state != WriteState::kWritten)
    return;
  this->written_sequence = sequence;
  this->written_services = services;
}

void StreamRegistry::ReadFormerOrigins() {
  try {
    const auto object =
        this->store.Read(ObjectKind::kStreams, this->settings.host_name);
    if (object)
      this->MergeFormerOrigins(*object);
    this->has_read_former = true;
  } catch (const common::Error&) {
    // The watches log that the store does not answer. Tried again with the next
    // write.
  }
}

void StreamRegistry::MergeFormerOrigins(const catalog::StoredObject& object) {
  this->origins_revision = object.revision;
  this->origins_era = this->store.era();
  const auto record = streams::ParseOriginRecord(object.content);
  if (!record)
    return;
  const TimePoint now = runtime::BootNow();
  for (const auto& [service, versions] : *record) {
    const auto longest = this->LongestStream(service);
    if (!longest)
      continue;
    for (const auto& [software, attempts] : versions) {
      for (const streams::AttemptKey attempt : attempts) {
        if (!this->table.Find(attempt))
          this->table.Bind(attempt, {service, software}, now + *longest);
      }
    }
  }
}

std::optional<std::string> StreamRegistry::RequiredSoftware(
    std::string_view service) const {
  const auto found = this->states.find(service);
  if (found == this->states.end())
    return std::nullopt;
  return found->second.RequiredVersion();
}

bool StreamRegistry::RecordsStreams(std::string_view service) const {
  const auto found = this->states.find(service);
  return found != this->states.end() && found->second.MustRecordStreams();
}

void StreamRegistry::Bind(std::string_view attempt,
                          const StreamOrigin& origin,
                          TimePoint expires_at) {
  this->table.Bind(streams::KeyOf(attempt), origin, expires_at);
}

void StreamRegistry::OnComplete(std::string_view attempt) {
  this->table.Shorten(streams::KeyOf(attempt),
                      runtime::BootNow() + kCompleteLifetime);
}

void StreamRegistry::AwaitRecorded(std::string_view attempt) const {
  const streams::AttemptKey key = streams::KeyOf(attempt);
  const TimePoint until = runtime::BootNow() + kMaxRecordWait;
  while (this->table.SequenceOf(key) > this->written_sequence &&
         runtime::BootNow() < until)
    runtime::SleepFor(kRecordPoll);
}

std::optional<StreamOrigin> StreamRegistry::FindOrigin(
    std::string_view attempt,
    const std::string& service) {
  const streams::AttemptKey key = streams::KeyOf(attempt);
  std::optional<StreamOrigin> origin;
  try {
    origin = this->LookUp(key, service);
    if (!origin && !attempt.empty()) {
      // A host that still runs may be about to write it.
      runtime::SleepFor(this->WriteInterval() + kTickPeriod);
      origin = this->LookUp(key, service);
    }
  } catch (const common::Error&) {
    // The watches log that the store does not answer. The stream is refused.
  }
  if (!origin)
    this->unknown.Add();
  return origin;
}

std::optional<StreamOrigin> StreamRegistry::LookUp(streams::AttemptKey attempt,
                                                   const std::string& service) {
  if (auto known = this->table.Find(attempt))
    return known;
  // What was written about the stream itself holds whatever the record says, so
  // usually one read suffices.
  const bool lists_first = this->RecordsStreams(service);
  if (lists_first) {
    if (auto stored = this->FindStored(attempt))
      return stored;
  }
  if (auto sole = this->ReadSoleVersion(service))
    return StreamOrigin{service, std::move(*sole)};
  return lists_first ? std::nullopt : this->FindStored(attempt);
}

std::optional<StreamOrigin> StreamRegistry::FindStored(
    streams::AttemptKey attempt) {
  const auto origins = this->stored_origins.Get();
  const auto found = origins->find(attempt);
  if (found == origins->end())
    return std::nullopt;
  return found->second;
}

std::optional<std::string> StreamRegistry::ReadSoleVersion(
    const std::string& service) {
  const auto read = [this, service]() -> SoleVersion {
    const auto object =
        this->store.Read(ObjectKind::kHosts, ObjectNameOf(service));
    const auto record =
        object ? streams::ParseSoftwareRecord(object->content) : std::nullopt;
    if (!record || record->store_era != this->store.era())
      return std::nullopt;
    return record->sole;
  };
  return *this->stored_sole_versions.try_emplace(service, read)
              .first->second.Get();
}

StreamRegistry::OriginIndex StreamRegistry::ReadOrigins() {
  this->lookups.Add();
  OriginIndex origins;
  for (const catalog::StoredObject& object :
       this->store.List(ObjectKind::kStreams).objects) {
    const auto record = streams::ParseOriginRecord(object.content);
    if (!record)
      continue;
    for (const auto& [service, versions] : *record) {
      for (const auto& [software, attempts] : versions) {
        for (const streams::AttemptKey attempt : attempts)
          origins.insert_or_assign(attempt, StreamOrigin{service, software});
      }
    }
  }
  return origins;
}

}  // namespace jujuberock::gateway
