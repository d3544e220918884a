#ifndef CORE_ROUTING_LINK_BUDGET_H_
#define CORE_ROUTING_LINK_BUDGET_H_

#include <cstddef>
#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::routing {

// One direction of a store's link, shared by the hosts of a deployment.
//
// Each host may use its even part of the budget, and some of what all hosts
// together left unused in the last report. Over any period T the hosts together
// stay within
//   share * speed * (T + burst + 2 report intervals) + one transfer per host:
// a report interval may begin with the whole budget unused and end with three
// times the budget used, and a transfer may take a host's bucket below zero.
class LinkBudget {
 public:
  LinkBudget(double share, common::Duration burst)
      : share(share), burst(burst) {}

  // `total_bytes` is the store's own count in this direction. When transfers
  // are late and the link moves less than is asked of it, what it moves is its
  // speed.
  void OnReport(double link_bytes_per_s,
                uint64_t total_bytes,
                bool transfers_late,
                common::TimePoint now);
  void SetHosts(size_t hosts);

  // Whether a transfer may begin.
  bool Open(common::TimePoint now) const;
  // Begins a transfer of this host.
  void Take(uint64_t bytes, common::TimePoint now);

  // Seconds until the transfers that this host began have ended.
  double QueueSeconds(common::TimePoint now) const;
  // Seconds that a transfer takes by itself.
  double TransferSeconds(uint64_t bytes) const;

  double speed() const { return this->learned_speed; }

 private:
  double Refilled(common::TimePoint now) const;
  double Backlog(common::TimePoint now) const;

  double share;
  common::Duration burst;
  size_t hosts = 1;
  double nominal_speed = 0;
  double learned_speed = 0;
  // Bytes per second that this host may use.
  double allowed_rate = 0;
  double bucket = 0;
  common::TimePoint refilled_at;
  // Bytes of this host on the link, drained at the learned speed. The end of a
  // transfer itself can not be seen: a first token may come much later, when
  // the endpoint has a long queue.
  double backlog = 0;
  common::TimePoint drained_at;
  // Taken since the last report.
  uint64_t own_bytes = 0;
  // Smoothed rates that this host asked for and that the link moved.
  double asked_rate = 0;
  double moved_rate = 0;
  uint64_t reported_total = 0;
  // Smoothed use by all hosts, in bytes per second.
  double total_rate = 0;
  common::TimePoint reported_at;
  bool reported = false;
};

}  // namespace jujuberock::routing

#endif  // CORE_ROUTING_LINK_BUDGET_H_
