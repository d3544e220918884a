#ifndef CORE_CATALOG_OBJECT_STORE_H_
#define CORE_CATALOG_OBJECT_STORE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::catalog {

// The kinds of objects that hosts read.
enum class ObjectKind { kConfig, kEndpoints, kVersions, kHosts };

// One object of the platform's store. `content` is JSON text that only the
// platform adapter and the owner of the kind can read.
struct StoredObject {
  std::string name;
  // The store's revision of its last change.
  uint64_t revision = 0;
  std::string content;
};

struct ObjectChange {
  StoredObject object;
  bool deleted = false;
};

struct ObjectSnapshot {
  std::vector<StoredObject> objects;
  uint64_t revision = 0;
};

struct ObjectChanges {
  std::vector<ObjectChange> changes;
  uint64_t revision = 0;
  // The history is gone; the kind must be listed again.
  bool history_gone = false;
};

enum class WriteState {
  kWritten,
  kConflict,  // another revision is in force; nothing was changed
  kRefused,   // nothing was changed: rate limit, outage
  kUnknown,   // no answer: the write may take effect now, later or never
};

struct WriteReply {
  WriteState state = WriteState::kUnknown;
  // The object in force after kWritten and kConflict, when known.
  std::optional<StoredObject> current;
};

// Reads and writes objects of the platform's store. Every method suspends the
// calling fiber. Reads throw common::Error kPlatformUnavailable,
// kPlatformRateLimited or kProtocolError.
class ObjectStore {
 public:
  virtual ~ObjectStore() = default;

  virtual ObjectSnapshot List(ObjectKind kind) = 0;
  // Changes after `revision`; waits up to `wait` for the first one.
  virtual ObjectChanges Watch(ObjectKind kind,
                              uint64_t revision,
                              common::Duration wait) = 0;
  virtual std::optional<StoredObject> Read(ObjectKind kind,
                                           std::string_view name) = 0;
  virtual WriteReply Create(ObjectKind kind,
                            std::string_view name,
                            std::string_view content) = 0;
  // Replaces the content when the object's revision is `expected`.
  virtual WriteReply Replace(ObjectKind kind,
                             std::string_view name,
                             uint64_t expected,
                             std::string_view content) = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_OBJECT_STORE_H_
