#ifndef CORE_CATALOG_EVACUATIONS_H_
#define CORE_CATALOG_EVACUATIONS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/name_table.h"
#include "core/common/time.h"

namespace jujuberock::catalog {

// What the store said of the evacuation of a zone: that it began, or that it
// ended, with the era and the revision of that change.
struct EvacuationRecord {
  uint64_t era = 0;
  uint64_t revision = 0;
  bool is_ended = false;

  // The later change is greater. The store may state the end of an evacuation
  // with the revision of its beginning.
  friend auto operator<=>(const EvacuationRecord&,
                          const EvacuationRecord&) = default;
};

// The same in a message between hosts, which identifies the zone by the hash of
// its name.
struct PeerEvacuation {
  uint64_t zone = 0;
  EvacuationRecord record;

  friend bool operator==(const PeerEvacuation&,
                         const PeerEvacuation&) = default;
};

// Where a change was learned from.
enum class EvacuationSource { kStore, kPeer };

inline constexpr common::NameTable<EvacuationSource, 2> kEvacuationSourceNames(
    {"store", "peer"});

// The zones that the operator has evacuated: their endpoints get no new
// requests until that is taken back. The store's answers decide. A host that
// can't reach it goes by what other hosts repeat of them; the record of the
// latest change wins, so that a message which arrives late brings back nothing.
// Pure state machine, not thread-safe.
class Evacuations {
 public:
  // Zones that are remembered, those whose evacuation ended included.
  static constexpr size_t kMaxZones = 48;

  struct Change {
    uint64_t zone_hash = 0;
    // Empty if only the hash of the name is known.
    std::string zone;
    EvacuationRecord record;
    EvacuationSource source = EvacuationSource::kStore;
  };

  // The store holds an evacuation of the zone, or it does no more. These return
  // the change if there is one.
  std::optional<Change> OnStored(std::string_view zone,
                                 const EvacuationRecord& record,
                                 common::TimePoint now);
  // The store's list, as of this era and revision, has only these zones.
  std::vector<Change> OnListed(const std::vector<std::string>& zones,
                               uint64_t era,
                               uint64_t revision,
                               common::TimePoint now);
  std::optional<Change> OnPeer(const PeerEvacuation& told,
                               common::TimePoint now);

  bool IsEvacuated(std::string_view zone) const;
  // What other hosts are to be told: all that stand, and those that have ended
  // or were asked about a short time ago.
  std::vector<PeerEvacuation> ForPeers(common::TimePoint now) const;

 private:
  // Hosts repeat the end of an evacuation for this long after they learned it,
  // or after another host was seen to go by an earlier change.
  static constexpr common::Duration kRepeatTime = std::chrono::seconds(30);

  struct Entry {
    std::string zone;
    EvacuationRecord record;
    common::TimePoint changed_at;
    common::TimePoint repeat_until;
  };

  std::optional<Change> Merge(uint64_t hash,
                              std::string_view zone,
                              const EvacuationRecord& record,
                              EvacuationSource source,
                              common::TimePoint now);
  // Makes room for another zone. Returns false if there is none. What only
  // other hosts told makes room for what the store says.
  bool MakeRoom(EvacuationSource source);

  // By hash of the zone's name.
  std::map<uint64_t, Entry> entries;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_EVACUATIONS_H_
