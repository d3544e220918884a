#include "core/dispatch/cold_limit.h"

#include <algorithm>
#include <cmath>

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

using common::Duration;
using common::TimePoint;

// A larger rate is no limit in practice.
constexpr double kMaxRate = 1e6;
// What the hosts may send together at the end of the warming time, relative to
// the cold time.
constexpr double kWarmingGrowth = 4;

}  // namespace

size_t ColdShare(size_t rank, size_t hosts, size_t total) {
  if (hosts == 0)
    return 0;
  return total / hosts + (rank < total % hosts ? 1 : 0);
}

void ColdLimit::OnEntry(TimePoint cold_until, TimePoint now) {
  if (cold_until > now)
    this->told_until = cold_until;
  else if (this->told_until)
    this->told_until = std::min(*this->told_until, now);
}

void ColdLimit::AssumeUntil(TimePoint cold_until) {
  this->assumed_until =
      std::max(this->assumed_until.value_or(cold_until), cold_until);
}

void ColdLimit::OnSent(TimePoint now) {
  while (!this->sends.empty() && this->sends.front() + kPeriod <= now)
    this->sends.pop_front();
  if (this->sends.size() >= kMaxSends)
    this->sends.pop_front();
  this->sends.push_back(now);
}

std::optional<TimePoint> ColdLimit::cold_until() const {
  // An empty optional is less than any time.
  return std::max(this->told_until, this->assumed_until);
}

ColdState ColdLimit::StateAt(TimePoint now) const {
  const auto until = this->cold_until();
  if (!until || now >= *until + kWarmingTime)
    return ColdState::kWarm;
  return now < *until ? ColdState::kCold : ColdState::kWarming;
}

std::optional<size_t> ColdLimit::TotalAt(const Terms& terms,
                                         TimePoint now) const {
  if (terms.rate <= 0)
    return std::nullopt;
  const double total = std::floor(std::min(terms.rate, kMaxRate));
  const ColdState state =
      terms.is_uncertain ? ColdState::kCold : this->StateAt(now);
  switch (state) {
    case ColdState::kWarm:
      return std::nullopt;
    case ColdState::kCold:
      return static_cast<size_t>(total);
    case ColdState::kWarming:
      break;
  }
  const double progress = common::ToSeconds(now - *this->cold_until()) /
                          common::ToSeconds(kWarmingTime);
  // An endpoint that takes less than one a second still has to be tried.
  return static_cast<size_t>(std::max(1.0, total) *
                             (1 + (kWarmingGrowth - 1) * progress));
}

Duration ColdLimit::TimeToShare(const Terms& terms, TimePoint now) const {
  constexpr Duration kNone{0};
  const auto total = this->TotalAt(terms, now);
  if (!total)
    return kNone;
  const size_t share =
      terms.rank
          ? std::min(ColdShare(*terms.rank, terms.hosts, *total), kMaxSends)
          : 0;
  const auto oldest =
      std::find_if(this->sends.begin(), this->sends.end(),
                   [&](TimePoint sent) { return now < sent + kPeriod; });
  const auto used = static_cast<size_t>(this->sends.end() - oldest);
  if (used < share)
    return kNone;
  if (share == 0)
    return this->TimeToFirstShare(terms, now);
  const TimePoint freed = *(this->sends.end() - static_cast<ptrdiff_t>(share));
  return freed + kPeriod - now;
}

Duration ColdLimit::TimeToFirstShare(const Terms& terms, TimePoint now) const {
  if (terms.is_uncertain)
    return kPeriod;
  double progress = 1;
  if (terms.rank) {
    // The shares reach the hosts in their order.
    const double growth = static_cast<double>(*terms.rank + 1) /
                          std::max(1.0, std::floor(terms.rate));
    progress = std::clamp((growth - 1) / (kWarmingGrowth - 1), 0.0, 1.0);
  }
  return *this->cold_until() + common::Scale(kWarmingTime, progress) - now;
}

}  // namespace jujuberock::dispatch
