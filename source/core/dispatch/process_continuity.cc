#include "core/dispatch/process_continuity.h"

#include <algorithm>

namespace jujuberock::dispatch {

using common::Duration;
using common::TimePoint;

void ProcessContinuity::OnConnected(TimePoint now) {
  if (this->watched_since && now - this->gap_began > kMaxGap)
    this->BecomeUncertain(now);
  this->is_open = true;
  if (!this->watched_since)
    this->watched_since = now;
}

void ProcessContinuity::OnClosed(TimePoint earliest, TimePoint now) {
  this->is_open = false;
  this->gap_began = earliest;
  this->closings.push_back(now);
  if (this->closings.size() > kMaxClosings)
    this->closings.pop_front();
  if (this->response_broken_at && now - *this->response_broken_at <= kCloseTime)
    this->BecomeUncertain(now);
}

void ProcessContinuity::OnResponseBroken(TimePoint now) {
  this->response_broken_at = now;
  if (!this->closings.empty() && now - this->closings.back() <= kCloseTime)
    this->BecomeUncertain(now);
}

void ProcessContinuity::OnSilent(TimePoint now) {
  this->is_open = false;
  this->BecomeUncertain(now);
}

void ProcessContinuity::OnConnectFailed(TimePoint now) {
  this->is_open = false;
  this->BecomeUncertain(now);
}

void ProcessContinuity::OnUnwatched() {
  this->is_open = false;
  this->watched_since.reset();
}

void ProcessContinuity::OnRegistrationRead(TimePoint read_at, Duration lag) {
  if (this->is_uncertain && this->is_open && this->watched_since &&
      read_at >= *this->watched_since + lag)
    this->is_uncertain = false;
}

std::optional<bool> ProcessContinuity::RunsAfter(TimePoint closed_at) const {
  const TimePoint earliest = closed_at - kCloseTime;
  if (this->replaced_at && *this->replaced_at >= earliest)
    return false;
  const bool closed_together = std::any_of(
      this->closings.begin(), this->closings.end(), [&](TimePoint closing) {
        return closing >= earliest && closing <= closed_at + kCloseTime;
      });
  if (closed_together)
    return false;
  if (!this->is_open || !this->watched_since || *this->watched_since > earliest)
    return std::nullopt;
  return true;
}

void ProcessContinuity::BecomeUncertain(TimePoint now) {
  const bool is_known = this->is_uncertain && !this->watched_since;
  // A connection that is open already may lead to the new process.
  this->watched_since = this->is_open ? std::optional(now) : std::nullopt;
  if (is_known)
    return;
  this->is_uncertain = true;
  this->replaced_at = now;
  ++this->replacements;
}

}  // namespace jujuberock::dispatch
