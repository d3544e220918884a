#include "core/routing/link_budget.h"

#include <algorithm>

namespace jujuberock::routing {

namespace {

// A speed that was learned as low returns to the nominal speed by this share
// of the difference with each report without late transfers, so that a repaired
// link is used again.
constexpr double kSpeedRecovery = 0.05;

// No link is assumed slower than this share of its nominal speed, so that a
// single report without progress does not rule the link out for good.
constexpr double kSlowestShare = 0.02;

// Smoothing of what is asked of the link and what it moves.
constexpr double kSpeedSmoothing = 0.3;

// A link that moves less than this share of what is asked of it is slow.
constexpr double kSlowRatio = 0.6;

// How fast a fall of the link's use is believed; a rise is believed at once.
constexpr double kRateSmoothing = 0.1;

// What each host may take of the unused budget, as a multiple of its even part.
// At 1, a host that is alone in its demand would not get half of the budget.
constexpr double kUnusedShare = 2;

}  // namespace

void LinkBudget::OnReport(double link_bytes_per_s,
                          uint64_t total_bytes,
                          bool transfers_late,
                          common::TimePoint now) {
  this->bucket = this->Refilled(now);
  this->refilled_at = now;
  this->backlog = this->Backlog(now);
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
    this->asked_rate += kSpeedSmoothing * (own_rate - this->asked_rate);
    this->moved_rate += kSpeedSmoothing * (total_rate - this->moved_rate);
  }
  this->own_bytes = 0;
  // Late transfers alone may be due to busy endpoints. A slow link also moves
  // less than was asked of it, where other hosts ask about as much as this one.
  const double asked = this->asked_rate * static_cast<double>(this->hosts);
  const bool slow = transfers_late && this->moved_rate < kSlowRatio * asked;
  if (this->learned_speed == 0) {
    this->learned_speed = link_bytes_per_s;
  } else if (slow) {
    const double observed =
        std::max(this->moved_rate, kSlowestShare * link_bytes_per_s);
    this->learned_speed = std::min(this->learned_speed, observed);
  } else {
    this->learned_speed +=
        kSpeedRecovery * (link_bytes_per_s - this->learned_speed);
  }
  this->learned_speed = std::min(this->learned_speed, link_bytes_per_s);
  this->total_rate += kRateSmoothing * (total_rate - this->total_rate);
  this->total_rate = std::max(this->total_rate, total_rate);
  const double budget = this->share * this->learned_speed;
  const double unused = std::max(0.0, budget - this->total_rate);
  this->allowed_rate =
      (budget + kUnusedShare * unused) / static_cast<double>(this->hosts);
  this->reported_total = total_bytes;
  this->reported_at = now;
  this->reported = true;
}

void LinkBudget::SetHosts(size_t hosts) {
  this->hosts = std::max<size_t>(1, hosts);
}

bool LinkBudget::Open(common::TimePoint now) const {
  return this->reported && this->Refilled(now) > 0;
}

void LinkBudget::Take(uint64_t bytes, common::TimePoint now) {
  this->bucket = this->Refilled(now) - static_cast<double>(bytes);
  this->refilled_at = now;
  this->own_bytes += bytes;
  this->backlog = this->Backlog(now) + static_cast<double>(bytes);
  this->drained_at = now;
}

double LinkBudget::QueueSeconds(common::TimePoint now) const {
  return this->Backlog(now) / std::max(1.0, this->learned_speed);
}

double LinkBudget::TransferSeconds(uint64_t bytes) const {
  return static_cast<double>(bytes) / std::max(1.0, this->learned_speed);
}

double LinkBudget::Backlog(common::TimePoint now) const {
  const double drained =
      this->learned_speed * common::ToSeconds(now - this->drained_at);
  return std::max(0.0, this->backlog - drained);
}

double LinkBudget::Refilled(common::TimePoint now) const {
  const double added =
      this->allowed_rate * common::ToSeconds(now - this->refilled_at);
  // The burst is shared, so that all hosts together have one.
  const double most = this->share * this->learned_speed *
                      common::ToSeconds(this->burst) /
                      static_cast<double>(this->hosts);
  return std::min(most, this->bucket + added);
}

}  // namespace jujuberock::routing
