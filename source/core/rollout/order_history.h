#ifndef CORE_ROLLOUT_ORDER_HISTORY_H_
#define CORE_ROLLOUT_ORDER_HISTORY_H_

#include <optional>

#include "core/common/time.h"

namespace jujuberock::rollout {

// When this host sent its last order to an engine; nothing if it sent none
// since it started.
struct OrderHistory {
  std::optional<common::TimePoint> last_order_at;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ORDER_HISTORY_H_
