#ifndef CORE_ROLLOUT_ROLLOUT_PLAN_H_
#define CORE_ROLLOUT_ROLLOUT_PLAN_H_

#include <cstdint>
#include <map>
#include <optional>
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
  // Share of the endpoints that load weights at the same time. Loads slow each
  // other down beyond about this share. At most as many more are reserved while
  // these load.
  double max_loading_share = 0.2;
  // Time between the reservation, which the other hosts must learn of, and the
  // order. Most runs on the endpoint end within it.
  common::Duration notice = std::chrono::milliseconds(900);
  // An order without effect is sent again after this time.
  common::Duration order_timeout = std::chrono::milliseconds(4500);
};

// Rolling update of the endpoints of one model to a target version, a few at a
// time: those with the oldest weights first, and among these the least loaded.
// An endpoint is first reserved, so that all hosts stop sending to it, and gets
// the order after the notice. The next endpoints are reserved early enough for
// their notice to end when the current ones have loaded. Pure state machine,
// not thread-safe.
class RolloutPlan {
 public:
  explicit RolloutPlan(RolloutPlanOptions options) : options(options) {}

  // Sets a newer target. Orders for the former target no longer count.
  void SetTarget(uint64_t version);
  uint64_t target() const { return this->version; }

  // Reserves the endpoints that are updated next. An endpoint that has reached
  // the target or is gone loses its reservation. Returns whether the
  // reservations changed.
  bool Reserve(const std::vector<PlannedEndpoint>& endpoints,
               common::TimePoint now);
  // Reserved endpoints whose order is due and may be sent now, the longest
  // reserved first.
  std::vector<std::string> Due(common::TimePoint now) const;
  // Endpoints that are executing an order.
  std::vector<std::string> Ordered() const;
  void OnOrdered(const std::string& id, common::TimePoint now);
  // The order was refused or not answered. It is sent again later; after
  // several failures other endpoints come first.
  void OnOrderFailed(const std::string& id, common::TimePoint now);
  void OnUpdated(const std::string& id, common::TimePoint now);

  // Sends no order to these endpoints before `until`, because they may be
  // executing orders of a former holder.
  void Defer(const std::vector<std::string>& ids, common::TimePoint until);

  std::vector<std::string> Reserved() const;

 private:
  struct Reservation {
    common::TimePoint reserved_at;
    // Zero if no order was sent yet.
    common::TimePoint ordered_at;
    bool is_ordered = false;
    common::TimePoint retry_at;
    int failures = 0;
  };

  bool IsLoading(const Reservation& reservation, common::TimePoint now) const;
  // Number of endpoints that may load at the same time.
  size_t MaxLoading(size_t endpoint_count) const;
  // Number of endpoints to reserve now.
  size_t CountToReserve(common::TimePoint now) const;
  // Outdated endpoints without a reservation, in the order of their update.
  std::vector<std::string> Candidates(std::vector<PlannedEndpoint> endpoints,
                                      common::TimePoint now) const;
  bool IsDeferred(const std::string& id, common::TimePoint now) const;

  RolloutPlanOptions options;
  uint64_t version = 0;
  std::map<std::string, Reservation> reservations;
  std::map<std::string, common::TimePoint> deferred;
  size_t max_loading = 1;
  // Usual time from an order until the endpoint has the version; nullopt until
  // an endpoint was updated.
  std::optional<common::Duration> load_time;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ROLLOUT_PLAN_H_
