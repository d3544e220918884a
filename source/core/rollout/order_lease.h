#ifndef CORE_ROLLOUT_ORDER_LEASE_H_
#define CORE_ROLLOUT_ORDER_LEASE_H_

#include <cstdint>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/rollout/lease_record.h"

namespace jujuberock::rollout {

struct OrderLeaseOptions {
  // Lease time. The holder renews and stops, and other hosts take over, after
  // fixed shares of it without a change of the record.
  common::Duration lease = std::chrono::seconds(3);
};

// Decides when this host may acquire, must renew and must stop using the lease
// that permits sending orders. The holder stops using it well before other
// hosts may take over. These measure from the time when they saw the last
// change, so clocks of different hosts are never compared.
//
// A store that comes back from an older copy, in a new era, may lack the record
// of a holder that still sends orders, and the tokens that were given out. So a
// token begins with the era in which it was given out, the holder stops at
// once, and other hosts wait until it must have stopped and its orders are a
// lease time old. Pure state machine, not thread-safe.
class OrderLease {
 public:
  OrderLease(std::string host, OrderLeaseOptions options)
      : host(std::move(host)), options(options) {}

  // The store answers in this era; called before anything that was read in it.
  void OnEra(uint64_t era, common::TimePoint now);
  uint64_t era() const { return this->current_era; }
  // All other hosts have noticed the era, so none holds the lease of a former
  // one. The last order that one of them sent, if any, was sent at
  // `last_order_at`.
  void OnFormerHoldersStopped(std::optional<common::TimePoint> last_order_at,
                              common::TimePoint now);
  // The record was read from the store; `revision` is that of its last change.
  void OnRecord(const LeaseRecord& record,
                uint64_t revision,
                common::TimePoint now);
  // The store reports that there is no record.
  void OnNoRecord(common::TimePoint now);

  // Whether this host may try to acquire the lease now.
  bool MayAcquire(common::TimePoint now) const;
  // The record that acquires the lease; it replaces expected_revision().
  LeaseRecord RecordToAcquire() const;
  // Revision that the next write must replace; nothing if the record must be
  // created.
  std::optional<uint64_t> expected_revision() const { return this->revision; }

  // The store accepted a write of this host that was sent at `sent_at`.
  void OnWritten(const LeaseRecord& record,
                 uint64_t new_revision,
                 common::TimePoint sent_at,
                 common::TimePoint now);
  // The lease was released or another host's record replaced it.
  void OnLost() { this->held_until.reset(); }

  // Whether this host may send orders now.
  bool Holds(common::TimePoint now) const {
    return this->held_until && now < *this->held_until;
  }
  bool MustRenew(common::TimePoint now) const;
  const LeaseRecord& record() const { return this->current; }
  // When this host has seen the last change of the record.
  common::TimePoint changed_at() const { return this->record_changed_at; }
  uint64_t token() const { return this->current.token; }

 private:
  // Whether the record was written since the store came back from a copy.
  bool IsRecordOfEra() const;

  std::string host;
  OrderLeaseOptions options;
  // 0 if the store states none.
  uint64_t current_era = 0;
  // A record that was not written in this era says nothing about the holder
  // before this time.
  common::TimePoint settled_at;
  // Highest token that this host knows of.
  uint64_t highest_token = 0;
  LeaseRecord current;
  std::optional<uint64_t> revision;
  common::TimePoint record_changed_at;
  std::optional<common::TimePoint> held_until;
  common::TimePoint renewed_at;
};

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_ORDER_LEASE_H_
