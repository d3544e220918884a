#include "core/rollout/order_lease.h"

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

using common::Scale;

// Shares of the lease time: how long the holder uses the lease after it sent a
// renewal, and how often it renews.
constexpr double kHoldShare = 0.36;
constexpr double kRenewalShare = 0.11;
// Share of the lease time without a change of the record after which other
// hosts may take over. It is well above kHoldShare, so that a holder that was
// suspended has stopped, and still small, so that the loss of a holder uses up
// little of the time in which the weights must be replaced.
constexpr double kTakeoverShare = 0.62;

}  // namespace

void OrderLease::OnRecord(const LeaseRecord& record,
                          uint64_t new_revision,
                          common::TimePoint now) {
  if (this->revision && new_revision <= *this->revision)
    return;
  this->current = record;
  this->revision = new_revision;
  this->changed_at = now;
  if (record.holder != this->host)
    this->OnLost();
}

void OrderLease::OnNoRecord(common::TimePoint now) {
  this->current = {};
  this->revision.reset();
  this->changed_at = now;
  this->OnLost();
}

bool OrderLease::MayAcquire(common::TimePoint now) const {
  if (this->Holds(now))
    return false;
  // A restarted host is still the same holder.
  if (!this->revision || this->current.holder == this->host)
    return true;
  if (this->current.holder.empty() && !this->current.ordered)
    return true;
  return now - this->changed_at >= Scale(this->options.lease, kTakeoverShare);
}

LeaseRecord OrderLease::RecordToAcquire() const {
  LeaseRecord record;
  record.holder = this->host;
  record.token = this->current.token + 1;
  record.renewals = this->current.renewals + 1;
  return record;
}

void OrderLease::OnWritten(const LeaseRecord& record,
                           uint64_t new_revision,
                           common::TimePoint sent_at,
                           common::TimePoint now) {
  this->current = record;
  this->revision = new_revision;
  this->changed_at = now;
  this->renewed_at = sent_at;
  if (record.holder == this->host)
    this->held_until = sent_at + Scale(this->options.lease, kHoldShare);
  else
    this->OnLost();
}

bool OrderLease::MustRenew(common::TimePoint now) const {
  return now - this->renewed_at >= Scale(this->options.lease, kRenewalShare);
}

}  // namespace jujuberock::rollout
