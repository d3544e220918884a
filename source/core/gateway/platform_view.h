#ifndef CORE_GATEWAY_PLATFORM_VIEW_H_
#define CORE_GATEWAY_PLATFORM_VIEW_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/config_floor.h"
#include "core/catalog/config_view.h"
#include "core/catalog/endpoint_directory.h"
#include "core/catalog/evacuations.h"
#include "core/catalog/object_store.h"
#include "core/catalog/view_age.h"
#include "core/catalog/view_position.h"
#include "core/common/stall_detector.h"
#include "core/events/event_log.h"
#include "core/gateway/decoder.h"
#include "core/gateway/reported_entries.h"
#include "core/gateway/settings.h"
#include "core/rollout/version_requirements.h"

namespace jujuberock::gateway {

// Local view of the platform's store: lists each object kind once, then watches
// it for changes. Keeps the last valid view while the store does not respond,
// and tracks its age. All calls and callbacks are made on one worker.
class PlatformView {
 public:
  using ChangeCallback = std::function<void()>;
  using HostObjectCallback = std::function<void(const catalog::ObjectChange&)>;
  using EvacuationCallback =
      std::function<void(const catalog::Evacuations::Change&)>;

  PlatformView(const Settings& settings,
               catalog::ObjectStore& store,
               const ObjectDecoder& decoder,
               events::EventLog& log);

  // Sets the callback for changes of the configuration, endpoints or versions.
  void OnChange(ChangeCallback callback) {
    this->on_changed = std::move(callback);
  }
  // Sets the callback for changes of the hosts' objects.
  void OnHostObject(HostObjectCallback callback) {
    this->on_host_object = std::move(callback);
  }

  // Sets the callback for zones that are evacuated, or no longer are.
  void OnEvacuation(EvacuationCallback callback) {
    this->on_evacuation = std::move(callback);
  }

  // Starts the fibers that watch the store; they end after Stop().
  void Start();
  void Stop() { this->stopping = true; }

  // Returns the configuration in force, or null while none is known.
  std::shared_ptr<const catalog::ConfigView> config() const {
    return this->current_config;
  }
  const catalog::EndpointDirectory& endpoints() const {
    return this->directory;
  }
  const catalog::Evacuations& evacuations() const {
    return this->known_evacuations;
  }
  const catalog::ViewAge& age() const { return this->view_age; }
  // The endpoints are those that the store had at `read_at` or later, and it
  // has answered without a failure since `answering_since`.
  struct EndpointsAge {
    common::TimePoint read_at;
    common::TimePoint answering_since;
  };
  // Nothing while the endpoints are not known, or the store does not answer.
  std::optional<EndpointsAge> endpoints_age() const {
    return this->endpoints_read;
  }
  // The state of the store that endpoints() is known to contain; all zeros
  // while no endpoints are known.
  catalog::ViewPosition endpoints_position() const {
    return this->endpoints_applied;
  }
  // Whether API keys may be checked against the configuration in force.
  bool KeysUsable(common::TimePoint now) const {
    return this->IsComplete(now) && this->view_age.KeysUsable(now);
  }
  // Whether the host may take new callers.
  bool IsFresh(common::TimePoint now) const {
    return this->IsComplete(now) && this->view_age.IsFresh(now);
  }
  // Requirements on weight versions, by model.
  using VersionsByModel =
      std::map<std::string, rollout::VersionRequirements, std::less<>>;

  // Returns the newest version announced for the model; 0 if there is none.
  uint64_t NewestVersion(std::string_view model) const;
  // Returns the oldest version that a request may start on; 0 for any.
  uint64_t RequiredVersion(std::string_view model, common::TimePoint now) const;
  // Returns the latest time at which a run on this version may begin; nullopt
  // if no newer version is announced.
  std::optional<common::TimePoint> StartDeadline(std::string_view model,
                                                 uint64_t version) const;
  // Returns the maximum age of the newest announcement; 0 if there is none.
  common::Duration AnnouncementAge(std::string_view model,
                                   common::TimePoint now) const;
  const VersionsByModel& versions() const { return this->version_requirements; }
  // Whether the view suffices to route requests. The objects of the other hosts
  // state which prompts must be refused, and whether a newer configuration was
  // in force there than the store has.
  bool IsComplete(common::TimePoint now) const {
    return this->current_config != nullptr && this->endpoints_known &&
           this->hosts_known && this->AreEvacuationsKnown() &&
           this->config_floor.Allows(this->current_config->version(), now);
  }
  // Another host, or the former process of this one, has published this.
  void OnPeerConfig(const catalog::PeerConfig& peer);
  // What this host publishes about the configuration.
  catalog::PeerConfig ConfigForPeers() const {
    return this->config_floor.ForPeers();
  }
  // The endpoint said in a response that it is leaving.
  void OnEndpointLeaving(const catalog::Endpoint& endpoint);
  // Another host repeats what the store said of a zone.
  void OnPeerEvacuation(const catalog::PeerEvacuation& told);
  bool are_hosts_known() const { return this->hosts_known; }
  uint64_t store_era() const { return this->known_era; }
  // Applies deferred removals of endpoints that are due and detects that the
  // process was suspended; called periodically.
  void OnTick(common::TimePoint now);

