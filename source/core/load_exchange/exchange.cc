#include "core/load_exchange/exchange.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "core/common/hash.h"

namespace jujuberock::load_exchange {

using common::Duration;
using common::TimePoint;

namespace {

// Size of a msgpack load entry without a full report: a 4-byte id, a 2-byte
// time and two small numbers, with their type bytes.
constexpr double kEntryBytes = 14;

// Size of a msgpack cache event: a 16-byte key and its type bytes.
constexpr double kEventBytes = 20;

// A full report is sent again when the cache usage has changed by this share of
// the capacity, since exports depend on it.
constexpr double kCacheUsageChange = 0.05;

int64_t ToMs(Duration time) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

// Returns the time closest to `near` with these low 16 bits.
int64_t ReconstructMs(int64_t near, uint16_t low) {
  return near + static_cast<int16_t>(low - static_cast<uint16_t>(near));
}

LoadEntry ShortEntry(uint32_t id, const routing::LoadReport& report) {
  LoadEntry entry;
  entry.endpoint_id = id;
  entry.as_of_ms_low = static_cast<uint16_t>(ToMs(report.as_of));
  entry.running = report.running;
  entry.queued_steps = static_cast<uint32_t>(
      (report.queued_tokens + LoadEntry::kQueuedTokensStep / 2) /
      LoadEntry::kQueuedTokensStep);
  return entry;
}

// Whether the fields that only a full report carries are equal.
bool SameStaticFields(const routing::LoadReport& a,
                      const routing::LoadReport& b) {
  return a.slots == b.slots &&
         a.prefill_tokens_per_s == b.prefill_tokens_per_s &&
         a.decode_ms == b.decode_ms &&
         a.kv_capacity_blocks == b.kv_capacity_blocks &&
         a.version == b.version && a.leaving == b.leaving;
}

}  // namespace

Exchange::Exchange(std::string self, ExchangeOptions options)
    : self(std::move(self)), options(options), hosts{this->self} {}

void Exchange::SetEndpoints(std::vector<std::string> names, TimePoint now) {
  const std::set<std::string> wanted(names.begin(), names.end());
  std::erase_if(this->endpoints, [&](const auto& item) {
    if (wanted.contains(item.first))
      return false;
    this->names_by_id.erase(item.second.id);
    return true;
  });
  for (const std::string& name : wanted) {
    auto [found, added] = this->endpoints.try_emplace(name);
    if (!added)
      continue;
    found->second.id = static_cast<uint32_t>(common::Hash64(name));
    found->second.rank = this->RankOf(name);
    found->second.last_report_at = now;
    this->names_by_id[found->second.id] = name;
  }
}

void Exchange::SetHosts(std::vector<std::string> hosts) {
  if (hosts == this->hosts)
    return;
  this->hosts = std::move(hosts);
  this->RefreshRanks();
}

void Exchange::RefreshRanks() {
  for (auto& [name, state] : this->endpoints)
    state.rank = this->RankOf(name);
}

size_t Exchange::RankOf(std::string_view endpoint) const {
  const uint64_t seed = common::Hash64(endpoint);
  const uint64_t own = common::Hash64(this->self, seed);
  return static_cast<size_t>(std::count_if(
      this->hosts.begin(), this->hosts.end(), [&](const std::string& host) {
        return host != this->self && common::Hash64(host, seed) > own;
      }));
}

Duration Exchange::PollPeriod() const {
  const double bytes =
      kEntryBytes * static_cast<double>(this->endpoints.size());
  const Duration budgeted_period =
      common::FromSeconds(bytes / this->options.receive_budget_bytes_per_s);
  return std::max(this->options.min_period, budgeted_period);
}

bool Exchange::IsDue(const State& state, TimePoint now) const {
  if (state.last_poll_at && now < *state.last_poll_at + this->PollPeriod())
    return false;
  if (state.rank == 0)
    return true;
  const Duration timeout =
      this->PollPeriod() +
      this->options.takeover_delay * static_cast<int64_t>(state.rank);
  return now >= state.last_report_at + timeout;
}

std::vector<std::string> Exchange::TakeDuePolls(TimePoint now) {
  std::vector<std::string> due;
  for (auto& [name, state] : this->endpoints) {
    if (!this->IsDue(state, now))
      continue;
    state.last_poll_at = now;
    due.push_back(name);
  }
  return due;
}

void Exchange::OnPolled(const std::string& endpoint,
                        const routing::LoadReport& report,
                        TimePoint now) {
  auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end())
    return;
  State& state = found->second;
  const bool same_static_fields =
      state.report && SameStaticFields(*state.report, report);
  // A restarted endpoint starts a new clock; receivers accept an earlier time
  // only in a full report.
  if (!same_static_fields || report.as_of < state.report->as_of)
    state.full_sent = false;
  state.report = report;
  state.last_report_at = now;
  state.unsent = true;
}

