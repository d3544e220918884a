#ifndef CORE_SERVE_GUARDED_H_
#define CORE_SERVE_GUARDED_H_

#include <string>
#include <utility>

#include "core/admission/controller.h"
#include "core/admission/retry_budget.h"
#include "core/common/ranked_mutex.h"
#include "core/routing/router.h"
#include "core/suspects/part_suspects.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// An object protected by a ranked mutex. The function passed to With() runs
// under the mutex and must not suspend the fiber.
template <typename Object, common::LockRank kRank>
class Guarded {
 public:
  template <typename... Args>
  explicit Guarded(Args&&... args) : object(std::forward<Args>(args)...) {}

  template <typename Function>
  auto With(Function function) {
    common::RankedLock lock(this->mutex);
    return function(this->object);
  }

 private:
  common::RankedMutex mutex{kRank};
  Object object;
};

using GuardedRouter = Guarded<routing::Router, common::LockRank::kRouting>;
using GuardedBudget =
    Guarded<admission::RetryBudget, common::LockRank::kAdmission>;
using GuardedSuspects =
    Guarded<suspects::SuspectList, common::LockRank::kSuspects>;
using GuardedPartSuspects =
    Guarded<suspects::PartSuspects, common::LockRank::kSuspects>;

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_GUARDED_H_
