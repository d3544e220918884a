#include "core/routing/link_budget.h"

#include <algorithm>

namespace jujuberock::routing {

namespace {

// Each report without late transfers moves the learned speed towards the
// nominal speed by this share of the difference, so that a repaired link is
// used again.
constexpr double kSpeedRecovery = 0.05;

// Lower bound of the learned speed, as a share of the nominal speed, so that a
// single report without progress does not rule out the link for good.
constexpr double kMinSpeedShare = 0.02;

// Weight of the newest sample in the demanded and delivered rates.
constexpr double kSpeedSmoothing = 0.3;

// A link that delivers less than this share of the demand is slow.
constexpr double kSlowRatio = 0.6;

// Weight of the newest sample when the throughput falls; increases are applied
// at once.
constexpr double kRateSmoothing = 0.1;

// How much of the unused budget each host may use, as a multiple of its even
// share. At 1, a host that is the only one with demand would not get half of
// the budget.
constexpr double kUnusedBudgetFactor = 2;

}  // namespace

void LinkBudget::OnReport(double link_bytes_per_s,
                          uint64_t total_bytes,
                          bool transfers_late,
                          common::TimePoint now) {
  this->bucket = this->BucketAt(now);
  this->refilled_at = now;
  this->backlog = this->BacklogAt(now);
  this->drained_at = now;
  this->nominal_speed = link_bytes_per_s;
  const double seconds = common::ToSeconds(now - this->reported_at);
  const bool comparable =
      this->reported && seconds > 0 && total_bytes >= this->reported_total;
  const double total_rate =
      comparable
          ? static_cast<double>(total_bytes - this->reported_total) / seconds
          : 0;
  if (comparable) {
    const double own_rate = static_cast<double>(this->own_bytes) / seconds;
    this->demanded_rate += kSpeedSmoothing * (own_rate - this->demanded_rate);
    this->delivered_rate +=
        kSpeedSmoothing * (total_rate - this->delivered_rate);
  }
  this->own_bytes = 0;
  // Late transfers alone may be caused by busy endpoints. A slow link also
  // delivers less than was demanded, assuming that other hosts demand about as
  // much as this one.
  const double demanded =
      this->demanded_rate * static_cast<double>(this->host_count);
  const bool slow =
      transfers_late && this->delivered_rate < kSlowRatio * demanded;
  if (this->learned_speed == 0) {
    this->learned_speed = link_bytes_per_s;
  } else if (slow) {
    const double observed =
        std::max(this->delivered_rate, kMinSpeedShare * link_bytes_per_s);
    this->learned_speed = std::min(this->learned_speed, observed);
  } else {
    this->learned_speed +=
        kSpeedRecovery * (link_bytes_per_s - this->learned_speed);
  }
  this->learned_speed = std::min(this->learned_speed, link_bytes_per_s);
  this->total_rate += kRateSmoothing * (total_rate - this->total_rate);
  this->total_rate = std::max(this->total_rate, total_rate);
  const double budget = this->budget_share * this->learned_speed;
  const double unused = std::max(0.0, budget - this->total_rate);
  this->allowed_rate = (budget + kUnusedBudgetFactor * unused) /
                       static_cast<double>(this->host_count);
  this->reported_total = total_bytes;
  this->reported_at = now;
  this->reported = true;
}

void LinkBudget::SetHostCount(size_t hosts) {
  this->host_count = std::max<size_t>(1, hosts);
}

bool LinkBudget::CanStart(common::TimePoint now) const {
  return this->reported && this->BucketAt(now) > 0;
}

void LinkBudget::Charge(uint64_t bytes, common::TimePoint now) {
  this->bucket = this->BucketAt(now) - static_cast<double>(bytes);
  this->refilled_at = now;
  this->own_bytes += bytes;
  this->backlog = this->BacklogAt(now) + static_cast<double>(bytes);
  this->drained_at = now;
}

double LinkBudget::QueueSeconds(common::TimePoint now) const {
  return this->BacklogAt(now) / std::max(1.0, this->learned_speed);
}

double LinkBudget::TransferSeconds(uint64_t bytes) const {
  return static_cast<double>(bytes) / std::max(1.0, this->learned_speed);
}

double LinkBudget::BacklogAt(common::TimePoint now) const {
  const double drained =
      this->learned_speed * common::ToSeconds(now - this->drained_at);
  return std::max(0.0, this->backlog - drained);
}

double LinkBudget::BucketAt(common::TimePoint now) const {
  const double added =
      this->allowed_rate * common::ToSeconds(now - this->refilled_at);
  // The burst is split, so that all hosts together have one.
  const double max_burst = this->budget_share * this->learned_speed *
                           common::ToSeconds(this->burst) /
                           static_cast<double>(this->host_count);
  return std::min(max_burst, this->bucket + added);
}

}  // namespace jujuberock::routing
