#include "core/rollout/order_lease.h"

#include "core/common/scale.h"

namespace jujuberock::rollout {

namespace {

using common::Scale;

// Shares of the lease: the holder uses it this long after a renewal was sent,
// and renews this often.
constexpr double kUsedShare = 0.36;
constexpr double kRenewShare = 0.11;
// Others wait this long for a change of the record. Well beyond the used share,
// so that a holder that was suspended has stopped, and short, so that its loss
// costs little of the time in which the weights must change.
constexpr double kTakeShare = 0.62;

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

bool OrderLease::MayTake(common::TimePoint now) const {
  if (this->Holds(now))
    return false;
  // The same machine is the same holder, also after a restart.
  if (!this->revision || this->current.holder == this->host)
    return true;
  if (this->current.holder.empty() && !this->current.ordered)
    return true;
  return now - this->changed_at >= Scale(this->options.lease, kTakeShare);
}

LeaseRecord OrderLease::Taking() const {
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
    this->held_until = sent_at + Scale(this->options.lease, kUsedShare);
  else
    this->OnLost();
}

bool OrderLease::MustRenew(common::TimePoint now) const {
  return now - this->renewed_at >= Scale(this->options.lease, kRenewShare);
}

}  // namespace jujuberock::rollout
