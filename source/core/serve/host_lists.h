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

// Names of the live hosts as of the last refresh. Readers take no lock, so
// decision objects may ask while they hold theirs.
class HostLists {
 public:
  explicit HostLists(const membership::Coordinator& coordinator)
      : coordinator(coordinator), lists(std::make_shared<const Lists>()) {}

  // Returns whether one of the lists has changed.
  bool Refresh(common::TimePoint now) {
    const table::PeerSet peers = this->coordinator.Peers(now);
    auto fresh = std::make_shared<Lists>();
    fresh->zone = peers.zone_peers;
    fresh->zone.push_back(this->coordinator.self().name);
    fresh->sharing = fresh->zone;
    for (const auto& [name, member] : this->coordinator.Members()) {
      if (member.news.state == membership::HostState::kLeaving)
        fresh->sharing.push_back(name);
    }
    std::sort(fresh->zone.begin(), fresh->zone.end());
    std::sort(fresh->sharing.begin(), fresh->sharing.end());
    fresh->all = fresh->zone;
    for (const auto& [zone, hosts] : peers.other_zones)
      fresh->all.insert(fresh->all.end(), hosts.begin(), hosts.end());
    const std::shared_ptr<const Lists> before = this->lists.exchange(fresh);
    return before->sharing != fresh->sharing || before->all != fresh->all ||
           before->zone != fresh->zone;
  }

  // Of the own zone, this host included.
  std::vector<std::string> Zone() const { return this->lists.load()->zone; }
  // Hosts of the zone that share its limits: also those that are leaving, which
  // still finish what they have accepted.
  std::vector<std::string> Sharing() const {
    return this->lists.load()->sharing;
  }
  // Of the whole deployment, this host included.
  std::vector<std::string> All() const { return this->lists.load()->all; }

 private:
  struct Lists {
    std::vector<std::string> zone;
    std::vector<std::string> sharing;
    std::vector<std::string> all;
  };

  const membership::Coordinator& coordinator;
  std::atomic<std::shared_ptr<const Lists>> lists;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_HOST_LISTS_H_
