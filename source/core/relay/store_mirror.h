#ifndef CORE_RELAY_STORE_MIRROR_H_
#define CORE_RELAY_STORE_MIRROR_H_

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/common/time.h"
#include "core/relay/message.h"

namespace jujuberock::relay {

// What an answer about a kind says, and since when it holds.
struct AnswerOrigin {
  catalog::ObjectSource source = catalog::ObjectSource::kStore;
  uint64_t era = 0;
  // Earliest time at which the store can have said it.
  common::TimePoint confirmed_at;
};

// The objects of the watched kinds as this host last read them, with the last
// changes, to answer the reads of other hosts. Only what this host has from the
// store itself is passed on: hosts that repeated one another could keep a view
// alive that no store confirms. Pure state machine, not thread-safe.
class StoreMirror {
 public:
  // Changes of a kind that are kept for hosts that have not got them yet.
  static constexpr size_t kMaxChanges = 2048;
  // A view must be newer than that of the asking host by this much to be worth
  // an answer before the wait is over. More than the time that messages take,
  // by which the host overestimates the age of what it has.
  static constexpr common::Duration kMinGain = std::chrono::milliseconds(300);

  // Revision and era up to which this host knows the kind.
  struct Position {
    uint64_t era = 0;
    uint64_t revision = 0;
    common::TimePoint confirmed_at;
  };

  // Nothing before the first list.
  std::optional<Position> PositionOf(catalog::ObjectKind kind) const;
  void OnList(catalog::ObjectKind kind,
              const catalog::ObjectSnapshot& snapshot,
              const AnswerOrigin& origin);
  // Takes over the changes since `since` if the mirror is at that revision of
  // that era. `changed_after` is when they were certainly not made yet.
  void OnChanges(catalog::ObjectKind kind,
                 uint64_t since,
                 const catalog::ObjectChanges& changes,
                 const AnswerOrigin& origin,
                 std::optional<common::TimePoint> changed_after);
  // The store did not answer this host.
  void OnStoreFailure(catalog::ObjectKind kind);

  // Returns the answer to a request that arrived at `arrived_at`; nullopt if it
  // should wait for more.
  std::optional<RelayAnswer> Answer(const RelayRequest& request,
                                    common::TimePoint arrived_at,
                                    common::TimePoint now) const;

 private:
  // Changes from one revision to the next, as one answer reported them.
  struct Batch {
    uint64_t since = 0;
    uint64_t revision = 0;
    std::optional<common::TimePoint> changed_after;
    std::vector<catalog::ObjectChange> changes;
  };
  struct Kind {
    bool is_known = false;
    // Whether the last answer came from the store itself.
    bool is_direct = false;
    bool is_store_failing = false;
    Position position;
    std::map<std::string, catalog::StoredObject> objects;
    // Without gaps, up to the revision of the position.
    std::deque<Batch> log;
    size_t logged_changes = 0;
  };

  Kind& Of(catalog::ObjectKind kind) {
    return this->kinds[static_cast<size_t>(kind)];
  }
  const Kind& Of(catalog::ObjectKind kind) const {
    return this->kinds[static_cast<size_t>(kind)];
  }
  static void AppendToLog(Kind& mirrored, Batch batch);
  static RelayAnswer AnswerList(const Kind& mirrored);
  // Nullopt if there are no changes since the revision.
  static std::optional<RelayAnswer> AnswerChanges(const Kind& mirrored,
                                                  uint64_t since,
                                                  common::TimePoint arrived_at);

  std::array<Kind, catalog::kObjectKindCount> kinds;
};

}  // namespace jujuberock::relay

#endif  // CORE_RELAY_STORE_MIRROR_H_
