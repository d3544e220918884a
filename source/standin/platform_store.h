#ifndef STANDIN_PLATFORM_STORE_H_
#define STANDIN_PLATFORM_STORE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

namespace jujuberock::standin {

struct StoredObject {
  std::string kind;
  std::string name;
  uint64_t version = 0;
  bool deleted = false;
  std::string token;
  nlohmann::json body;

  // As returned by reads and lists.
  nlohmann::json ToJson() const;
  // As a line of a watch.
  nlohmann::json ToWatchJson() const;
};

// The objects of the platform, with one version counter for all of them.
// Deleted objects stay as tombstones.
class PlatformStore {
 public:
  // The object unless it is absent or deleted.
  const StoredObject* Find(const std::string& kind,
                           const std::string& name) const;

  // Writes when the object's version is `expected`, where 0 stands for
  // absent. Returns the new version, or nothing after a mismatch.
  std::optional<uint64_t> Write(const std::string& kind,
                                const std::string& name,
                                uint64_t expected,
                                const std::string& token,
                                nlohmann::json body);
  std::optional<uint64_t> Delete(const std::string& kind,
                                 const std::string& name,
                                 uint64_t expected);

  // Live objects of the kind in the order of their names.
  std::vector<const StoredObject*> List(const std::string& kind) const;

  // The last change of each object of the kind after `since`, tombstones
  // included, in the order of versions.
  std::vector<const StoredObject*> ChangesSince(const std::string& kind,
                                                uint64_t since) const;

  uint64_t version() const { return this->counter; }

 private:
  uint64_t VersionOf(const std::string& kind, const std::string& name) const;

  std::map<std::pair<std::string, std::string>, StoredObject> objects;
  uint64_t counter = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_PLATFORM_STORE_H_
