#include "core/dispatch/endpoint_health.h"

#include <algorithm>

namespace jujuberock::dispatch {

EndpointHealth::State EndpointHealth::StateAt(common::TimePoint now) const {
  if (!this->ejected)
    return State::kHealthy;
  return now < this->ejected_until ? State::kEjected : State::kProbation;
}

bool EndpointHealth::OnOutcome(SendOutcome outcome,
                               double usual_failure_share,
                               common::TimePoint now) {
  const bool good = outcome == SendOutcome::kGood;
  this->failure_rate +=
      kFailureSmoothing * ((good ? 0.0 : 1.0) - this->failure_rate);
  if (good) {
    this->consecutive_failures = 0;
    const bool still_failing =
        this->failure_rate > usual_failure_share + kEjectionMargin;
    if (this->StateAt(now) == State::kProbation && !still_failing) {
      this->ejected = false;
      this->next_ejection_time = kInitialEjection;
    }
    return false;
  }
  ++this->consecutive_failures;
  const bool unreachable = outcome == SendOutcome::kNoRoute ||
                           outcome == SendOutcome::kSilent ||
                           outcome == SendOutcome::kReplaced;
  const bool failing =
      this->consecutive_failures >= 3 &&
      this->failure_rate > usual_failure_share + kEjectionMargin;
  const bool relapse = this->StateAt(now) == State::kProbation;
  if (this->StateAt(now) == State::kEjected)
    return false;
  const bool mostly_failing = this->failure_rate > usual_failure_share + 0.3;
  if (!unreachable && !failing && !relapse && !mostly_failing)
    return false;
  if (outcome == SendOutcome::kReplaced)
    this->next_ejection_time = kMaxEjection;
  this->Eject(now);
  return true;
}

void EndpointHealth::Eject(common::TimePoint now) {
  this->ejected = true;
  this->ejected_until = now + this->next_ejection_time;
  this->next_ejection_time =
      std::min(2 * this->next_ejection_time, kMaxEjection);
}

void EndpointHealth::EndEjection(common::TimePoint now) {
  this->ejected_until = std::min(this->ejected_until, now);
}

}  // namespace jujuberock::dispatch
