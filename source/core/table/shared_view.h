#ifndef CORE_TABLE_SHARED_VIEW_H_
#define CORE_TABLE_SHARED_VIEW_H_

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "core/common/ranked_mutex.h"
#include "core/table/view.h"

namespace jujuberock::table {

// A thread-safe View shared by the workers of a host. Readers on the request
// path use Current() and never wait for a merge.
class SharedView {
 public:
  explicit SharedView(ViewOptions options = {});

  // Called after each merge that changed something, on the merging fiber and
  // without the lock held. Concurrent merges may call it concurrently. Must be
  // set before the first merge.
  using Listener = std::function<void(const std::vector<Object>& changed)>;
  void SetListener(Listener listener) { this->listener = std::move(listener); }

  // The current valid rows. Keep the pointer while using rows of the snapshot.
  SnapshotPtr Current() const { return this->current.load(); }

  // Merge objects, publish a new snapshot if anything changed, and return the
  // objects that changed.
  std::vector<Object> Apply(const std::vector<Object>& objects);
  std::vector<Object> ApplyList(Kind kind,
                                const platform::ObjectList& list,
                                bool keep_former);

  Digest MakeDigest() const;
  DigestSummary Summary() const;
  Delta DeltaSince(const Digest& other) const;
  std::vector<Object> ObjectsNewerThan(Version after, size_t limit_bytes) const;
  std::optional<Object> Find(std::string_view kind,
                             std::string_view name) const;
  std::vector<InvalidObject> InvalidObjects() const;
  size_t CountInvalidObjects() const;
  size_t size() const;

 private:
  std::vector<Object> Merge(
      const std::function<std::vector<Object>(View*)>& merge);

  mutable common::RankedMutex mutex{common::LockRank::kTable};
  View view;
  std::atomic<SnapshotPtr> current;
  Listener listener;
};

}  // namespace jujuberock::table

#endif  // CORE_TABLE_SHARED_VIEW_H_
