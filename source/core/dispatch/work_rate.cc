#include "core/dispatch/work_rate.h"

#include <algorithm>
#include <cmath>

namespace jujuberock::dispatch {

void WorkRate::OnReport(double factor, common::TimePoint now) {
  this->has_report = true;
  this->reported = std::clamp(factor, kMinFactor, kMaxFactor);
  this->reported_at = now;
}

void WorkRate::OnDuration(common::Duration observed,
                          common::Duration usual,
                          common::TimePoint now) {
  if (!this->has_report || usual <= common::Duration(0))
    return;
  const double factor =
      std::clamp(common::ToSeconds(observed) / common::ToSeconds(usual),
                 kMinFactor, kMaxFactor);
  const double before = this->LearntAt(now);
  this->learnt = before + kLearntSmoothing * (factor - before);
  this->learnt_at = now;
}

double WorkRate::LearntAt(common::TimePoint now) const {
  const double age = common::ToSeconds(now - this->learnt_at);
  return 1 +
         (this->learnt - 1) * std::exp(-std::max(0.0, age) / kLearntSeconds);
}

double WorkRate::FactorAt(common::TimePoint now) const {
  if (!this->has_report)
    return 1;
  const double left =
      common::ToSeconds(this->reported_at + kMaxReportAge - now);
  const double fade = common::ToSeconds(kMaxReportAge - kFullBelief);
  const double weight = std::clamp(left / fade, 0.0, 1.0);
  return weight * this->reported + (1 - weight) * this->LearntAt(now);
}

bool WorkRate::IsNews(double factor, common::TimePoint now) const {
  const double ratio =
      std::clamp(factor, kMinFactor, kMaxFactor) / this->FactorAt(now);
  return ratio > kNewsRatio || ratio < 1 / kNewsRatio;
}

}  // namespace jujuberock::dispatch
