#ifndef CORE_ROUTING_LINK_BUDGET_H_
#define CORE_ROUTING_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::routing {

// Rate limiter for one direction of a store's link, shared by all hosts of a
// deployment.
//
// Each host may use its even share of the budget, plus part of what all hosts
// together left unused in the last report. Over any period T the hosts together
// stay within
//   budget_share * speed * (T + burst + 2 report intervals) + one transfer per
//   host:
// a report interval may begin with the whole budget unused and end with three
// times the budget used, and a transfer may take a host's bucket below zero.
class LinkBudget {
 public:
  LinkBudget(double budget_share, common::Duration burst)
      : budget_share(budget_share), burst(burst) {}

  // `total_bytes` is the store's own byte counter for this direction. If
  // transfers are late and the link moves less than the hosts demand, its
  // observed throughput is taken as its speed.
  void OnReport(double link_bytes_per_s,
                uint64_t total_bytes,
                bool transfers_late,
                common::TimePoint now);
  void SetHostCount(size_t hosts);

  // Whether the budget allows a transfer to start.
  bool CanStart(common::TimePoint now) const;
  // Charges a transfer of this host to the budget.
  void Charge(uint64_t bytes, common::TimePoint now);

  // Seconds until the transfers that this host started have completed.
  double QueueSeconds(common::TimePoint now) const;
  // Seconds that a transfer takes on an idle link.
  double TransferSeconds(uint64_t bytes) const;

  double speed() const { return this->learned_speed; }

 private:
  double BucketAt(common::TimePoint now) const;
  double BacklogAt(common::TimePoint now) const;

  double budget_share;
  common::Duration burst;
  size_t host_count = 1;
  double nominal_speed = 0;
  double learned_speed = 0;
  // Bytes per second that this host may use.
  double allowed_rate = 0;
  double bucket = 0;
  common::TimePoint refilled_at;
  // Bytes of this host's transfers still on the link, drained at the learned
  // speed. The end of a transfer can not be observed: the first token may come
  // much later if the endpoint has a long queue.
  double backlog = 0;
  common::TimePoint drained_at;
  // Bytes charged since the last report.
  uint64_t own_bytes = 0;
  // Moving averages of the rate that this host demanded and of the rate that
  // the link delivered to all hosts.
  double demanded_rate = 0;
  double delivered_rate = 0;
  uint64_t reported_total = 0;
  // Throughput of all hosts in bytes per second; follows increases at once and
  // decreases gradually.
  double total_rate = 0;
  common::TimePoint reported_at;
  bool reported = false;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_LINK_BUDGET_H_