void Exchange::OnPolledEvents(const std::string& endpoint, EventBatch batch) {
  auto found = this->endpoints.find(endpoint);
  if (found == this->endpoints.end() ||
      (batch.events.empty() && !batch.restarted))
    return;
  EventBatch& unsent = found->second.unsent_events;
  const uint64_t expected = unsent.first_sequence + unsent.events.size();
  if (unsent.events.empty() || batch.restarted ||
      batch.first_sequence != expected) {
    batch.restarted = batch.restarted || unsent.restarted;
    unsent = std::move(batch);
    return;
  }
  unsent.events.insert(unsent.events.end(), batch.events.begin(),
                       batch.events.end());
}

size_t Exchange::EventsPerMessage(TimePoint now) const {
  // A long pause must not allow a burst that exceeds the budget of one second.
  const Duration elapsed = std::clamp<Duration>(
      now - this->last_message, this->options.min_period,
      std::max<Duration>(this->PollPeriod(), std::chrono::seconds(1)));
  const double share = this->options.event_budget_bytes_per_s /
                       static_cast<double>(this->hosts.size());
  return static_cast<size_t>(share * common::ToSeconds(elapsed) / kEventBytes);
}

void Exchange::AttachEvents(State& state,
                            LoadEntry& entry,
                            size_t& events_left) {
  EventBatch batch = std::exchange(state.unsent_events, {});
  if (batch.events.empty() && !batch.restarted)
    return;
  // The newest events are the most useful; the gap makes older entries stale.
  if (batch.events.size() > events_left) {
    const size_t dropped = batch.events.size() - events_left;
    batch.events.erase(batch.events.begin(),
                       batch.events.begin() + static_cast<ptrdiff_t>(dropped));
    batch.first_sequence += dropped;
  }
  events_left -= batch.events.size();
  if (!batch.events.empty() || batch.restarted)
    entry.cache_events = std::move(batch);
}

bool Exchange::NeedsFull(const State& state, TimePoint now) const {
  const double usage_change =
      std::abs(static_cast<double>(state.report->kv_used_blocks) -
               static_cast<double>(state.last_full_kv_used_blocks));
  const auto capacity = static_cast<double>(state.report->kv_capacity_blocks);
  return !state.full_sent || usage_change > kCacheUsageChange * capacity ||
         now >= state.last_full_at + this->options.full_period;
}

LoadMessage Exchange::TakeMessage(TimePoint now) {
  LoadMessage message;
  size_t events_left = this->EventsPerMessage(now);
  this->last_message = now;
  for (auto& [name, state] : this->endpoints) {
    if (!state.unsent)
      continue;
    state.unsent = false;
    LoadEntry entry = ShortEntry(state.id, *state.report);
    if (this->NeedsFull(state, now)) {
      entry.full = LoadEntry::Full{name, *state.report};
      state.full_sent = true;
      state.last_full_at = now;
      state.last_full_kv_used_blocks = state.report->kv_used_blocks;
    }
    this->AttachEvents(state, entry, events_left);
    message.entries.push_back(std::move(entry));
  }
  return message;
}

// Returns nullopt if the entry is older than the stored report, or if there is
// no stored report to complete it.
std::optional<routing::LoadReport> Exchange::ReportOf(
    const State& state,
    const LoadEntry& entry) const {
  if (entry.full)
    return entry.full->report;
  if (!state.report)
    return std::nullopt;
  const int64_t stored_ms = ToMs(state.report->as_of);
  const int64_t entry_ms = ReconstructMs(stored_ms, entry.as_of_ms_low);
  if (entry_ms < stored_ms)
    return std::nullopt;
  routing::LoadReport report = *state.report;
  report.as_of = std::chrono::milliseconds(entry_ms);
  report.running = entry.running;
  report.queued_tokens = entry.queued_steps * LoadEntry::kQueuedTokensStep;
  return report;
}

std::vector<ReceivedReport> Exchange::OnMessage(const LoadMessage& message,
                                                TimePoint now) {
  std::vector<ReceivedReport> updates;
  for (const LoadEntry& entry : message.entries) {
    auto name = this->names_by_id.find(entry.endpoint_id);
    if (name == this->names_by_id.end())
      continue;
    State& state = this->endpoints.find(name->second)->second;
    // Some host polls this endpoint, even if the report arrives late. Without a
    // full report the entry is useless, so this host will poll the endpoint
    // itself.
    if (state.report || entry.full)
      state.last_report_at = now;
    std::optional<routing::LoadReport> report = this->ReportOf(state, entry);
    if (!report)
      continue;
    state.report = report;
    updates.push_back({name->second, std::move(*report), entry.cache_events});
  }
  return updates;
}

}  // namespace jujuberock::load_exchange
