#ifndef CORE_ROLLOUT_INSISTENCE_H_
#define CORE_ROLLOUT_INSISTENCE_H_

#include "core/common/time.h"

namespace jujuberock::rollout {

// When a host learnt that a version of a model's weights is asked for.
struct VersionNotice {
  common::TimePoint learnt_at;
  // It is the first version of the model that this host knows, so the host has
  // just started and the version may have been named long before.
  bool is_first = false;
};

// From when on requests must run on the version, so that none begins on an
// older one later than `bound` after the version was named. Before that, they
// may go to engines that still have older weights.
common::TimePoint InsistFrom(const VersionNotice& notice,
                             common::Duration bound);

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_INSISTENCE_H_
