#ifndef CORE_REUSE_RETIREMENT_H_
#define CORE_REUSE_RETIREMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::reuse {

// An engine as its host knows it.
struct EngineVersion {
  std::string id;
  uint64_t version = 0;
};

// Tells from which weight version on stored parts may still be read. A read of
// a part begins on an engine that has the part's version, since every request
// names the version that its engine must have. So when every engine that is
// there, or may come back, has had a newer version for longer than a read may
// take, no read of older parts is going on and none can begin, whatever other
// hosts believe. Pure state machine, one for each model; not thread-safe.
class Retirement {
 public:
  // An engine that is gone may come back with the weights that it had.
  static constexpr common::Duration kReturnTime = std::chrono::seconds(20);
  // Reads take 1.2 s at most; reports of versions are some hundred ms old.
  static constexpr common::Duration kQuietTime =
      std::chrono::milliseconds(1800);

  // The engines that are registered now.
  void OnEngines(const std::vector<EngineVersion>& engines,
                 common::TimePoint now);
  // Parts of versions below this one are read by nobody any more; 0 when that
  // is true of none.
  uint64_t OldestInUse(common::TimePoint now) const;

 private:
  struct Engine {
    uint64_t version = 0;
    common::TimePoint seen_at;
  };

  // 0 when the version of an engine is not known.
  uint64_t LeastVersion() const;

  std::map<std::string, Engine> engines;
  uint64_t least = 0;
  common::TimePoint least_since;
  // Engines that were lost before this moment are not known here.
  std::optional<common::TimePoint> began_at;
};

}  // namespace jujuberock::reuse

#endif  // CORE_REUSE_RETIREMENT_H_
