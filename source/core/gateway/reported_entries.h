#ifndef CORE_GATEWAY_REPORTED_ENTRIES_H_
#define CORE_GATEWAY_REPORTED_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <tuple>

#include "core/catalog/object_store.h"

namespace jujuberock::gateway {

// Remembers which unreadable objects of the store were reported, so that lists
// and watches which return one again do not repeat the report.
class ReportedEntries {
 public:
  // Objects that are remembered; all are forgotten when there are more.
  static constexpr size_t kMaxEntries = 4096;

  // Returns whether this revision of the object was not reported yet.
  bool Add(catalog::ObjectKind kind, const catalog::StoredObject& object) {
    if (this->entries.size() >= kMaxEntries)
      this->entries.clear();
    return this->entries.emplace(kind, object.name, object.revision).second;
  }

 private:
  std::set<std::tuple<catalog::ObjectKind, std::string, uint64_t>> entries;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_REPORTED_ENTRIES_H_
