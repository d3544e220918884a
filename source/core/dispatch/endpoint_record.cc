#include "core/dispatch/endpoint_record.h"

#include <algorithm>
#include <cmath>

namespace jujuberock::dispatch {

namespace {

constexpr double kLatencySmoothing = 0.1;
constexpr size_t kMaxPeerRuns = 512;

}  // namespace

void EndpointRecord::OnSent(SendTicket& ticket, common::TimePoint now) {
  ticket.sent_at = now;
  ticket.tokens_ahead =
      std::max(ticket.tokens_ahead,
               this->PendingTokens(ticket.urgency) + ticket.uncached_tokens);
  if (this->own_waiting() == 0)
    this->unanswered_since = now;
  ++this->in_flight;
  this->memory_in_use += ticket.memory_tokens;
  this->own_long_runs += ticket.is_long ? 1 : 0;
  this->pending_tokens[static_cast<size_t>(ticket.urgency)] +=
      ticket.uncached_tokens;
}

void EndpointRecord::OnStarted(SendTicket& ticket, common::TimePoint now) {
  if (ticket.started || ticket.ended)
    return;
  ticket.started = true;
  ticket.started_at = now;
  ++this->started;
  this->last_byte_at = now;
  this->unanswered_since = now;
  this->pending_tokens[static_cast<size_t>(ticket.urgency)] -=
      ticket.uncached_tokens;
}

void EndpointRecord::OnEnded(SendTicket& ticket, common::TimePoint now) {
  if (ticket.ended)
    return;
  if (ticket.started)
    --this->started;
  else
    this->pending_tokens[static_cast<size_t>(ticket.urgency)] -=
        ticket.uncached_tokens;
  ticket.ended = true;
  --this->in_flight;
  this->memory_in_use -= ticket.memory_tokens;
  this->own_long_runs -= ticket.is_long ? 1 : 0;
  if (!ticket.started)
    this->unanswered_since = now;
}

void EndpointRecord::OnLoadReport(const LoadReport& load,
                                  common::TimePoint now) {
  this->report = load;
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

int64_t EndpointRecord::PendingTokens(int urgency) const {
  int64_t tokens = 0;
  for (int i = 0; i <= urgency; ++i)
    tokens += this->pending_tokens[static_cast<size_t>(i)];
  return tokens;
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

void EndpointRecord::ExpirePeerRuns(common::TimePoint now) const {
  std::erase_if(this->peer_runs, [&](const PeerRun& run) {
    if (now < run.until)
      return false;
    this->peer_memory -= run.memory_tokens;
    this->peer_long_runs -= run.is_long ? 1 : 0;
    return true;
  });
}

int64_t EndpointRecord::PeerRuns(common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return static_cast<int64_t>(this->peer_runs.size());
}

int64_t EndpointRecord::PeerMemory(common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return this->peer_memory;
}

int64_t EndpointRecord::LongRuns(common::TimePoint now) const {
  this->ExpirePeerRuns(now);
  return this->own_long_runs + this->peer_long_runs;
}

double EndpointRecord::OthersWaiting(common::TimePoint now) const {
  if (!this->report)
    return 0;
  const auto others = this->report->waiting - this->own_waiting_at_report;
  return this->ReportWeight(now) *
         static_cast<double>(std::max<int64_t>(0, others));
}

void EndpointRecord::OnPeerPrompt(const PeerPrompt& prompt,
                                  common::TimePoint now) {
  if (this->peer_tokens <= 0)
    this->peer_tokens_at = now;
  this->peer_tokens += static_cast<double>(prompt.uncached_tokens);
  // Announcements of other hosts are not trusted without a limit.
  if (this->peer_runs.size() >= kMaxPeerRuns)
    return;
  this->peer_runs.push_back(
      {now + prompt.run_time, prompt.memory_tokens, prompt.is_long});
  this->peer_memory += prompt.memory_tokens;
  this->peer_long_runs += prompt.is_long ? 1 : 0;
}

double EndpointRecord::PeerTokens(double token_ms,
                                  common::TimePoint now) const {
  if (this->peer_tokens <= 0 || token_ms <= 0)
    return 0;
  const double passed_ms = common::ToMilliseconds(now - this->peer_tokens_at);
  this->peer_tokens = std::max(0.0, this->peer_tokens - passed_ms / token_ms);
  this->peer_tokens_at = now;
  return this->peer_tokens;
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
