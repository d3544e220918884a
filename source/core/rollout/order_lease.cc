#include "core/rollout/order_lease.h"

#include <algorithm>

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
// Share of the lease time after which no holder of a former era sends orders
// and the last ones are a lease time old.
constexpr double kSettleShare = 1 + kHoldShare;
// The low bits of a token count the holders of an era; the era is above them.
constexpr int kTokenBits = 32;

}  // namespace

void OrderLease::OnEra(uint64_t era, common::TimePoint now) {
  if (era == this->current_era)
    return;
  // Nobody can have taken the lease over from a host that still holds it.
  const bool holds = this->Holds(now);
  this->current_era = era;
  this->settled_at =
      holds ? now : now + Scale(this->options.lease, kSettleShare);
  this->OnNoRecord(now);
}

void OrderLease::OnFormerHoldersStopped(
    std::optional<common::TimePoint> last_order_at,
    common::TimePoint now) {
  const common::TimePoint settled =
      last_order_at ? *last_order_at + this->options.lease : now;
  this->settled_at = std::min(this->settled_at, settled);
}

bool OrderLease::IsRecordOfEra() const {
  return this->revision &&
         this->current.token >> kTokenBits >= this->current_era;
}

void OrderLease::OnRecord(const LeaseRecord& record,
                          uint64_t new_revision,
                          common::TimePoint now) {
  if (this->revision && new_revision <= *this->revision)
    return;
  this->current = record;
  this->highest_token = std::max(this->highest_token, record.token);
  this->revision = new_revision;
  this->record_changed_at = now;
  if (record.holder != this->host)
    this->OnLost();
}

void OrderLease::OnNoRecord(common::TimePoint now) {
  this->current = {};
  this->revision.reset();
  this->record_changed_at = now;
  this->OnLost();
}

bool OrderLease::MayAcquire(common::TimePoint now) const {
  if (this->Holds(now))
    return false;
  if (this->current_era != 0 && !this->IsRecordOfEra() &&
      now < this->settled_at)
    return false;
  // A restarted host is still the same holder.
  if (!this->revision || this->current.holder == this->host)
    return true;
  if (this->current.holder.empty() && !this->current.ordered)
    return true;
  return now - this->record_changed_at >=
         Scale(this->options.lease, kTakeoverShare);
}

LeaseRecord OrderLease::RecordToAcquire() const {
  LeaseRecord record;
  record.holder = this->host;
  record.token =
      std::max(this->highest_token, this->current_era << kTokenBits) + 1;
  record.renewals = this->current.renewals + 1;
  return record;
}

void OrderLease::OnWritten(const LeaseRecord& record,
                           uint64_t new_revision,
                           common::TimePoint sent_at,
                           common::TimePoint now) {
  this->current = record;
  this->highest_token = std::max(this->highest_token, record.token);
  this->revision = new_revision;
  this->record_changed_at = now;
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