 private:
  // Last time at which a change was certainly not made yet; nullopt if it may
  // have been made at any time before the host started.
  using ChangeTime = std::optional<common::TimePoint>;

  struct KindWatch {
    catalog::ObjectKind kind;
    const char* name;
    common::Duration wait;
    // Pause after changes, so that the next call returns several of them.
    common::Duration batch_delay;
    void (PlatformView::*apply)(const catalog::ObjectChange&,
                                const ChangeTime&);
    std::optional<uint64_t> revision = std::nullopt;
    // Era of the store in which `revision` was given out.
    uint64_t era = 0;
    int failures = 0;
    // Earliest time at which the store can have produced the last answer.
    std::optional<common::TimePoint> answered_at = std::nullopt;
  };

  using KindWatchPtr = std::shared_ptr<KindWatch>;

  void WatchKind(KindWatchPtr watch);
  void ReadNext(KindWatch& watch);
  void List(KindWatch& watch);
  // Lists the kind while its watch may still be waiting for an answer.
  void ListBesideWatch(KindWatchPtr watch);
  void Watch(KindWatch& watch);
  // Returns when the changes that an answer reports were certainly not made
  // yet.
  ChangeTime ChangedAfter(const KindWatch& watch,
                          const catalog::ObjectChanges& changes,
                          common::TimePoint sent_at) const;
  void OnAnswer(KindWatch& watch,
                const catalog::AnswerAge& answer_age,
                common::TimePoint sent_at);
  // All changes up to the revision of the watch have been applied.
  void OnApplied(const KindWatch& watch);
  void OnFailure(KindWatch& watch, const std::string& detail);
  // Records that the store confirmed the configuration in force, unless what it
  // has is known to be older or can't be read.
  void ConfirmConfig(const KindWatch& watch);
  // Applies what follows from a change of what this host knows of the
  // configurations that were in force before the present era, if there is one.
  void NoteConfigKnowledge();

  // Logs an object that can't be read. One without a name is then left out; the
  // others are applied, since they may replace one that could be read.
  void Apply(const KindWatch& watch,
             const catalog::ObjectChange& change,
             const ChangeTime& changed_after);
  void ReportUnreadable(const KindWatch& watch,
                        const catalog::StoredObject& object);
  void ApplyConfig(const catalog::ObjectChange& change, const ChangeTime&);
  void ApplyEndpoint(const catalog::ObjectChange& change, const ChangeTime&);
  void ApplyVersion(const catalog::ObjectChange& change,
                    const ChangeTime& changed_after);
  void ApplyHost(const catalog::ObjectChange& change, const ChangeTime&);
  bool AreEvacuationsKnown() const {
    return this->evacuations_known ||
           this->settings.evacuation_bound <= common::Duration(0);
  }
  void ApplyEvacuation(const catalog::ObjectChange& change, const ChangeTime&);
  // Applies a full list of the evacuated zones.
  void ReplaceEvacuations(const catalog::ObjectSnapshot& snapshot);
  void ReportEvacuation(const catalog::Evacuations::Change& change);
  // `is_copy` is set for the first list after the store came back from a copy.
  void ReplaceEndpoints(const catalog::ObjectSnapshot& snapshot, bool is_copy);
  void NotifyChanged();
  // Notices that the store has come back from an older copy. All kinds are then
  // listed anew: revisions of the former era mean nothing any more, even if the
  // store accepts them.
  void CheckEra();

  const Settings& settings;
  catalog::ObjectStore& store;
  const ObjectDecoder& decoder;
  events::EventLog& log;
  ChangeCallback on_changed;
  HostObjectCallback on_host_object;
  EvacuationCallback on_evacuation;
  std::shared_ptr<const catalog::ConfigView> current_config;
  // Name of the object with that configuration, and whether it was replaced by
  // one that can't be read. That one may have withdrawn keys.
  std::string config_name;
  bool is_config_unreadable = false;
  catalog::ViewAge view_age;
  catalog::ConfigFloor config_floor;
  // What was noted last, and for which era.
  catalog::EraKnowledge noted_knowledge = catalog::EraKnowledge::kNone;
  uint64_t noted_era = 0;
  catalog::EndpointDirectory directory;
  catalog::Evacuations known_evacuations;
  VersionsByModel version_requirements;
  ReportedEntries reported_entries;
  common::StallDetector stall_detector;
  std::vector<KindWatchPtr> watches;
  // The newest era of the store that was noticed; 0 before its first answer.
  uint64_t known_era = 0;
  std::optional<EndpointsAge> endpoints_read;
  catalog::ViewPosition endpoints_applied;
  bool endpoints_known = false;
  bool evacuations_known = false;
  bool hosts_known = false;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_PLATFORM_VIEW_H_
