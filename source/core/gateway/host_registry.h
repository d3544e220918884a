#ifndef CORE_GATEWAY_HOST_REGISTRY_H_
#define CORE_GATEWAY_HOST_REGISTRY_H_

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/time.h"
#include "core/gateway/cache_store_watcher.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/host_object.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/settings.h"
#include "core/handover/peer_choice.h"
#include "core/relay/relay_choice.h"
#include "core/rollout/order_history.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

// Returns the time between two writes of an object of this size. Every host
// reads the object of every other one.
common::Duration HostWritePeriod(size_t object_bytes, size_t hosts);

// Publishes this host's object in the platform's store and reads those of the
// other hosts: how many hosts exist, their addresses, and which requests
// crashed endpoints. The number of hosts is used only to divide budgets; no
// guarantee depends on it.
class HostRegistry {
 public:
  HostRegistry(const Settings& settings,
               PlatformView& view,
               const rollout::OrderHistory& own_orders,
               Dispatcher& dispatcher,
               CacheStoreWatcher& cache_store_watcher,
               catalog::ObjectStore& store,
               std::function<common::UnixTime()> wall_now);

  // Name of the object of the host.
  static std::string ObjectNameOf(std::string_view host_name);

  // Called for each change of a host's object.
  void OnObject(const catalog::ObjectChange& change);
  // Writes this host's object whenever it has changed. Runs until Stop().
  void Run();
  void Stop() { this->stopping = true; }
  // Number of hosts that have published an object.
  size_t host_count() const { return this->host_names.size(); }
  // Returns this host's position in the rendezvous hashing order for `key`; 0
  // is the first. It is the last while the host does not know of itself.
  size_t RankFor(std::string_view key) const;
  // Whether all known hosts have written their objects in this era of the
  // store.
  bool HaveAllNoticedEra() const;
  // Returns when another host sent its last order, as far as it has published;
  // nothing if none has sent any.
  std::optional<common::TimePoint> LastPeerOrder() const;
  // Sets the callback for changes of the other hosts' addresses.
  void OnPeers(std::function<void(std::vector<runtime::Address>)> callback) {
    this->on_peers_changed = std::move(callback);
  }
  // Sets the callback for changes of the hosts that take requests over.
  void OnHandoverHosts(
      std::function<void(std::vector<handover::PeerHost>)> callback) {
    this->on_handover_hosts_changed = std::move(callback);
  }
  // Sets the callback for changes of the other hosts of this zone.
  void OnZoneHosts(
      std::function<void(std::vector<relay::RelayHost>)> callback) {
    this->on_zone_hosts_changed = std::move(callback);
  }

 private:
  // What another host has published about its orders.
  struct PeerOrders {
    uint64_t store_era = 0;
    std::optional<common::TimePoint> last_order_at;
  };

  void OnHostCountChanged();
  void OnOwnObject(const catalog::ObjectChange& change);
  void OnPeerAddress(const std::string& name, const std::string& address);
  // An empty address: the host is gone or takes no requests over.
  void OnHandoverHost(const handover::PeerHost& host);
  // `address` is empty for a host that is gone or in another zone.
  void OnZoneHost(const std::string& name, const std::string& address);
  // Takes over what the former process of this host has published: its marks,
  // and which configuration it had. Done before the first write, which replaces
  // them.
  void ReadFormerObject(const catalog::StoredObject& stored);
  catalog::WriteState WriteOwnObject();
  void SetRevision(uint64_t revision);
  // Makes this host write its object again if the store came back from a copy,
  // or this host has learned what was in force before that.
  void CheckEra();
  std::string EncodeOwnObject() const;

  const Settings& settings;
  PlatformView& view;
  const rollout::OrderHistory& own_orders;
  Dispatcher& dispatcher;
  CacheStoreWatcher& cache_store_watcher;
  catalog::ObjectStore& store;
  std::function<common::UnixTime()> wall_now;
  std::string own_name;
  // Revision of this host's object, and the era in which it was given out.
  std::optional<uint64_t> own_revision;
  uint64_t revision_era = 0;
  std::set<std::string> host_names;
  std::map<std::string, runtime::Address> peers;
  // Addresses of the other hosts of this zone.
  std::map<std::string, std::string> zone_hosts;
  std::map<std::string, handover::PeerHost> handover_hosts;
  std::map<std::string, PeerOrders> peer_orders;
  std::function<void(std::vector<runtime::Address>)> on_peers_changed;
  std::function<void(std::vector<relay::RelayHost>)> on_zone_hosts_changed;
  std::function<void(std::vector<handover::PeerHost>)>
      on_handover_hosts_changed;
  bool write_pending = true;
  bool has_written = false;
  // Size of the object that was written last.
  size_t written_bytes = 0;
  // Era of the store in which the object was written last.
  uint64_t written_era = 0;
  // Whether that object said that the host knows what was in force.
  std::optional<bool> written_config_known;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_HOST_REGISTRY_H_
