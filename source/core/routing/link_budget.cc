#include "core/routing/link_budget.h"

#include <algorithm>

namespace jujuberock::routing {

namespace {

// A speed that was learned as low returns to the nominal speed by this share
// of the difference per report, so that a repaired link is used again.
constexpr double kSpeedRecovery = 0.05;

// No link is assumed slower than this share of its nominal speed, so that a
// single report without progress does not rule the link out for good.
constexpr double kSlowestShare = 0.02;

}  // namespace

void LinkBudget::OnReport(double link_bytes_per_s,
                          uint64_t total_bytes,
                          bool learn_speed,
                          common::TimePoint now) {
  this->bucket = this->Refilled(now);
  this->refilled_at = now;
  this->nominal_speed = link_bytes_per_s;
  const double seconds = common::ToSeconds(now - this->reported_at);
  const bool comparable =
      this->reported && seconds > 0 && total_bytes >= this->reported_total;
  const double total_rate =
      comparable
          ? static_cast<double>(total_bytes - this->reported_total) / seconds
          : 0;
  const double own_rate =
      comparable
          ? static_cast<double>(this->own_bytes - this->reported_own) / seconds
          : 0;
  if (this->learned_speed == 0 || !learn_speed) {
    this->learned_speed = link_bytes_per_s;
  } else if (comparable && this->least_outstanding > 0) {
    // The link was busy all the time, so what it sent is its speed.
    const double observed =
        std::max(total_rate, kSlowestShare * link_bytes_per_s);
    this->learned_speed = std::min(link_bytes_per_s, observed);
  } else {
    this->learned_speed +=
        kSpeedRecovery * (link_bytes_per_s - this->learned_speed);
    this->learned_speed = std::min(link_bytes_per_s, this->learned_speed);
  }
  const double budget = this->share * this->learned_speed;
  const double part = budget / static_cast<double>(this->hosts);
  const double unused = std::max(0.0, budget - total_rate);
  this->allowed_rate =
      std::max(part, own_rate + unused / static_cast<double>(this->hosts));
  this->allowed_rate = std::min(this->allowed_rate, budget);
  this->reported_total = total_bytes;
  this->reported_own = this->own_bytes;
  this->reported_at = now;
  this->reported = true;
  this->least_outstanding = this->outstanding;
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
  this->outstanding += bytes;
  this->own_bytes += bytes;
}

void LinkBudget::Complete(uint64_t bytes) {
  this->outstanding -= std::min(bytes, this->outstanding);
  this->least_outstanding =
      std::min(this->least_outstanding, this->outstanding);
}

double LinkBudget::Seconds(uint64_t bytes, bool count_queue) const {
  const uint64_t queued = count_queue ? this->outstanding : 0;
  return static_cast<double>(queued + bytes) /
         std::max(1.0, this->learned_speed);
}

bool LinkBudget::Idle(common::TimePoint now) const {
  return this->outstanding == 0 && this->Open(now);
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
