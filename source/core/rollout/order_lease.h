#ifndef CORE_ROLLOUT_ORDER_LEASE_H_
#define CORE_ROLLOUT_ORDER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/rollout/lease_record.h"

namespace jujuberock::rollout {

struct OrderLeaseOptions {
  // After this time without a change of the record its holder is gone.
  common::Duration lease = std::chrono::seconds(3);
};

// Decides when this host may take, must renew and must stop using the lease of
// the orders. The holder stops well before others may take over; they count
// from when they saw the last change, so no clocks are compared. Pure state
// machine, not thread-safe.
class OrderLease {
 public:
  OrderLease(std::string host, OrderLeaseOptions options)
      : host(std::move(host)), options(options) {}

  // The record as the store gave it; `revision` is that of its last change.
  void OnRecord(const LeaseRecord& record,
                uint64_t revision,
                common::TimePoint now);
  // The store says that there is no record.
  void OnNoRecord(common::TimePoint now);

  // Whether this host may try to take the lease now.
  bool MayTake(common::TimePoint now) const;
  // The record that takes the lease, to be written over expected_revision().
  LeaseRecord Taking() const;
  // Revision that the next write must name; nothing when the record must be
  // created.
  std::optional<uint64_t> expected_revision() const { return this->revision; }

  // A write of this host's record that was sent at `sent_at` took effect.
  void OnWritten(const LeaseRecord& record,
                 uint64_t new_revision,
                 common::TimePoint sent_at,
                 common::TimePoint now);
  // Another record is in force, or the lease was released.
  void OnLost() { this->held_until.reset(); }

  // Whether orders may be sent now.
  bool Holds(common::TimePoint now) const {
    return this->held_until && now < *this->held_until;
  }
  bool MustRenew(common::TimePoint now) const;
  const LeaseRecord& record() const { return this->current; }
  uint64_t token() const { return this->current.token; }

 private:
  std::string host;
  OrderLeaseOptions options;
  LeaseRecord current;
  std::optional<uint64_t> revision;
  common::TimePoint changed_at;
  std::optional<common::TimePoint> held_until;
  common::TimePoint renewed_at;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ORDER_LEASE_H_
