#ifndef CORE_SERVE_DECISIONS_H_
#define CORE_SERVE_DECISIONS_H_

#include <string>
#include <utility>

#include "core/admission/controller.h"
#include "core/admission/retry_budget.h"
#include "core/common/ranked_mutex.h"
#include "core/routing/router.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::serve {

// A decision object behind its mutex. The function passed to With() must not
// suspend.
template <typename Decision, common::LockRank kRank>
class Guarded {
 public:
  template <typename... Args>
  explicit Guarded(Args&&... args) : decision(std::forward<Args>(args)...) {}

  template <typename Use>
  auto With(Use use) {
    common::RankedLock lock(this->mutex);
    return use(this->decision);
  }

 private:
  common::RankedMutex mutex{kRank};
  Decision decision;
};

using GuardedRouter = Guarded<routing::Router, common::LockRank::kRouting>;
using GuardedBudget =
    Guarded<admission::RetryBudget, common::LockRank::kAdmission>;
using GuardedSuspects =
    Guarded<suspects::SuspectList, common::LockRank::kSuspects>;

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_DECISIONS_H_
