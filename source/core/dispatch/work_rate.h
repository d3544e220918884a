#ifndef CORE_DISPATCH_WORK_RATE_H_
#define CORE_DISPATCH_WORK_RATE_H_

#include "core/common/time.h"

namespace jujuberock::dispatch {

// How long work takes on one endpoint compared with its usual time. An endpoint
// that shares its machine reports the factor with its answers; it changes many
// times a second, so a report is believed for a fraction of a second and then
// gives way to the factor that the endpoint's own durations show. The factor is
// 1 for endpoints that report none. Not thread-safe.
class WorkRate {
 public:
  // Reports outside of these limits are clamped, so that no report takes an
  // endpoint out of service or attracts all requests to it.
  static constexpr double kMinFactor = 0.25;
  static constexpr double kMaxFactor = 8;

  void OnReport(double factor, common::TimePoint now);
  // A run took `observed` where `usual` was predicted for a factor of 1. Counts
  // only for endpoints that report factors.
  void OnDuration(common::Duration observed,
                  common::Duration usual,
                  common::TimePoint now);

  // Returns by how much work that begins now is expected to take longer.
  double FactorAt(common::TimePoint now) const;
  // Whether the report differs enough from what is believed to change choices.
  bool IsNews(double factor, common::TimePoint now) const;

 private:
  // A report is believed in full for the first time and loses its weight
  // linearly until the second.
  static constexpr common::Duration kFullBelief =
      std::chrono::milliseconds(200);
  static constexpr common::Duration kMaxReportAge =
      std::chrono::milliseconds(800);
  // Time constant with which the learnt factor returns to 1.
  static constexpr double kLearntSeconds = 2;
  static constexpr double kLearntSmoothing = 0.2;
  static constexpr double kNewsRatio = 1.25;

  double LearntAt(common::TimePoint now) const;

  bool has_report = false;
  double reported = 1;
  common::TimePoint reported_at;
  double learnt = 1;
  common::TimePoint learnt_at;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_WORK_RATE_H_
