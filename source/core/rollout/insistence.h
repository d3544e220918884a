#ifndef CORE_ROLLOUT_INSISTENCE_H_
#define CORE_ROLLOUT_INSISTENCE_H_

#include <cstdint>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::rollout {

// Versions of one model's weights that were named, and from when on requests
// must run on each, so that none begins on an older one later than `bound`
// after the naming. Before that, requests may go to engines with older weights.
// A newer name does not lift what an earlier one requires. Not thread-safe.
class NamedVersions {
 public:
  // This host has learnt that a version is asked for. Returns whether it is the
  // newest.
  bool OnNamed(uint64_t version, common::Duration bound, common::TimePoint now);
  // 0 before any was named.
  uint64_t newest() const;
  // The oldest version that a request may begin on; 0 for any.
  uint64_t RequiredAt(common::TimePoint now) const;

 private:
  struct Named {
    uint64_t version = 0;
    common::TimePoint insist_from;
  };

  // Ascending; those before the one that is required are dropped.
  std::vector<Named> named;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_INSISTENCE_H_
