#ifndef CORE_TABLE_PEER_SET_H_
#define CORE_TABLE_PEER_SET_H_

#include <map>
#include <string>
#include <vector>

namespace jujuberock::table {

// Delegates are the hosts of a zone that watch the platform and synchronize
// with the other zones.
constexpr size_t kDelegatesPerZone = 2;

// The hosts that membership currently considers live, as seen by one host.
struct PeerSet {
  // Live hosts of this host's zone, excluding itself.
  std::vector<std::string> zone_peers;
  // Live hosts of each other zone; known delegates come first.
  std::map<std::string, std::vector<std::string>> other_zones;
  // Whether this host is one of the delegates of its zone.
  bool is_delegate = false;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PEER_SET_H_
