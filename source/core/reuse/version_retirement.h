#ifndef CORE_REUSE_VERSION_RETIREMENT_H_
#define CORE_REUSE_VERSION_RETIREMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::reuse {

// Weight version of an engine as this host knows it.
struct EngineVersion {
  std::string id;
  uint64_t version = 0;
};

// Determines the oldest weight version whose stored parts may still be read.
// A part is read only by an engine with the part's version, since every request
// names the version that its engine must have. So once every engine that is
// registered, or may come back, has had a newer version for longer than a read
// may take, no read of older parts is in progress and none can begin, whatever
// state other hosts have. Pure state machine, one per model; not thread-safe.
class VersionRetirement {
 public:
  // An engine that disappeared may come back with its former weights within
  // this time.
  static constexpr common::Duration kReturnTime = std::chrono::seconds(20);
  // Reads take at most 1.2 s, and version reports are a few hundred ms old.
  static constexpr common::Duration kDrainTime =
      std::chrono::milliseconds(1800);

  // Records the engines that are currently registered.
  void OnEngines(const std::vector<EngineVersion>& engines,
                 common::TimePoint now);
  // Parts of versions below this one are not read any more; 0 if that can't be
  // said of any version.
  uint64_t OldestInUse(common::TimePoint now) const;

 private:
  struct Engine {
    uint64_t version = 0;
    common::TimePoint seen_at;
  };

  // 0 if there are no engines or the version of one is unknown.
  uint64_t MinVersion() const;

  std::map<std::string, Engine> engines;
  uint64_t min_version = 0;
  common::TimePoint min_version_since;
  // Time of the first observation. Engines that disappeared before it are
  // unknown to this host.
  std::optional<common::TimePoint> observed_since;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_RETIREMENT_H_
