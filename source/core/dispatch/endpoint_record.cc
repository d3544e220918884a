#include "core/dispatch/endpoint_record.h"

#include <algorithm>
#include <cmath>

namespace jujuberock::dispatch {

namespace {

constexpr double kLatencySmoothing = 0.1;

}  // namespace

void EndpointRecord::OnSent(SendTicket& ticket, common::TimePoint now) {
  ticket.sent_at = now;
  this->cold_limit.OnSent(now);
  this->brittle_limit.OnSent(now);
  ticket.tokens_ahead = std::max(
      ticket.tokens_ahead,
      this->engine_room.OwnPending(ticket.urgency) + ticket.uncached_tokens);
  if (this->own_waiting() == 0)
    this->unanswered_since = now;
  ++this->in_flight;
  this->own_long_runs += ticket.is_long ? 1 : 0;
  this->engine_room.AddOwn(ticket.urgency, ticket.uncached_tokens,
                           ticket.memory_tokens);
}

void EndpointRecord::OnStarted(SendTicket& ticket, common::TimePoint now) {
  if (ticket.started || ticket.ended)
    return;
  ticket.started = true;
  ticket.started_at = now;
  ++this->started;
  this->last_byte_at = now;
  this->unanswered_since = now;
  this->engine_room.OnOwnStarted(ticket.urgency, ticket.uncached_tokens);
}

void EndpointRecord::OnEnded(SendTicket& ticket, common::TimePoint now) {
  if (ticket.ended)
    return;
  if (ticket.started)
    --this->started;
  else
    this->engine_room.OnOwnStarted(ticket.urgency, ticket.uncached_tokens);
  ticket.ended = true;
  --this->in_flight;
  this->engine_room.RemoveOwn(ticket.urgency, ticket.memory_tokens);
  this->own_long_runs -= ticket.is_long ? 1 : 0;
  if (!ticket.started)
    this->unanswered_since = now;
}

void EndpointRecord::OnLoadReport(const LoadReport& load,
                                  common::TimePoint now) {
  this->report = load;
  this->brittle_limit.OnReport(load.slots - load.running - load.waiting, now);
  this->reported_at = now;
  this->own_in_flight_at_report = this->in_flight;
  this->own_waiting_at_report = this->own_waiting();
  if (load.work_factor)
    this->rate.OnReport(*load.work_factor, now);
}

bool EndpointRecord::IsNews(const LoadReport& load,
                            common::TimePoint now) const {
  if (!load.work_factor)
    return false;
  const double others =
      std::max(0.0, static_cast<double>(load.waiting - this->own_waiting()));
  return this->rate.IsNews(*load.work_factor, now) ||
         std::abs(others - this->OthersWaiting(now)) >= kWaitingNews;
}

bool EndpointRecord::HasJustRefused(common::TimePoint now) const {
  return this->refused_at && now - *this->refused_at < kRefusalLifetime;
}

void EndpointRecord::OnLatency(common::Duration latency) {
  const double ms = common::ToMilliseconds(latency);
  if (this->latency_ms == 0)
    this->latency_ms = ms;
  this->latency_ms += kLatencySmoothing * (ms - this->latency_ms);
}

double EndpointRecord::ReportWeight(common::TimePoint now) const {
  if (!this->report)
    return 0;
  const double age = common::ToSeconds(now - this->reported_at) /
                     common::ToSeconds(kMaxReportAge);
  return std::clamp(1 - age, 0.0, 1.0);
}

double EndpointRecord::OthersInFlight(common::TimePoint now) const {
  if (!this->report)
    return 0;
  const auto others = this->report->running + this->report->waiting -
                      this->own_in_flight_at_report;
  return this->ReportWeight(now) *
         static_cast<double>(std::max<int64_t>(0, others));
}

double EndpointRecord::UnannouncedRuns(common::TimePoint now) const {
  return std::max(0.0, this->OthersInFlight(now) -
                           static_cast<double>(this->PeerRuns(now)));
}

int64_t EndpointRecord::LongRuns(common::TimePoint now) const {
  return this->own_long_runs + this->engine_room.PeerLongRuns(now);
}

double EndpointRecord::OthersWaiting(common::TimePoint now) const {
  if (!this->report)
    return 0;
  const auto others = this->report->waiting - this->own_waiting_at_report;
  return this->ReportWeight(now) *
         static_cast<double>(std::max<int64_t>(0, others));
}

void EndpointRecord::Reserve(std::string_view model,
                             uint64_t version,
                             common::TimePoint until) {
  this->reservation = Reservation{std::string(model), version, until};
}

bool EndpointRecord::IsReserved(common::TimePoint now) const {
  return this->reservation && now < this->reservation->until &&
         this->VersionOf(this->reservation->model) < this->reservation->version;
}

uint64_t EndpointRecord::VersionOf(std::string_view model) const {
  for (const catalog::ModelVersion& entry : this->description.models) {
    if (entry.model == model)
      return entry.version;
  }
  return 0;
}

void EndpointRecord::SetVersion(std::string_view model, uint64_t version) {
  for (catalog::ModelVersion& entry : this->description.models) {
    if (entry.model != model || entry.version >= version)
      continue;
    entry.version = version;
    // Parts that were cached under the old weights can't be reused.
    this->cache.Clear();
  }
}

}  // namespace jujuberock::dispatch
