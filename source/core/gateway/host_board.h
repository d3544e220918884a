#ifndef CORE_GATEWAY_HOST_BOARD_H_
#define CORE_GATEWAY_HOST_BOARD_H_

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/time.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/settings.h"
#include "core/gateway/store_watch.h"
#include "core/runtime/http_types.h"

namespace jujuberock::gateway {

// This host's object in the hosts' own kind, and what the others' objects say:
// how many hosts exist, and which requests crashed endpoints. No guarantee
// depends on the number; it only divides budgets.
class HostBoard {
 public:
  HostBoard(const Settings& settings,
            Dispatcher& dispatcher,
            StoreWatch& store_watch,
            catalog::ObjectStore& store);

  void OnObject(const catalog::ObjectChange& change);
  // Writes this host's object whenever it has changed; until Stop().
  void Run();
  void Stop() { this->stopping = true; }
  // This host's place among all hosts in the order of rendezvous hashing for
  // the key; 0 is the first.
  size_t RankFor(std::string_view key) const;
  // Called with the addresses of the other hosts.
  void OnPeers(std::function<void(std::vector<runtime::Address>)> callback) {
    this->peers_changed = std::move(callback);
  }

 private:
  void OnCountChange();
  void OnPeerAddress(const std::string& name, const std::string& address);
  bool Write();
  std::string Content() const;

  const Settings& settings;
  Dispatcher& dispatcher;
  StoreWatch& store_watch;
  catalog::ObjectStore& store;
  std::string own_name;
  std::optional<uint64_t> own_revision;
  std::set<std::string> names;
  std::map<std::string, runtime::Address> peers;
  std::function<void(std::vector<runtime::Address>)> peers_changed;
  bool changed = true;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_HOST_BOARD_H_
