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
  // Tombstones kept; the oldest are dropped beyond that. 20,000 take about
  // 4 MB and are more than four days of changes at the target rate.
  size_t max_tombstones = 20'000;
  // Approximate bytes of bodies in one delta.
  size_t delta_bytes = 256 * 1024;
};

// An object that is held and passed on but whose body is not valid. The last
// valid row of that name stays in force on hosts that had it.
struct Problem {
  std::string kind;
  std::string name;
  Version version = 0;
  std::string detail;
};

// The merged configuration of one host. Each object only moves to higher
// versions, by whichever path it arrives, so an accepted change never reverts.
// Not thread-safe; see SharedView.
class View {
 public:
  using Key = std::pair<std::string, std::string>;  // kind, name

  explicit View(ViewOptions options = {});

  // Merges one object. True when it was newer than what was held. Objects of
  // kinds that the table does not merge are ignored.
  bool Apply(const Object& object);

  // Merges a whole list of one kind read from the platform: objects that are
  // held at a version up to the list's and are missing from it were deleted.
  // Returns the objects that changed.
  std::vector<Object> ApplyList(Kind kind, const platform::ObjectList& list);

  const Digest& digest() const { return this->current_digest; }

  // Objects that the holder of `other` may lack, in ascending version inside
  // each bucket. Repeated exchange in both directions makes views equal.
  Delta DeltaSince(const Digest& other) const;

  // Every object above `after`, or nothing when their bodies exceed `limit`.
  std::vector<Object> Newest(Version after, size_t limit_bytes) const;

  // What is held of one object, tombstones included.
  const Object* Find(std::string_view kind, std::string_view name) const;

  std::optional<Row> RowFor(std::string_view team,
                            std::string_view service,
                            common::UnixTime when) const;
  const Service* ServicePolicy(std::string_view name) const;

  // The valid rows now; the same pointer until a row changes.
  SnapshotPtr snapshot();

  std::vector<Problem> Problems() const;
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
  std::array<std::map<Version, std::vector<Key>>, kBuckets> by_version;
  Digest current_digest;
  std::map<Version, std::vector<Key>> tombstone_versions;
  // Unknown objects up to this version count as deleted, since their
  // tombstone may have been dropped.
  Version tombstone_floor = 0;
  std::map<Key, Problem> problems;
  // Rows in force; copied into a snapshot when one is asked for.
  Snapshot rows;
  SnapshotPtr published;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_VIEW_H_
