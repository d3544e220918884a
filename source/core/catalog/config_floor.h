#ifndef CORE_CATALOG_CONFIG_FLOOR_H_
#define CORE_CATALOG_CONFIG_FLOOR_H_

#include <cstdint>
#include <optional>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::catalog {

// Why a host counts as knowing the configurations that were in force before the
// present era of the store.
enum class EraKnowledge {
  kNone,
  kOwnView,       // it had a recent answer of the store in the former era
  kNoOtherHosts,  // no other host knows a former era
  kPeer,          // a host that knows has published what was in force
  kRewrite,       // the operator has written the configuration in this era
  kTimeout,       // nobody has said so in time
};

inline constexpr common::NameTable<EraKnowledge, 6> kEraKnowledgeNames(
    {"none", "own_view", "no_other_hosts", "peer", "rewrite", "timeout"});

// What a host publishes about the configuration.
struct PeerConfig {
  // Era of the store in which it was written; 0 if unknown.
  uint64_t era = 0;
  // No older configuration may be in force.
  uint64_t version = 0;
  // Whether the host knew what was in force before that era. Nothing if it has
  // not found out yet, or runs a version of the program that does not say so.
  std::optional<bool> is_known;
};

struct ConfigFloorOptions {
  // How long a host that does not know what was in force before the present era
  // waits for one that does.
  common::Duration peer_wait;
  // A host whose last answer in the former era is older than this may have
  // missed a configuration.
  common::Duration max_gap;
};

// Decides whether the configuration that the store holds may be older than one
// that was already in force. A store that came back from an older copy begins a
// new era and lacks what was written since the copy was made, until it is
// written again. A host that read the store until the former era ended knows
// what was in force then. A host that did not, because it has just started or
// was cut off from the store, has to learn it from one that knows, or from what
// the operator writes. Pure state machine, not thread-safe.
class ConfigFloor {
 public:
  explicit ConfigFloor(ConfigFloorOptions options) : options(options) {}

  // The store answered in this era for the first time; 0 if it states none.
  void OnEra(uint64_t era, common::TimePoint now);
  // The configuration was read from the store in the present era. `revision` is
  // that of the object.
  void OnStored(uint64_t version, uint64_t revision);
  // The store held the configurations reported so far at `answered_at`, and no
  // newer one.
  void OnAnswer(common::TimePoint answered_at, common::TimePoint now);
  // The configuration is in force on this host.
  void OnInForce(uint64_t version);
  // The object of another host, or of the former process of this one, was read.
  void OnPeer(const PeerConfig& peer);
  // The objects of all hosts in the store have been reported.
  void OnPeersRead();
  // Applies the end of the wait; called periodically.
  void OnTick(common::TimePoint now);

  // Whether the store's configuration is known not to be older.
  bool IsMet(common::TimePoint now) const {
    return this->stored_version && *this->stored_version >= this->floor &&
           !this->AwaitsPeers(now);
  }
  // Whether a host may serve with this version of the configuration in force.
  // One that has served before may go on with requests that need no key.
  bool Allows(uint64_t version, common::TimePoint now) const {
    return version >= this->floor &&
           (this->has_known || !this->AwaitsPeers(now));
  }
  EraKnowledge knowledge() const { return this->era_knowledge; }
  // What this host publishes. Its own configuration may still be older than
  // what it was told of.
  PeerConfig ForPeers() const;

 private:
  bool AwaitsPeers(common::TimePoint now) const {
    return this->current_era && this->era_knowledge == EraKnowledge::kNone &&
           (!this->is_first_era || this->has_ignorant_peer) &&
           now - this->era_began < this->options.peer_wait;
  }
  void SetKnowledge(EraKnowledge knowledge);

  ConfigFloorOptions options;
  std::optional<uint64_t> current_era;
  common::TimePoint era_began;
  // Whether this host has known no other era.
  bool is_first_era = true;
  // Whether objects of hosts were read that were written in a former era, or by
  // a host that does not know what was in force then.
  bool has_ignorant_peer = false;
  bool are_peers_read = false;
  EraKnowledge era_knowledge = EraKnowledge::kNone;
  // Whether this host has known what is in force, in any era.
  bool has_known = false;
  // Up to when this host knows of all configurations that the store has held.
  std::optional<common::TimePoint> known_until;
  std::optional<uint64_t> stored_version;
  // Revision of the first configuration that was read in this era.
  std::optional<uint64_t> first_revision;
  uint64_t floor = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_CONFIG_FLOOR_H_
