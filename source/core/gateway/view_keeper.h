#ifndef CORE_GATEWAY_VIEW_KEEPER_H_
#define CORE_GATEWAY_VIEW_KEEPER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "core/catalog/config_view.h"
#include "core/catalog/endpoint_directory.h"
#include "core/catalog/object_store.h"
#include "core/catalog/view_age.h"
#include "core/events/event_log.h"
#include "core/gateway/decoder.h"
#include "core/gateway/settings.h"
#include "core/rollout/insistence.h"

namespace jujuberock::gateway {

// Follows the platform's store: lists each kind once, then watches it from
// there. Keeps the last good view while the store does not answer, and tells
// how old it is. All calls and callbacks are made on one worker.
class ViewKeeper {
 public:
  using Changed = std::function<void()>;
  using HostChanged = std::function<void(const catalog::ObjectChange&)>;

  ViewKeeper(const Settings& settings,
             catalog::ObjectStore& store,
             const ObjectDecoder& decoder,
             events::EventLog& log);

  // Called after each change of the configuration or the endpoints.
  void OnChange(Changed callback) { this->changed = std::move(callback); }
  // Called for each object of the hosts' own kind.
  void OnHostObject(HostChanged callback) {
    this->host_changed = std::move(callback);
  }

  // Starts the fibers that follow the store; they end after Stop().
  void Start();
  void Stop() { this->stopping = true; }

  // The configuration in force, or null while none is known.
  std::shared_ptr<const catalog::ConfigView> config() const {
    return this->view;
  }
  const catalog::EndpointDirectory& endpoints() const {
    return this->directory;
  }
  const catalog::ViewAge& age() const { return this->view_age; }
  // By model.
  using VersionsByModel =
      std::map<std::string, rollout::NamedVersions, std::less<>>;

  // The newest version named for the model; 0 when there is none.
  uint64_t NewestVersion(std::string_view model) const;
  // The oldest version that a request may begin on; 0 for any.
  uint64_t RequiredVersion(std::string_view model, common::TimePoint now) const;
  const VersionsByModel& versions() const { return this->named_versions; }
  // Whether requests can be routed.
  bool IsComplete() const {
    return this->view != nullptr && this->endpoints_known;
  }
  // Ends the tentative stay of endpoints; called now and then.
  void Expire(common::TimePoint now);

 private:
  struct Follower {
    catalog::ObjectKind kind;
    const char* name;
    common::Duration wait;
    // Pause after changes, so that one call brings several of them.
    common::Duration gather;
    void (ViewKeeper::*apply)(const catalog::ObjectChange&);
    std::optional<uint64_t> revision = std::nullopt;
    int failures = 0;
  };

  void Follow(Follower follower);
  void Step(Follower& follower);
  void List(Follower& follower);
  void Watch(Follower& follower);
  void OnAnswer(Follower& follower, common::TimePoint earliest_answer);
  void OnFailure(Follower& follower, const std::string& detail);

  void ApplyConfig(const catalog::ObjectChange& change);
  void ApplyEndpoint(const catalog::ObjectChange& change);
  void ApplyVersion(const catalog::ObjectChange& change);
  void ApplyHost(const catalog::ObjectChange& change);
  void ReplaceEndpoints(const catalog::ObjectSnapshot& snapshot);
  void NotifyChanged();

  const Settings& settings;
  catalog::ObjectStore& store;
  const ObjectDecoder& decoder;
  events::EventLog& log;
  Changed changed;
  HostChanged host_changed;
  std::shared_ptr<const catalog::ConfigView> view;
  catalog::ViewAge view_age;
  catalog::EndpointDirectory directory;
  VersionsByModel named_versions;
  bool endpoints_known = false;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_VIEW_KEEPER_H_
