#include "core/dispatch/brittle_limit.h"

#include <algorithm>

#include "core/dispatch/cold_limit.h"

namespace jujuberock::dispatch {

namespace {

using common::TimePoint;

// Shares of the refusals that the endpoint survives are given out up to this
// part. The rest is for hosts whose views of each other differ and for requests
// that their callers send elsewhere.
constexpr int64_t kGivenOutNumerator = 3;
constexpr int64_t kGivenOutDenominator = 4;
// Part of the slots that is not given out, for hosts whose views differ.
constexpr int64_t kSlotMarginDivisor = 16;
// Free slots that are left to the hosts that have not used their share.
constexpr int64_t kReserveDivisor = 2;
// A larger limit is no limit in practice.
constexpr int64_t kMaxLimit = 1'000'000;

size_t ShareOf(const std::optional<size_t>& rank, size_t hosts, int64_t total) {
  if (!rank || total <= 0)
    return 0;
  return ColdShare(*rank, hosts, static_cast<size_t>(total));
}

}  // namespace

void BrittleLimit::Remember(std::deque<TimePoint>& times, TimePoint now) {
  while (!times.empty() && times.front() + kPeriod <= now)
    times.pop_front();
  if (times.size() >= kMaxRemembered)
    times.pop_front();
  times.push_back(now);
}

size_t BrittleLimit::CountAfter(const std::deque<TimePoint>& times,
                                TimePoint start) {
  return static_cast<size_t>(
      std::count_if(times.begin(), times.end(),
                    [&](TimePoint time) { return time > start; }));
}

void BrittleLimit::OnSent(TimePoint now) {
  Remember(this->sends, now);
}

void BrittleLimit::OnRefused(TimePoint now) {
  Remember(this->refusals, now);
}

void BrittleLimit::OnReport(int64_t free_slots, TimePoint now) {
  this->reported_at = now;
  this->free_slots = free_slots;
}

bool BrittleLimit::IsFull(TimePoint now) const {
  const bool was_refused =
      !this->refusals.empty() && now < this->refusals.back() + kPeriod;
  const bool is_refusal_newer =
      was_refused &&
      (!this->reported_at || *this->reported_at <= this->refusals.back());
  if (is_refusal_newer)
    return true;
  return this->reported_at && this->free_slots <= 0 &&
         now < *this->reported_at + kFullReportLifetime;
}

bool BrittleLimit::HasSpareSlot(const Terms& terms) const {
  const int64_t spare = this->free_slots - terms.slots / kReserveDivisor;
  const size_t share =
      std::min(ShareOf(terms.slot_rank, terms.hosts, spare), kMaxRemembered);
  return CountAfter(this->sends, *this->reported_at - kReportLag) < share;
}

bool BrittleLimit::Allows(const Terms& terms, TimePoint now) const {
  if (this->IsFull(now))
    return false;
  const int64_t shared_slots = terms.slots - terms.slots / kSlotMarginDivisor;
  const auto sure =
      static_cast<int64_t>(ShareOf(terms.slot_rank, terms.hosts, shared_slots));
  if (terms.own_in_flight < sure)
    return true;
  const bool is_report_recent =
      this->reported_at && now < *this->reported_at + kReportLifetime;
  if (is_report_recent) {
    // Other hosts are about to use the rest for what is within their shares.
    if (this->free_slots <= terms.slots / kReserveDivisor)
      return false;
    if (this->HasSpareSlot(terms))
      return true;
  }
  const int64_t limit = std::clamp<int64_t>(terms.limit, 0, kMaxLimit);
  const int64_t given_out = limit * kGivenOutNumerator / kGivenOutDenominator;
  const size_t share = std::min(
      ShareOf(terms.refusal_rank, terms.hosts, given_out), kMaxRemembered);
  const auto refused =
      static_cast<int64_t>(CountAfter(this->refusals, now - kPeriod));
  return terms.own_in_flight - sure + refused < static_cast<int64_t>(share);
}

}  // namespace jujuberock::dispatch
