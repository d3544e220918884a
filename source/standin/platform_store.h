#ifndef STANDIN_PLATFORM_STORE_H_
#define STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jujuberock::standin {

struct StoredObject {
  std::string kind;
  std::string name;
  uint64_t version = 0;
  bool deleted = false;
  std::string token;
  // JSON text that is served as it is. It is not parsed, since it may be
  // malformed or nested too deep.
  std::string body;

  // JSON text in responses to reads and lists.
  std::string ToJson() const;
  // A line of a watch stream, without its end.
  std::string ToWatchJson() const;
};

// Versioned object store with one version counter for all objects. Deleted
// objects remain as tombstones.
class PlatformStore {
 public:
  // Returns null if the object is absent or deleted.
  const StoredObject* Find(const std::string& kind,
                           const std::string& name) const;

  // Conditional write (compare-and-swap): takes effect only if the object has
  // version `expected`, where 0 means absent. Returns the new version, or
  // nullopt on a version mismatch.
  std::optional<uint64_t> Write(const std::string& kind,
                                const std::string& name,
                                uint64_t expected,
                                const std::string& token,
                                const std::string& body);
  std::optional<uint64_t> Delete(const std::string& kind,
                                 const std::string& name,
                                 uint64_t expected);

  // Writes an object whatever its version is.
  void WriteAny(const std::string& kind,
                const std::string& name,
                const std::string& body);

  // Returns the objects of the kind that are not deleted, sorted by name.
  std::vector<const StoredObject*> List(const std::string& kind) const;

  // Returns the objects of the kind that changed after version `since`,
  // including tombstones, in version order. Earlier changes of an object are
  // not kept.
  std::vector<const StoredObject*> ChangesSince(const std::string& kind,
                                                uint64_t since) const;

  uint64_t version() const { return this->last_version; }
  // Rises by one each time that the store comes back from an older copy.
  uint64_t era() const { return this->current_era; }

  // Makes the copy that Restore() brings back.
  void Copy();
  // Drops what was written since the copy was made. Its versions are given out
  // again.
  void Restore();

 private:
  uint64_t VersionOf(const std::string& kind, const std::string& name) const;

  using Objects = std::map<std::pair<std::string, std::string>, StoredObject>;

  Objects objects;
  uint64_t last_version = 0;
  uint64_t current_era = 0;
  Objects copied_objects;
  uint64_t copied_version = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLATFORM_STORE_H_
