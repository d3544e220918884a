#include "core/routing/endpoint_load.h"

#include <algorithm>

namespace jujuberock::routing {

namespace {

// Weight of the newest observation in moving averages.
constexpr double kSmoothing = 0.05;
// Assumed until requests have been observed.
constexpr double kDefaultRequestTokens = 2000;
// Lets the estimated clock offset follow clocks that drift by up to 100 ppm.
constexpr int64_t kDriftDivisor = 10'000;

void Smooth(double& value, double observed) {
  value = value == 0 ? observed : value + kSmoothing * (observed - value);
}

}  // namespace

void EndpointLoad::OnReport(const LoadReport& report, common::TimePoint now) {
  const common::Duration offset = now.time_since_epoch() - report.as_of;
  if (this->clock_offset && this->last_report) {
    const common::Duration drift =
        (report.as_of - this->last_report->as_of) / kDriftDivisor;
    *this->clock_offset += std::max(drift, common::Duration::zero());
  }
  this->clock_offset = std::min(offset, this->clock_offset.value_or(offset));
  // A restarted endpoint starts a new clock.
  if (this->last_report && report.as_of < this->last_report->as_of)
    this->clock_offset = offset;
  this->last_report = report;
  this->reported_at = common::TimePoint(report.as_of + *this->clock_offset);
  this->own_queued_tokens = 0;
  this->own_new_requests = 0;
  this->own_finished_requests = 0;
  for (const auto& [id, request] : this->in_flight) {
    if (this->IsReported(request))
      continue;
    ++this->own_new_requests;
    if (!request.first_token)
      this->own_queued_tokens += request.tokens;
  }
}

void EndpointLoad::OnDispatched(RequestId id,
                                uint64_t tokens,
                                common::TimePoint now) {
  this->in_flight[id] = {now, tokens, false};
  this->own_queued_tokens += tokens;
  ++this->own_new_requests;
  Smooth(this->mean_prefill_tokens, static_cast<double>(tokens));
}

void EndpointLoad::OnFirstToken(RequestId id, common::TimePoint) {
  auto found = this->in_flight.find(id);
  if (found == this->in_flight.end() || found->second.first_token)
    return;
  found->second.first_token = true;
  if (!this->IsReported(found->second))
    this->own_queued_tokens -= found->second.tokens;
}

void EndpointLoad::OnFinished(RequestId id, common::TimePoint now) {
  auto found = this->in_flight.find(id);
  if (found == this->in_flight.end())
    return;
  this->OnFirstToken(id, now);
  Smooth(this->mean_request_seconds,
         common::ToSeconds(now - found->second.dispatched_at));
  if (this->IsReported(found->second))
    ++this->own_finished_requests;
  else
    --this->own_new_requests;
  this->in_flight.erase(found);
}

double EndpointLoad::WaitSeconds(common::TimePoint now,
                                 common::Duration report_lifetime,
                                 bool count_own) const {
  const double rate = this->prefill_rate();
  if (rate <= 0)
    return 0;
  double queued = 0;
  if (now - this->reported_at <= report_lifetime)
    queued = static_cast<double>(this->last_report->queued_tokens);
  if (count_own)
    queued += static_cast<double>(this->own_queued_tokens);
  const double tokens = this->mean_prefill_tokens > 0
                            ? this->mean_prefill_tokens
                            : kDefaultRequestTokens;
  const double waiting = queued / tokens;
  const double drained = rate * common::ToSeconds(now - this->reported_at);
  const double prefill = std::max(0.0, queued - drained) / rate;
  const double slots = std::max(1u, this->last_report->slots);
  const double beyond = this->Occupancy(count_own) * slots - slots;
  if (beyond < 0)
    return prefill;
  // All slots are taken: the request starts when those ahead of it have
  // finished.
  const double ahead = std::max(beyond, waiting) + 1;
  return std::max(prefill, ahead * this->mean_request_seconds / slots);
}

double EndpointLoad::Occupancy(bool count_own) const {
  if (!this->last_report)
    return static_cast<double>(this->in_flight.size());
  int running = static_cast<int>(this->last_report->running);
  if (count_own)
    running += this->own_new_requests - this->own_finished_requests;
  return std::max(0, running) /
         static_cast<double>(std::max(1u, this->last_report->slots));
}

double EndpointLoad::prefill_rate() const {
  return this->last_report ? this->last_report->prefill_tokens_per_s : 0;
}

bool EndpointLoad::has_other_requests() const {
  if (!this->last_report)
    return false;
  const auto own_reported = static_cast<int>(this->in_flight.size()) -
                            this->own_new_requests +
                            this->own_finished_requests;
  return static_cast<int>(this->last_report->running) > own_reported ||
         (this->last_report->queued_tokens > 0 && own_reported == 0);
}

}  // namespace jujuberock::routing
