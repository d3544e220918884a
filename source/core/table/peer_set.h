#ifndef CORE_TABLE_PEER_SET_H_
#define CORE_TABLE_PEER_SET_H_

#include <map>
#include <string>
#include <vector>

namespace jujuberock::table {

// Hosts that two per zone act for: they watch the platform and speak to the
// other zones.
constexpr size_t kDelegatesPerZone = 2;

// The hosts that a host knows, as membership sees them now.
struct PeerSet {
  // Live hosts of the own zone, without the host itself.
  std::vector<std::string> zone_peers;
  // Live hosts of each other zone, those that are known to act for it first.
  std::map<std::string, std::vector<std::string>> other_zones;
  // Whether this host is one of the two that act for its zone.
  bool is_delegate = false;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PEER_SET_H_
