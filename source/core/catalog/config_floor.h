#ifndef CORE_CATALOG_CONFIG_FLOOR_H_
#define CORE_CATALOG_CONFIG_FLOOR_H_

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace jujuberock::catalog {

// Decides whether the configuration that the store holds may be older than one
// that was already in force. A store that came back from an older copy begins a
// new era and lacks what was written since the copy was made, until it is
// written again. A host knows this from the versions that it has had in force
// itself and from those that other hosts publish. A host that has just started
// has only the latter, so it waits for them if the copy shows that there are
// other hosts. Pure state machine, not thread-safe.
class ConfigFloor {
 public:
  // `peer_wait` is how long a host that has just started waits for the objects
  // of other hosts.
  explicit ConfigFloor(common::Duration peer_wait) : peer_wait(peer_wait) {}

  // The store answered in this era for the first time; 0 if it states none.
  void OnEra(uint64_t era, common::TimePoint now);
  // The configuration was read from the store in the present era.
  void OnStored(uint64_t version) { this->stored_version = version; }
  // The configuration is in force on this host.
  void OnInForce(uint64_t version);
  // Another host's object says that this version was in force there, and in
  // which era it was written; 0 if it does not say.
  void OnPeer(uint64_t era, uint64_t version);

  // Whether the store's configuration is known not to be older.
  bool IsMet(common::TimePoint now) const {
    return this->stored_version && *this->stored_version >= this->floor &&
           !this->AwaitsPeers(now);
  }
  // Whether a host may serve with this version of the configuration in force.
  bool Allows(uint64_t version, common::TimePoint now) const {
    return version >= this->floor && !this->AwaitsPeers(now);
  }

 private:
  bool AwaitsPeers(common::TimePoint now) const {
    return this->is_first_era && this->has_former_peer &&
           !this->has_present_peer && now - this->era_began < this->peer_wait;
  }

  common::Duration peer_wait;
  std::optional<uint64_t> current_era;
  common::TimePoint era_began;
  // Whether this host has known no other era.
  bool is_first_era = true;
  // Whether objects of other hosts were read that were written in a former era,
  // or in the present one.
  bool has_former_peer = false;
  bool has_present_peer = false;
  std::optional<uint64_t> stored_version;
  uint64_t floor = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_CONFIG_FLOOR_H_
