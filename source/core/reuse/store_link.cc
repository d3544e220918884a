#include "core/reuse/store_link.h"

#include <algorithm>

namespace jujuberock::reuse {

namespace {

constexpr double kExcessSmoothing = 0.06;
constexpr int kMinSamples = 20;
constexpr double kMaxExcessMs = 1500;
// A store whose requests are delayed by more than this is assumed to deliver
// less than its nominal link rate.
constexpr double kSlowExcessMs = 150;
constexpr double kSlowFactor = 0.94;
constexpr double kRecoveryFactor = 1.03;
constexpr double kMinShare = 0.05;
constexpr double kSlowShare = 0.5;

}  // namespace

double StoreLink::WaitMs(common::TimePoint now) {
  const double rate = this->rate_mbps();
  if (rate <= 0)
    return 0;
  const double passed = common::ToSeconds(now - this->queued_at);
  this->queued_mbit = std::max(0.0, this->queued_mbit - rate * passed);
  this->queued_at = now;
  return 1000 * this->queued_mbit / rate;
}

void StoreLink::Queue(double mbit, common::TimePoint now) {
  this->WaitMs(now);
  this->queued_mbit += mbit;
}

void StoreLink::RecordExcess(common::Duration excess, double lowest_excess_ms) {
  const double ms =
      std::clamp(common::ToMilliseconds(excess), 0.0, kMaxExcessMs);
  ++this->samples;
  this->mean_excess_ms += kExcessSmoothing * (ms - this->mean_excess_ms);
  const double relative_ms =
      this->mean_excess_ms - std::min(lowest_excess_ms, this->mean_excess_ms);
  const bool is_delayed =
      relative_ms > kSlowExcessMs && ms > this->mean_excess_ms / 2;
  this->share =
      std::clamp(this->share * (is_delayed ? kSlowFactor : kRecoveryFactor),
                 kMinShare, 1.0);
}

bool StoreLink::has_samples() const {
  return this->samples >= kMinSamples;
}

bool StoreLink::is_slow() const {
  return this->share < kSlowShare;
}

}  // namespace jujuberock::reuse
