#ifndef CORE_ROUTING_LINK_BUDGET_H_
#define CORE_ROUTING_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::routing {

// One direction of a store's link, shared by the hosts of a deployment.
//
// Each host may use its part of the budget, and raise its use by its part of
// what all hosts together left unused in the last report. Over any period T the
// hosts together stay within
//   share * speed * (T + burst + one report interval) + one transfer per host,
// the last because a transfer may take the bucket below zero once.
class LinkBudget {
 public:
  LinkBudget(double share, common::Duration burst)
      : share(share), burst(burst) {}

  // `total_bytes` is the store's own count in this direction.
  void OnReport(double link_bytes_per_s,
                uint64_t total_bytes,
                bool learn_speed,
                common::TimePoint now);
  void SetHosts(size_t hosts);

  // Whether a transfer may begin.
  bool Open(common::TimePoint now) const;
  // Begins a transfer of this host.
  void Take(uint64_t bytes, common::TimePoint now);
  // The transfer has ended.
  void Complete(uint64_t bytes);

  // Seconds until `bytes` more would have arrived.
  double Seconds(uint64_t bytes, bool count_queue) const;
  // Whether no transfer of this host is under way and the others leave room.
  bool Idle(common::TimePoint now) const;

  double speed() const { return this->learned_speed; }

 private:
  double Refilled(common::TimePoint now) const;

  double share;
  common::Duration burst;
  size_t hosts = 1;
  double nominal_speed = 0;
  double learned_speed = 0;
  // Bytes per second that this host may use.
  double allowed_rate = 0;
  double bucket = 0;
  common::TimePoint refilled_at;
  uint64_t outstanding = 0;
  // Smallest backlog of this host since the last report.
  uint64_t least_outstanding = 0;
  uint64_t own_bytes = 0;
  uint64_t reported_total = 0;
  uint64_t reported_own = 0;
  common::TimePoint reported_at;
  bool reported = false;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_LINK_BUDGET_H_
