#ifndef CORE_ROLLOUT_ROLLOUT_PLAN_H_
#define CORE_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::rollout {

// An endpoint as the plan sees it.
struct PlannedEndpoint {
  std::string id;
  uint64_t version = 0;
  // Requests that run there, as far as known.
  int64_t in_flight = 0;
};

struct RolloutPlanOptions {
  // Share of the endpoints that change at the same time, and of those that are
  // announced as next.
  double changing_share = 0.28;
  // Time between telling the other hosts and the order.
  common::Duration notice = std::chrono::milliseconds(900);
  // An order without effect is given again after this time.
  common::Duration order_timeout = std::chrono::milliseconds(4500);
};

// Brings the endpoints of one model to a version, a few at a time, those with
// the least work first. An endpoint is first announced, so that no long runs
// begin there, then reserved, so that all hosts stop sending there, and then
// gets the order; so it drains quickly. Pure state machine, not thread-safe.
class RolloutPlan {
 public:
  explicit RolloutPlan(RolloutPlanOptions options) : options(options) {}

  // A new target forgets the orders for the former one.
  void SetTarget(uint64_t version);
  uint64_t target() const { return this->version; }

  // Reserves what may change next. Returns whether the reservations changed.
  bool Reserve(const std::vector<PlannedEndpoint>& endpoints,
               common::TimePoint now);
  // Reserved endpoints that may get the order now.
  std::vector<std::string> Due(common::TimePoint now) const;
  // Endpoints that carry out an order.
  std::vector<std::string> Ordered() const;
  void OnOrdered(const std::string& id, common::TimePoint now);
  // The order was refused or got no answer; it is given again later.
  void OnOrderFailed(const std::string& id, common::TimePoint now);
  void OnUpdated(const std::string& id);

  // These may carry out orders of another holder; they get none before
  // `until`.
  void Defer(const std::vector<std::string>& ids, common::TimePoint until);

  std::vector<std::string> Reserved() const;
  const std::vector<std::string>& Upcoming() const { return this->upcoming; }

 private:
  struct Change {
    common::TimePoint reserved_at;
    // Zero before the order.
    common::TimePoint ordered_at;
    bool is_ordered = false;
    common::TimePoint not_before;
  };

  RolloutPlanOptions options;
  uint64_t version = 0;
  std::map<std::string, Change> changes;
  std::map<std::string, common::TimePoint> deferred;
  // In the order in which they are reserved.
  std::vector<std::string> upcoming;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ROLLOUT_PLAN_H_
