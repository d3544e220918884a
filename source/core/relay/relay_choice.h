#ifndef CORE_RELAY_RELAY_CHOICE_H_
#define CORE_RELAY_RELAY_CHOICE_H_

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::relay {

// Hosts of a zone that watch the store for the others. More than one, so that
// the loss of one leaves the others with little more to do.
inline constexpr size_t kRelaysPerZone = 3;

struct RelayHost {
  std::string name;
  // Address of its relay server.
  std::string address;

  friend bool operator==(const RelayHost&, const RelayHost&) = default;
};

struct RelayChoiceOptions {
  std::string own_name;
  std::string zone;
  // Hosts in the zone from which on there are relays; 0: never.
  size_t min_hosts = 0;
};

// Decides whether this host watches the platform's store itself, and which
// relay it asks otherwise. All hosts rank the hosts of the zone in the same
// order; the first that answer are the relays. Hosts need not agree: one that
// is asked although it is no relay by its own view becomes one for a while.
// Pure state machine, not thread-safe.
class RelayChoice {
 public:
  explicit RelayChoice(RelayChoiceOptions options);

  // A host that was asked serves and watches for this time.
  static constexpr common::Duration kDemandPeriod = std::chrono::seconds(4);
  // A relay that refused is not asked for this time. It stays a relay: another
  // in its place would have to begin to watch the store.
  static constexpr common::Duration kRefusedPause =
      std::chrono::milliseconds(500);
  // The same for one that did not answer. Doubles with each failure in a row.
  static constexpr common::Duration kSilentPause = std::chrono::seconds(5);
  static constexpr common::Duration kMaxSilentPause = std::chrono::seconds(60);

  // Sets the other hosts of the zone that can be relays.
  void SetHosts(std::vector<RelayHost> hosts);

  // Whether this host watches the store, for itself and maybe for others.
  bool IsRelay(common::TimePoint now) const;
  // Whether this host reads from relays when they have a view.
  bool IsFollower(common::TimePoint now) const {
    return this->AreRelaysUsed() && !this->IsRelay(now);
  }
  // Returns the relay to ask; nullopt if the store itself must be asked.
  std::optional<RelayHost> Choose(common::TimePoint now) const;

  // Another host has asked this one for its view.
  void OnAsked(common::TimePoint now) {
    this->serves_until = now + kDemandPeriod;
  }
  void OnAnswer(const std::string& name);
  // The relay has no view that is of use.
  void OnRefused(const std::string& name, common::TimePoint now);
  // The relay did not answer, or not in a way that can be understood.
  void OnSilent(const std::string& name, common::TimePoint now);

 private:
  struct Failures {
    common::TimePoint silent_until;
    common::TimePoint refused_until;
    int silences = 0;
  };

  bool AreRelaysUsed() const;
  bool IsSilent(const std::string& name, common::TimePoint now) const;
  bool HasRefused(const std::string& name, common::TimePoint now) const;
  // Positions in `ranked` of the first hosts that are not silent.
  std::vector<size_t> Relays(common::TimePoint now) const;

  RelayChoiceOptions options;
  // The hosts of the zone, with this one, by rank.
  std::vector<RelayHost> ranked;
  std::map<std::string, Failures> failures;
  std::optional<common::TimePoint> serves_until;
};

}  // namespace jujuberock::relay

#endif  // CORE_RELAY_RELAY_CHOICE_H_
