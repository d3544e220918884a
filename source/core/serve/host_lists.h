#ifndef CORE_SERVE_HOST_LISTS_H_
#define CORE_SERVE_HOST_LISTS_H_

#include <algorithm>
#include <atomic>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/membership/coordinator.h"

namespace jujuberock::serve {

// Names of the live hosts as of the last refresh. Reads take no lock, so
// callers may hold any mutex.
class HostLists {
 public:
  explicit HostLists(const membership::Coordinator& coordinator)
      : coordinator(coordinator), lists(std::make_shared<const Lists>()) {}

  // Reads the lists anew. Returns whether any of them has changed.
  bool Refresh(common::TimePoint now) {
    const table::PeerSet peers = this->coordinator.Peers(now);
    auto updated = std::make_shared<Lists>();
    updated->zone = peers.zone_peers;
    updated->zone.push_back(this->coordinator.self().name);
    updated->limit_hosts = updated->zone;
    for (const auto& [name, member] : this->coordinator.Members()) {
      if (member.info.state == membership::HostState::kLeaving)
        updated->limit_hosts.push_back(name);
    }
    std::sort(updated->zone.begin(), updated->zone.end());
    std::sort(updated->limit_hosts.begin(), updated->limit_hosts.end());
    updated->all = updated->zone;
    for (const auto& [zone, hosts] : peers.other_zones)
      updated->all.insert(updated->all.end(), hosts.begin(), hosts.end());
    const std::shared_ptr<const Lists> previous = this->lists.exchange(updated);
    return previous->limit_hosts != updated->limit_hosts ||
           previous->all != updated->all || previous->zone != updated->zone;
  }

  // The live hosts of this zone, including this one.
  std::vector<std::string> ZoneHosts() const {
    return this->lists.load()->zone;
  }
  // Hosts that share the limits of this zone: the live ones and those that are
  // leaving, which still finish the requests that they have accepted.
  std::vector<std::string> LimitHosts() const {
    return this->lists.load()->limit_hosts;
  }
  // The live hosts of the whole deployment, including this one.
  std::vector<std::string> AllHosts() const { return this->lists.load()->all; }

 private:
  struct Lists {
    std::vector<std::string> zone;
    std::vector<std::string> limit_hosts;
    std::vector<std::string> all;
  };

  const membership::Coordinator& coordinator;
  std::atomic<std::shared_ptr<const Lists>> lists;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_HOST_LISTS_H_
