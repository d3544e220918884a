#include "core/dispatch/process_continuity.h"

#include <algorithm>

namespace jujuberock::dispatch {

using common::Duration;
using common::TimePoint;

void ProcessContinuity::OnConnected(TimePoint now) {
  if (this->watched_since && now - this->gap_began > kMaxGap)
    this->BecomeUncertain(now);
  this->is_open = true;
  this->opened_at = now;
  if (!this->watched_since)
    this->watched_since = now;
}

void ProcessContinuity::OnClosed(TimePoint earliest, TimePoint now) {
  this->is_open = false;
  this->gap_began = earliest;
  if (now - this->opened_at < kMinLifetime)
    return;
  this->closings.push_back(now);
  if (this->closings.size() > kMaxClosings)
    this->closings.pop_front();
  if (this->response_broken_at && this->HasClosingAt(*this->response_broken_at))
    this->BecomeUncertain(now);
}

void ProcessContinuity::OnResponseBroken(TimePoint broken_at, TimePoint now) {
  this->response_broken_at = broken_at;
  if (this->HasClosingAt(broken_at))
    this->BecomeUncertain(now);
}

bool ProcessContinuity::HasClosingAt(TimePoint closed_at) const {
  return std::any_of(this->closings.begin(), this->closings.end(),
                     [&](TimePoint closing) {
                       return closing >= closed_at - kCloseTime &&
                              closing <= closed_at + kCloseTime;
                     });
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

void ProcessContinuity::OnRegistrationRead(TimePoint read_at,
                                           TimePoint answering_since,
                                           Duration lag) {
  if (this->is_uncertain && this->is_open && this->watched_since &&
      read_at >= std::max(*this->watched_since, answering_since) + lag)
    this->is_uncertain = false;
}

std::optional<bool> ProcessContinuity::RunsAfter(TimePoint closed_at) const {
  const TimePoint earliest = closed_at - kCloseTime;
  if (this->replaced_at && *this->replaced_at >= earliest)
    return false;
  if (this->HasClosingAt(closed_at))
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
