#include "core/gateway/stream_registry.h"

#include <algorithm>
#include <utility>

#include "core/common/error.h"
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
// A caller whose connection broke at the end of a stream may not have got it.
constexpr Duration kCompleteLifetime = std::chrono::seconds(1);
constexpr Duration kMaxRecordWait = std::chrono::milliseconds(250);
// A list serves the requests that come within this time after it was begun.
constexpr Duration kListReuse = std::chrono::milliseconds(25);
constexpr Duration kListPoll = std::chrono::milliseconds(3);

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
      unknown(counters.GetCounter("stream_origins_unknown_total")) {}

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
  state.OnRecord(record.value_or(SoftwareRecord()), change.object.revision);
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
    const auto record = state.RecordToWrite(*longest, runtime::BootNow());
    if (record)
      this->WriteState(service, state, *record);
  }
}

void StreamRegistry::ReadState(const std::string& service,
                               SoftwareState& state) {
  const std::string name = std::string(kNamePrefix) + service;
  try {
    const auto object = this->store.Read(ObjectKind::kHosts, name);
    if (!object) {
      state.OnNoRecord();
      return;
    }
    const auto record = streams::ParseSoftwareRecord(object->content);
    state.OnRecord(record.value_or(SoftwareRecord()), object->revision);
  } catch (const common::Error&) {
    // The watches log that the store does not answer. The state stays unknown.
    runtime::SleepFor(kRetryDelay);
  }
}

void StreamRegistry::WriteState(const std::string& service,
                                SoftwareState& state,
                                const SoftwareRecord& record) {
  const std::string name = std::string(kNamePrefix) + service;
  const auto reply =
      this->Write(ObjectKind::kHosts, name, state.expected_revision(),
                  streams::RenderSoftwareRecord(record));
  switch (reply.state) {
    case WriteState::kWritten:
      if (!reply.current) {
        state.OnUnknown();
        return;
      }
      state.OnRecord(record, reply.current->revision);
      this->LogState(service, record);
      return;
    case WriteState::kConflict:
      if (!reply.current) {
        state.OnUnknown();
        return;
      }
      state.OnRecord(streams::ParseSoftwareRecord(reply.current->content)
                         .value_or(SoftwareRecord()),
                     reply.current->revision);
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
                              const SoftwareRecord& record) {
  LogLine line(this->log, Event::kSoftwareAgreed);
  line.Add(Field::kService, service).Add(Field::kStoreEra, record.store_era);
  if (record.sole)
    line.Add(Field::kSoftware, *record.sole);
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
    runtime::SleepFor(kListPoll);
}

std::optional<StreamOrigin> StreamRegistry::FindOrigin(
    std::string_view attempt,
    const std::string& service) {
  const streams::AttemptKey key = streams::KeyOf(attempt);
  const auto find_here = [&]() -> std::optional<StreamOrigin> {
    if (auto known = this->table.Find(key))
      return known;
    const auto state = this->states.find(service);
    if (state == this->states.end())
      return std::nullopt;
    if (auto sole = state->second.SoleVersion())
      return StreamOrigin{service, std::move(*sole)};
    return std::nullopt;
  };
  auto origin = find_here();
  if (origin || attempt.empty())
    return origin;
  if (auto found = this->FindStored(key))
    return found;
  // A host that still runs may be about to write it.
  runtime::SleepFor(this->WriteInterval() + kTickPeriod);
  origin = find_here();
  if (!origin)
    origin = this->FindStored(key);
  if (!origin)
    this->unknown.Add();
  return origin;
}

std::optional<StreamOrigin> StreamRegistry::FindStored(
    streams::AttemptKey key) {
  const TimePoint asked_at = runtime::BootNow();
  while (!this->listed_at || *this->listed_at < asked_at - kListReuse) {
    if (this->is_listing) {
      runtime::SleepFor(kListPoll);
      continue;
    }
    try {
      this->ReadOrigins();
    } catch (const common::Error&) {
      // The watches log that the store does not answer.
      return std::nullopt;
    }
  }
  const auto found = this->stored.find(key);
  if (found == this->stored.end())
    return std::nullopt;
  return found->second;
}

void StreamRegistry::ReadOrigins() {
  this->is_listing = true;
  this->lookups.Add();
  const TimePoint began = runtime::BootNow();
  catalog::ObjectSnapshot snapshot;
  try {
    snapshot = this->store.List(ObjectKind::kStreams);
  } catch (const common::Error&) {
    this->is_listing = false;
    throw;
  }
  this->is_listing = false;
  this->listed_at = began;
  this->stored.clear();
  for (const catalog::StoredObject& object : snapshot.objects) {
    const auto record = streams::ParseOriginRecord(object.content);
    if (!record)
      continue;
    for (const auto& [service, versions] : *record) {
      for (const auto& [software, attempts] : versions) {
        for (const streams::AttemptKey attempt : attempts)
          this->stored.insert_or_assign(attempt,
                                        StreamOrigin{service, software});
      }
    }
  }
}

}  // namespace jujuberock::gateway
