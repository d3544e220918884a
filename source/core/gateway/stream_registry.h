#ifndef CORE_GATEWAY_STREAM_REGISTRY_H_
#define CORE_GATEWAY_STREAM_REGISTRY_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/catalog/object_store.h"
#include "core/common/metrics.h"
#include "core/common/time.h"
#include "core/events/event_log.h"
#include "core/gateway/host_registry.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/settings.h"
#include "core/gateway/shared_read.h"
#include "core/streams/origin_record.h"
#include "core/streams/origin_table.h"
#include "core/streams/software_state.h"

namespace jujuberock::gateway {

// Knows which software version of its service began each stream that a caller
// may take up, whichever host began it. While a service has one version, that
// is known from one object in the platform's store; while it has several, each
// host writes the streams that it begins to an object of its own, in batches.
// These objects are read only when a stream is taken up that this host does not
// know. Used on one worker.
class StreamRegistry {
 public:
  StreamRegistry(const Settings& settings,
                 const PlatformView& view,
                 const HostRegistry& hosts,
                 catalog::ObjectStore& store,
                 events::EventLog& log,
                 common::MetricRegistry& counters);

  // Whether the name is that of an object of this class, among those that the
  // hosts watch.
  static bool OwnsObject(std::string_view name);
  // Called for each change of such an object.
  void OnObject(const catalog::ObjectChange& change);
  // Called when the configuration or the endpoints have changed.
  void Refresh();
  // Writes what has changed. Runs until Stop().
  void Run();
  void Stop() { this->stopping = true; }

  // The version at which new streams of the service must begin; nothing for
  // any.
  std::optional<std::string> RequiredSoftware(std::string_view service) const;
  // Whether streams of the service are recorded one by one.
  bool RecordsStreams(std::string_view service) const;
  // A stream is sent to an endpoint of this version, before its first event.
  // Nobody takes it up after `expires_at`.
  void Bind(std::string_view attempt,
            const streams::StreamOrigin& origin,
            common::TimePoint expires_at);
  // The caller has got the whole stream.
  void OnComplete(std::string_view attempt);
  // Waits until the store has the origin of the stream, as far as it is
  // recorded, for a limited time.
  void AwaitRecorded(std::string_view attempt) const;
  // Returns what began the stream of this attempt, or nothing if it can't be
  // found out. `service` is that of the route. Unless this host began the
  // stream, the answer comes from the store: another host may have begun it
  // after this one has last heard of a change. May suspend the calling fiber.
  std::optional<streams::StreamOrigin> FindOrigin(std::string_view attempt,
                                                  const std::string& service);

 private:
  using OriginIndex =
      std::unordered_map<streams::AttemptKey, streams::StreamOrigin>;

  // Longest time for which a stream of the service can be taken up; nothing if
  // it has no route whose streams can be resumed.
  std::optional<common::Duration> LongestStream(
      const std::string& service) const;
  streams::SoftwareVersions VersionsOf(const std::string& service) const;
  void CheckEra();
  void WriteStates();
  // How long this host waits before it names a version for all hosts.
  common::Duration TurnOf(const std::string& service) const;
  void ReadState(const std::string& service, streams::SoftwareState& state);
  void WriteState(const std::string& service,
                  streams::SoftwareState& state,
                  const streams::SoftwareRecord& record);
  // Replaces or creates an object. Throws nothing.
  catalog::WriteReply Write(catalog::ObjectKind kind,
                            std::string_view name,
                            std::optional<uint64_t> expected,
                            std::string_view content);
  void LogState(const std::string& service,
                const streams::SoftwareRecord& record,
                uint64_t revision);
  std::set<std::string> RecordedServices() const;
  common::Duration WriteInterval() const;
  void WriteOrigins();
  // Takes over what the former process of this host has written, before it is
  // replaced.
  void ReadFormerOrigins();
  void MergeFormerOrigins(const catalog::StoredObject& object);
  // One look at what this host and the store know. Throws Error if the store
  // can't be read.
  std::optional<streams::StreamOrigin> LookUp(streams::AttemptKey attempt,
                                              const std::string& service);
  // Reads what the hosts have written about the stream. Throws Error.
  std::optional<streams::StreamOrigin> FindStored(streams::AttemptKey attempt);
  // Reads from the store at which version all streams were begun; nothing if
  // that depends on the stream. Throws Error.
  std::optional<std::string> ReadSoleVersion(const std::string& service);
  // Reads the origins that all hosts have written. Throws Error.
  OriginIndex ReadOrigins();

  const Settings& settings;
  const PlatformView& view;
  const HostRegistry& hosts;
  catalog::ObjectStore& store;
  events::EventLog& log;
  common::Counter& recorded;
  common::Counter& lookups;
  common::Counter& unknown;
  std::map<std::string, streams::SoftwareState, std::less<>> states;
  uint64_t known_era = 0;
  streams::OriginTable table;
  // Sequence number of the table up to which the store has its entries.
  uint64_t written_sequence = 0;
  std::set<std::string> written_services;
  common::TimePoint written_at;
  bool has_read_former = false;
  std::optional<uint64_t> origins_revision;
  uint64_t origins_era = 0;
  SharedRead<OriginIndex> stored_origins;
  // By service.
  using SoleVersion = std::optional<std::string>;
  std::map<std::string, SharedRead<SoleVersion>> stored_sole_versions;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_STREAM_REGISTRY_H_
