#ifndef CORE_ROLLOUT_ROLLOUT_PLAN_H_
#define CORE_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::rollout {

// State of an endpoint that the plan depends on.
struct PlannedEndpoint {
  std::string id;
  uint64_t version = 0;
  // Known requests in flight on the endpoint.
  int64_t in_flight = 0;
};

struct RolloutPlanOptions {
  // Largest share of the endpoints that are updated at the same time. As many
  // more are announced as upcoming.
  double max_updating_share = 0.28;
  // Time between the reservation, which the other hosts must learn of, and the
  // order.
  common::Duration notice = std::chrono::milliseconds(900);
  // An order without effect is sent again after this time.
  common::Duration order_timeout = std::chrono::milliseconds(4500);
};

// Rolling update of the endpoints of one model to a target version, a few at a
// time, the least loaded first. To make it drain quickly, an endpoint is first
// announced as upcoming, so that no long runs start on it, then reserved, so
// that all hosts stop sending to it, and only then gets the order. Pure state
// machine, not thread-safe.
class RolloutPlan {
 public:
  explicit RolloutPlan(RolloutPlanOptions options) : options(options) {}

  // Sets a newer target. Orders for the former target no longer count.
  void SetTarget(uint64_t version);
  uint64_t target() const { return this->version; }

  // Reserves the endpoints that are updated next. Returns whether the
  // reservations changed.
  bool Reserve(const std::vector<PlannedEndpoint>& endpoints,
               common::TimePoint now);
  // Reserved endpoints whose order is due.
  std::vector<std::string> Due(common::TimePoint now) const;
  // Endpoints that are executing an order.
  std::vector<std::string> Ordered() const;
  void OnOrdered(const std::string& id, common::TimePoint now);
  // The order was refused or not answered; it is sent again later.
  void OnOrderFailed(const std::string& id, common::TimePoint now);
  void OnUpdated(const std::string& id);

  // Sends no order to these endpoints before `until`, because they may be
  // executing orders of a former holder.
  void Defer(const std::vector<std::string>& ids, common::TimePoint until);

  std::vector<std::string> Reserved() const;
  const std::vector<std::string>& Upcoming() const { return this->upcoming; }

 private:
  struct Reservation {
    common::TimePoint reserved_at;
    // Zero if no order was sent yet.
    common::TimePoint ordered_at;
    bool is_ordered = false;
    common::TimePoint retry_at;
  };

  RolloutPlanOptions options;
  uint64_t version = 0;
  std::map<std::string, Reservation> reservations;
  std::map<std::string, common::TimePoint> deferred;
  // Sorted by the order in which they will be reserved.
  std::vector<std::string> upcoming;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ROLLOUT_PLAN_H_
