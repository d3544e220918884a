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
  // Time between the stored reservation, which the other hosts must learn of,
  // and the order. Most runs on the endpoint end within it.
  common::Duration notice = std::chrono::milliseconds(900);
  // Without any report, an accepted order counts as executing for this time.
  common::Duration order_timeout = std::chrono::milliseconds(4500);
  // Maximum age of an endpoint's report. A report within this time after an
  // accepted order may not show it yet.
  common::Duration max_report_age = std::chrono::milliseconds(1000);
};

// Rolling update of the endpoints of one model to a target version, a few at a
// time: those with the oldest weights first, and among these the least loaded.
// An endpoint is first reserved, so that all hosts stop sending to it, and gets
// the order after the notice, which begins when the store has the reservation:
// the next holder of the lease knows only those. The next endpoints are
// reserved early enough for their notice to end when the current ones have
// loaded. Pure state machine, not thread-safe.
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
  // The store has acknowledged the reservations of these endpoints.
  void OnStored(const std::vector<std::string>& ids, common::TimePoint now);
  // Reserved endpoints whose order is due and may be sent now: those whose
  // order was not answered, then the longest reserved.
  std::vector<std::string> Due(common::TimePoint now) const;
  // Endpoints that are or may be executing an order.
  std::vector<std::string> Ordered() const;
  // The endpoint accepted the order.
  void OnOrdered(const std::string& id, common::TimePoint now);
  // The order was not answered: it may be executed now, later or never. It is
  // sent again at once, because each order is valid only for the sequence
  // number that it expects, so that the endpoint executes at most one of the
  // copies.
  void OnOrderUnanswered(const std::string& id, common::TimePoint now);
  // The order was refused, or the endpoint did not report. It is sent again
  // later; after several failures other endpoints come first.
  void OnOrderFailed(const std::string& id, common::TimePoint now);
  // The endpoint reported an older version than the target, and whether it is
  // executing an order.
  void OnReport(const std::string& id, bool busy, common::TimePoint now);
  void OnUpdated(const std::string& id, common::TimePoint now);

  // Sends no order to these endpoints before `until`, because they may be
  // executing orders of a former holder.
  void Defer(const std::vector<std::string>& ids, common::TimePoint until);
  // Sends no order at all before `until`.
  void DeferAll(common::TimePoint until) { this->earliest_order = until; }

  std::vector<std::string> Reserved() const;

 private:
  enum class OrderState {
    kNone,       // no order, or one that had no effect
    kUncertain,  // an order may be executed at any time
    kExecuting,  // the endpoint accepted an order or reported that it is busy
  };

  struct Reservation {
    common::TimePoint reserved_at;
    // Nothing until the store has acknowledged the reservation.
    std::optional<common::TimePoint> stored_at;
    OrderState state = OrderState::kNone;
    // Time of the first order that may have taken effect.
    common::TimePoint ordered_at;
    // Last evidence that the endpoint is executing an order.
    common::TimePoint active_at;
    // From this time on, a report without a running order means that none is
    // running.
    common::TimePoint idle_valid_from;
    common::TimePoint retry_at;
    int failures = 0;
  };

  // Whether the endpoint counts towards the limit of concurrent loads.
  bool IsLoading(const Reservation& reservation, common::TimePoint now) const;
  // Start of the load, or the earliest start if the order was not accepted yet.
  static common::TimePoint LoadStart(const Reservation& reservation,
                                     common::TimePoint now);
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
  common::TimePoint earliest_order;
  size_t max_loading = 1;
  // Usual time from an order until the endpoint has the version; nullopt until
  // an endpoint was updated.
  std::optional<common::Duration> load_time;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ROLLOUT_PLAN_H_
