#ifndef CORE_TABLE_VIEW_H_
#define CORE_TABLE_VIEW_H_

#include <array>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "core/common/time.h"
#include "core/table/digest.h"
#include "core/table/snapshot.h"
#include "core/table/types.h"

namespace jujuberock::table {

struct ViewOptions {
  // Time zone of the deployment.
  std::chrono::minutes utc_offset{0};
  // Maximum number of tombstones; the oldest are dropped first. 20,000 take
  // about 4 MB and cover more than four days of changes at the target rate.
  size_t max_tombstones = 20'000;
  // Approximate limit on the object bytes in one delta. A bucket that differs
  // at equal max_version is sent whole and may exceed it.
  size_t max_delta_bytes = 256 * 1024;
};

// An object with an invalid body. It is stored and replicated, but the last
// valid row of that name stays in effect on hosts that had it.
struct InvalidObject {
  std::string kind;
  std::string name;
  Version version = 0;
  std::string detail;
};

// Replica of the table on one host. An object is only replaced by a higher
// version of itself, whichever source it comes from, so an accepted change
// never reverts. Not thread-safe; see SharedView.
class View {
 public:
  using Key = std::pair<std::string, std::string>;  // kind, name

  explicit View(ViewOptions options = {});

  // Merges one object. Returns true if it was newer than the stored one.
  // Objects of kinds that are not part of the table are ignored, and those with
  // an invalid name, which other hosts refuse.
  bool Apply(const Object& object);

  // Merges a complete list of one kind read from the platform. A stored object
  // that is older than the list and missing from it was deleted; with
  // `keep_former` only if it is of the list's era, since a store that has just
  // come back from a copy may have lost the others. Returns the objects that
  // changed.
  std::vector<Object> ApplyList(Kind kind,
                                const platform::ObjectList& list,
                                bool keep_former = false);

  const Digest& digest() const { return this->current_digest; }

  // Objects that the view with digest `other` may be missing, in ascending
  // version within each bucket. Repeated exchange in both directions makes the
  // views equal.
  Delta DeltaSince(const Digest& other) const;

  // All objects with a version above `after`; empty if their bodies exceed
  // `limit_bytes`.
  std::vector<Object> ObjectsNewerThan(Version after, size_t limit_bytes) const;

  // Returns the stored object, which may be a tombstone, or null.
  const Object* Find(std::string_view kind, std::string_view name) const;

  std::optional<EffectiveLimits> LimitsFor(std::string_view team,
                                           std::string_view service,
                                           common::UnixTime when) const;
  const Service* FindService(std::string_view name) const;

  // The current valid rows. Returns the same pointer until a row changes.
  SnapshotPtr snapshot();

  std::vector<InvalidObject> InvalidObjects() const;
  size_t CountInvalidObjects() const { return this->problems.size(); }
  size_t size() const { return this->objects.size(); }
  size_t tombstones() const { return this->tombstone_versions.size(); }

 private:
  bool IsStale(const Object& object, const Object* held) const;
  void Store(const Object& object);
  void UpdateRow(const Object& object);
  void EraseRow(const Object& object);
  void DropOldTombstones();

  ViewOptions options;
  std::map<Key, Object> objects;
  std::array<std::map<Version, std::vector<Key>>, kBucketCount> by_version;
  Digest current_digest;
  std::map<Version, std::vector<Key>> tombstone_versions;
  // Objects that are not stored and have a version up to this count as deleted,
  // since their tombstone may have been dropped.
  Version tombstone_floor = 0;
  std::map<Key, InvalidObject> problems;
  // Current valid rows; copied into a snapshot on demand.
  Snapshot rows;
  SnapshotPtr cached_snapshot;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_VIEW_H_
