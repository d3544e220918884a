#include "core/gateway/dispatcher.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::TimePoint;
using dispatch::EndpointHealth;
using dispatch::EndpointRecord;
using dispatch::SendOutcome;
using dispatch::ServicePool;
using events::Event;
using events::Field;
using events::LogLine;

// Sends of a service that a check tries to move in vain before it leaves the
// others to the next check. Each try costs a choice of an endpoint, and when
// all endpoints are silent none succeeds.
constexpr size_t kMaxKeptSends = 16;
// While this host does not reach the endpoints of a service, it tries so many
// of them in each period.
constexpr Duration kProbePeriod = std::chrono::milliseconds(300);
constexpr size_t kProbesPerPeriod = 4;
// Time until all requests to a crashed endpoint have failed.
constexpr Duration kCrashBatchTime = std::chrono::milliseconds(60);
// Time beyond an endpoint's heartbeat in which its entry reaches the hosts.
constexpr Duration kEntryDelay = std::chrono::milliseconds(500);

}  // namespace

Dispatcher::Dispatcher(const Settings& settings,
                       const PlatformView& view,
                       forward::ConnectionPool& connections,
                       events::EventLog& log,
                       common::MetricRegistry& counters)
    : settings(settings),
      view(view),
      connections(connections),
      log(log),
      ejections(counters.GetCounter("endpoint_ejections_total")),
      moved_sends(counters.GetCounter("sends_moved_total")),
      reach_losses(counters.GetCounter("service_reach_losses_total")),
      retry_window(
          {settings.retry_ratio, settings.retry_slack, settings.retry_window}),
      part_suspect_list({.reporter = common::Hash64(settings.host_name),
                         .endpoint_names_recur = false}),
      random_source(common::EntropySeed()),
      host_count(static_cast<size_t>(settings.assumed_hosts)),
      stall_detector(kHostStallThreshold) {
  this->retry_window.SetHostCount(this->host_count);
  this->part_suspect_list.SetHostCount(this->host_count);
}

void Dispatcher::SetHosts(const std::set<std::string>& names,
                          std::string_view own) {
  this->ranking.SetHosts(names, own);
  this->host_count = std::max<size_t>(1, names.size());
  this->retry_window.SetHostCount(this->host_count);
  this->part_suspect_list.SetHostCount(this->host_count);
  for (auto& [name, pool] : this->pools)
    pool->SetHostCount(this->host_count);
}

void Dispatcher::Refresh() {
  const auto config = this->view.config();
  if (!config)
    return;
  std::map<std::string, std::vector<catalog::Endpoint>, std::less<>>
      endpoints_by_service;
  for (const auto& [id, endpoint] : this->view.endpoints().endpoints())
    endpoints_by_service[endpoint.service].push_back(endpoint);
  for (const catalog::Service& service : config->config().services) {
    if (service.cache_store)
      continue;
    auto& pool = this->pools[service.name];
    if (!pool)
      pool = std::make_unique<ServicePool>(
          this->settings.zone, this->host_count, this->random_source.Next(),
          dispatch::FilterInputs{&this->ranking, &this->view.evacuations()});
    pool->Update(service, endpoints_by_service[service.name]);
  }
  this->IndexEndpoints();
  for (auto& [service, gate] : this->gates)
    gate.OnRoomFreed();
}

AdmissionGate& Dispatcher::GateOf(std::string_view service) {
  const auto found = this->gates.find(service);
  if (found != this->gates.end())
    return found->second;
  return this->gates.try_emplace(std::string(service), runtime::BootNow)
      .first->second;
}

void Dispatcher::IndexEndpoints() {
  this->engines_by_hash.clear();
  for (const auto& [name, pool] : this->pools) {
    if (!pool->is_engine())
      continue;
    for (const auto& [id, record] : pool->records())
      this->engines_by_hash[common::Hash64(id)] = {record, pool.get()};
  }
}

void Dispatcher::OnPeerPrompt(uint64_t endpoint_hash,
                              const dispatch::PeerPrompt& prompt) {
  const auto found = this->engines_by_hash.find(endpoint_hash);
  if (found == this->engines_by_hash.end())
    return;
  const TimePoint now = runtime::BootNow();
  if (const auto record = found->second.record.lock())
    record->OnPeerPrompt(prompt, now);
  found->second.pool->OnSent(prompt, now);
}

void Dispatcher::OnPeerLoad(uint64_t endpoint_hash,
                            const dispatch::LoadReport& load) {
  const auto found = this->engines_by_hash.find(endpoint_hash);
  if (found == this->engines_by_hash.end())
    return;
  if (const auto record = found->second.record.lock())
    record->OnLoadReport(load, runtime::BootNow());
}

void Dispatcher::OnZoneReturned(const catalog::Evacuations::Change& change) {
  const Duration heard_of_by = this->settings.endpoint_heartbeat + kEntryDelay;
  const TimePoint now = runtime::BootNow();
  for (const auto& [name, pool] : this->pools) {
    // A host that can't reach the store will not read the entries.
    const bool is_told = change.source == catalog::EvacuationSource::kStore;
    const Duration cold_time =
        is_told ? Duration(0) : pool->endpoint_cold_time();
    pool->OnZoneReturned(change.zone_hash, now + heard_of_by + cold_time);
  }
}

void Dispatcher::OnWatched(const EndpointRecord& endpoint, bool is_reached) {
  ServicePool* pool = this->FindPool(endpoint.endpoint().service);
  if (!pool)
    return;
  if (is_reached)
    pool->OnReached(endpoint, runtime::BootNow());
  else
    pool->OnUnreached(endpoint, runtime::BootNow());
}

void Dispatcher::CheckReach() {
  const TimePoint now = runtime::BootNow();
  const bool is_probe_due = now - this->probed_at >= kProbePeriod;
  if (is_probe_due)
    this->probed_at = now;
  for (const auto& [name, pool] : this->pools) {
    pool->Tick(now);
    this->LogReach(name, *pool, now);
    if (!is_probe_due)
      continue;
    for (const auto& endpoint : pool->ToProbe(kProbesPerPeriod, kProbePeriod,
                                              now, this->random_source))
      runtime::SpawnLocal([this, endpoint] { this->Probe(endpoint); });
  }
}

void Dispatcher::Probe(const std::shared_ptr<EndpointRecord>& endpoint) {
  const auto reachability =
      this->connections.Probe(endpoint->endpoint().address);
  const bool is_reached = reachability == forward::Reachability::kReachable;
  this->OnWatched(*endpoint, is_reached);
  if (is_reached)
    endpoint->health().EndEjection(runtime::BootNow());
}

void Dispatcher::LogReach(const std::string& service,
                          const ServicePool& pool,
                          TimePoint now) {
  const auto since = this->impaired_since.find(service);
  const bool was_impaired = since != this->impaired_since.end();
  if (pool.IsImpaired() == was_impaired)
    return;
  LogLine line(this->log,
               was_impaired ? Event::kReachRegained : Event::kReachLost);
  line.Add(Field::kService, service)
      .Add(Field::kFailedConnects,
           static_cast<uint64_t>(pool.unreached_count()))
      .Add(Field::kCount, static_cast<uint64_t>(pool.records().size()));
  if (was_impaired) {
    line.Add(Field::kElapsedMs, now - since->second);
    this->impaired_since.erase(since);
  } else {
    this->impaired_since.emplace(service, now);
    this->reach_losses.Add();
  }
  // Requests that wait may be handed over, or sent.
  this->GateOf(service).OnRoomFreed();
}

void Dispatcher::CheckColdEndpoints() {
  const TimePoint now = runtime::BootNow();
  for (const auto& [name, pool] : this->pools) {
    if (!pool->has_cold_limit())
      continue;
    for (const auto& [id, record] : pool->records())
      this->LogCold(*pool, *record, now);
  }
}

void Dispatcher::LogCold(const ServicePool& pool,
                         EndpointRecord& record,
                         TimePoint now) {
  const bool is_cold =
      pool.ColdStateOf(record, now) == dispatch::ColdState::kCold;
  if (is_cold == record.was_cold)
    return;
  record.was_cold = is_cold;
  LogLine line(this->log,
               is_cold ? Event::kEndpointCold : Event::kEndpointWarm);
  line.Add(Field::kEndpoint, record.endpoint().id)
      .Add(Field::kService, record.endpoint().service);
  const auto until = record.cold().cold_until();
  if (is_cold && until && *until > now)
    line.Add(Field::kColdLeftMs, *until - now);
}

void Dispatcher::OnPeerUnreachable(uint64_t endpoint_hash) {
  const auto found = this->engines_by_hash.find(endpoint_hash);
  if (found == this->engines_by_hash.end())
    return;
  const auto record = found->second.record.lock();
  if (!record || !ServicePool::OnPeerUnreachable(*record, runtime::BootNow()))
    return;
  this->ejections.Add();
  LogLine(this->log, Event::kEndpointEjected)
      .Add(Field::kEndpoint, record->endpoint().id)
      .Add(Field::kReason, "told_by_peer");
}

void Dispatcher::OnNotice(EndpointRecord& endpoint,
                          const catalog::EndpointNotice& notice) {
  const TimePoint now = runtime::BootNow();
  if (notice.retry_after) {
    endpoint.backoff_until =
        std::max(endpoint.backoff_until, now + *notice.retry_after);
    LogLine(this->log, Event::kEndpointBackoff)
        .Add(Field::kEndpoint, endpoint.endpoint().id)
        .Add(Field::kRetryAfterMs, *notice.retry_after);
  }
  if (!notice.is_of_other)
    this->OnBrittle(endpoint, notice.brittle_limit, now);
  if (!notice.is_leaving || endpoint.endpoint().leaving)
    return;
  endpoint.MarkLeaving();
  if (this->on_endpoint_leaving)
    this->on_endpoint_leaving(endpoint.endpoint());
}

void Dispatcher::OnBrittle(EndpointRecord& endpoint,
                           std::optional<int64_t> limit,
                           TimePoint now) {
  ServicePool* pool = this->FindPool(endpoint.endpoint().service);
  if (!pool)
    return;
  const bool was_brittle =
      endpoint.brittle().statement().LimitAt(now).has_value();
  pool->OnBrittle(endpoint, limit, now);
  if (limit.has_value() == was_brittle)
    return;
  LogLine line(this->log,
               limit ? Event::kEndpointBrittle : Event::kEndpointNotBrittle);
  line.Add(Field::kEndpoint, endpoint.endpoint().id)
      .Add(Field::kService, endpoint.endpoint().service);
  if (limit)
    line.Add(Field::kRefusalLimit, *limit);
}

void Dispatcher::OnNotice(const catalog::Endpoint& endpoint,
                          const catalog::EndpointNotice& notice) {
  const ServicePool* pool = this->FindPool(endpoint.service);
  const auto record = pool ? pool->Find(endpoint.id) : nullptr;
  if (record && record->endpoint().started_at_ms == endpoint.started_at_ms)
    this->OnNotice(*record, notice);
}

ServicePool* Dispatcher::FindPool(std::string_view service) {
  const auto found = this->pools.find(service);
  return found == this->pools.end() ? nullptr : found->second.get();
}

Dispatcher::SendHandle Dispatcher::Register(ActiveSend send) {
  const SendHandle handle = this->next_handle++;
  this->active.emplace(handle, std::move(send));
  return handle;
}

void Dispatcher::MarkStarted(SendHandle handle) {
  const auto found = this->active.find(handle);
  if (found != this->active.end())
    found->second.started = true;
}

void Dispatcher::MarkFirstEvent(SendHandle handle) {
  const auto found = this->active.find(handle);
  if (found != this->active.end())
    found->second.has_first_event = true;
}

void Dispatcher::Unregister(SendHandle handle) {
  this->active.erase(handle);
}

void Dispatcher::OnOutcome(ServicePool& pool,
                           EndpointRecord& endpoint,
                           SendOutcome outcome) {
  const TimePoint now = runtime::BootNow();
  const auto before = endpoint.health().StateAt(now);
  const bool ejected = pool.OnOutcome(endpoint, outcome, now);
  if (ejected) {
    this->ejections.Add();
    LogLine(this->log, Event::kEndpointEjected)
        .Add(Field::kEndpoint, endpoint.endpoint().id)
        .Add(Field::kReason, dispatch::kSendOutcomeNames.NameOf(outcome))
        .Add(Field::kFailureShare, endpoint.health().failure_share());
    // Silence is not reported to other hosts: under overload it may be caused
    // by a long queue.
    // A host that reaches none is likely to be cut off itself.
    const bool is_gone =
        (outcome == SendOutcome::kNoRoute && !pool.IsImpaired()) ||
        outcome == SendOutcome::kReplaced;
    if (is_gone && this->on_endpoint_unreachable)
      this->on_endpoint_unreachable(endpoint.endpoint().id);
    return;
  }
  if (before == EndpointHealth::State::kProbation &&
      endpoint.health().StateAt(now) == EndpointHealth::State::kHealthy)
    LogLine(this->log, Event::kEndpointReadmitted)
        .Add(Field::kEndpoint, endpoint.endpoint().id);
}

EndEvidence Dispatcher::CheckAfterEnd(EndpointRecord& endpoint,
                                      uint64_t process,
                                      Duration watch_time) {
  constexpr Duration kCloseTime = dispatch::ProcessContinuity::kCloseTime;
  const std::string address = endpoint.endpoint().address;
  const TimePoint closed_at = runtime::BootNow();
  const auto runs = [&]() -> std::optional<bool> {
    // The end of a response that a slow caller takes is noticed late.
    if (endpoint.process().generation() != process)
      return false;
    return endpoint.process().RunsAfter(closed_at);
  };
  runtime::SleepFor(kCloseTime);
  if (runs() != false && watch_time > kCloseTime)
    runtime::SleepFor(watch_time - kCloseTime);
  const bool was_open = runs() == true;
  // The watched connection may have gone silent, so that it does not show the
  // end of the process; only a new connection does.
  const forward::Reachability reachability =
      runs() == false ? forward::Reachability::kRefused
                      : this->connections.Probe(address);
  if (runs() == false) {
    endpoint.process().OnResponseBroken(closed_at, runtime::BootNow());
    return EndEvidence::kProcessEnded;
  }
  switch (reachability) {
    case forward::Reachability::kReachable:
      return was_open ? EndEvidence::kSameProcess : EndEvidence::kReachable;
    case forward::Reachability::kReset:
      return was_open ? EndEvidence::kSameProcess : EndEvidence::kRefused;
    case forward::Reachability::kRefused:
      return EndEvidence::kRefused;
    case forward::Reachability::kSilent:
      break;
  }
  return EndEvidence::kSilent;
}

void Dispatcher::OnBroken(const std::shared_ptr<EndpointRecord>& endpoint,
                          const BrokenRun& run) {
  const std::string& id = endpoint->endpoint().id;
  const auto [entry, is_first] = this->broken_by_endpoint.try_emplace(id);
  entry->second.endpoint = endpoint;
  entry->second.fingerprints.push_back(run.request);
  entry->second.parts.insert(entry->second.parts.end(), run.parts.begin(),
                             run.parts.end());
  if (!is_first)
    return;
  entry->second.broken_at = runtime::BootNow();
  runtime::SpawnLocal([this, id] { this->CheckCrash(id); });
}

void Dispatcher::CheckCrash(const std::string& id) {
  runtime::SleepFor(kCrashBatchTime);
  const auto found = this->broken_by_endpoint.find(id);
  if (found == this->broken_by_endpoint.end())
    return;
  const BrokenRequests requests = std::move(found->second);
  this->broken_by_endpoint.erase(found);
  const std::string& address = requests.endpoint->endpoint().address;
  // If it can be reached, it has lost a response but not crashed.
  const forward::Reachability reachability = this->connections.Probe(address);
  const bool is_full =
      reachability == forward::Reachability::kReset &&
      requests.endpoint->process().RunsAfter(requests.broken_at) == true;
  if (reachability == forward::Reachability::kReachable || is_full)
    return;
  const TimePoint now = runtime::BootNow();
  this->connections.Drop(address);
  if (requests.endpoint->health().StateAt(now) !=
      EndpointHealth::State::kEjected)
    requests.endpoint->health().Eject(now);
  // An instance of an endpoint can crash only once, so its start time is part
  // of the name.
  const std::string instance =
      id + "/" + std::to_string(requests.endpoint->endpoint().started_at_ms);
  this->suspect_list.OnEndpointCrash(instance, requests.fingerprints, now);
  // Repeated requests may have been sent since the connections broke.
  this->part_suspect_list.OnEndpointCrash(instance, requests.parts,
                                          requests.broken_at);
  LogLine(this->log, Event::kCrashMarked)
      .Add(Field::kEndpoint, id)
      .Add(Field::kCount, static_cast<uint64_t>(requests.fingerprints.size()));
  if (this->on_crash_marks_changed)
    this->on_crash_marks_changed();
}

void Dispatcher::MergeMarks(const std::vector<suspects::CrashMark>& marks,
                            const std::vector<suspects::PartMark>& part_marks) {
  const TimePoint now = runtime::BootNow();
  this->suspect_list.Merge(marks, now);
  this->part_suspect_list.Merge(part_marks, now);
}

void Dispatcher::CheckSuspects() {
  const TimePoint now = runtime::BootNow();
  this->part_suspect_list.Tick(now);
  const size_t blocked = this->part_suspect_list.CountBlocked(now);
  // Other requests were only affected by the crashes that a part has caused.
  if (blocked > 0)
    this->suspect_list.RemoveCrashes(
        this->part_suspect_list.ExplainedCrashes());
  if (blocked == this->blocked_parts)
    return;
  this->blocked_parts = blocked;
  LogLine(this->log, Event::kPartsBlocked)
      .Add(Field::kCount, static_cast<uint64_t>(blocked));
}

void Dispatcher::CheckSilence() {
  const TimePoint now = runtime::BootNow();
  this->stall_detector.OnTick(now);
  const SendsByEndpoint sends = this->SendsInProgress();
  for (auto& [name, pool] : this->pools) {
    for (const auto& [id, record] : pool->records()) {
      const auto found = sends.find(record.get());
      if (found == sends.end())
        continue;
      // Whether the endpoint is silent is not known while nothing is read.
      if (found->second.empty())
        record->OnBytesReceived(now);
      else
        this->CheckEndpointSilence(*pool, *record, found->second, now);
    }
  }
  this->MoveSends(now);
}

Dispatcher::SendsByEndpoint Dispatcher::SendsInProgress() const {
  SendsByEndpoint sends;
  for (const auto& [handle, send] : this->active) {
    auto& sends_of_endpoint = sends[send.endpoint.get()];
    if (send.waits_for_caller())
      continue;
    const double usual_ms = send.endpoint->mean_latency_ms();
    sends_of_endpoint.push_back({send.answer_kind, send.targets, send.started,
                                 send.has_first_event,
                                 common::FromSeconds(usual_ms / 1000)});
  }
  return sends;
}

void Dispatcher::CheckEndpointSilence(
    ServicePool& pool,
    EndpointRecord& record,
    const std::vector<dispatch::SendProgress>& sends,
    TimePoint now) {
  if (record.own_in_flight() == 0 ||
      record.health().StateAt(now) == EndpointHealth::State::kEjected)
    return;
  const TimePoint since =
      std::max({record.last_byte_time(), record.waiting_since(),
                this->stall_detector.resumed_at()});
  if (now - since < dispatch::EndpointSilenceLimit(sends))
    return;
  this->OnOutcome(pool, record, SendOutcome::kSilent);
  this->connections.Drop(record.endpoint().address);
  // Long-lived connections, also to other endpoints, may have died at the same
  // time.
  this->connections.DropUsedBefore(since);
}

bool ActiveSend::MustNotBegin(const PlatformView& view, TimePoint now) const {
  if (this->has_first_event || this->model.empty())
    return false;
  const auto deadline = view.StartDeadline(this->model, this->version);
  return deadline && now >= *deadline;
}

bool ActiveSend::IsStalled(TimePoint resumed_at, TimePoint now) const {
  if (!this->has_first_event ||
      this->answer_kind == dispatch::AnswerKind::kWhole)
    return false;
  const TimePoint since = std::max(this->last_event_at(), resumed_at);
  return now - since > dispatch::StalledMoveLimit(this->targets);
}

std::optional<MoveReason> Dispatcher::ReasonToMove(const ActiveSend& send,
                                                   TimePoint now) const {
  if (send.MustNotBegin(this->view, now))
    return MoveReason::kOutdatedWeights;
  if (!send.move_timeout || send.waits_for_caller())
    return std::nullopt;
  const bool is_unresponsive =
      send.endpoint->health().StateAt(now) == EndpointHealth::State::kEjected &&
      now - std::max(send.endpoint->last_byte_time(),
                     this->stall_detector.resumed_at()) >
          dispatch::EjectedSilenceLimit(send.targets);
  const TimePoint since =
      std::max(send.sent_at, this->stall_detector.resumed_at());
  if (!send.started && now - since > *send.move_timeout)
    return MoveReason::kNoResponse;
  if (is_unresponsive)
    return MoveReason::kSilentEndpoint;
  if (send.IsStalled(this->stall_detector.resumed_at(), now))
    return MoveReason::kStalled;
  return std::nullopt;
}

void Dispatcher::MoveSends(TimePoint now) {
  std::vector<std::pair<SendHandle, MoveReason>> due;
  for (const auto& [handle, send] : this->active) {
    if (const auto reason = this->ReasonToMove(send, now))
      due.emplace_back(handle, *reason);
  }
  if (due.empty())
    return;
  // Begins anywhere, so that the limit does not always pass over the same ones.
  const auto first =
      static_cast<std::ptrdiff_t>(this->random_source.Next() % due.size());
  std::rotate(due.begin(), due.begin() + first, due.end());
  std::map<const ServicePool*, size_t> kept;
  for (const auto& [handle, reason] : due) {
    const auto found = this->active.find(handle);
    if (found == this->active.end())
      continue;
    size_t& kept_in_pool = kept[found->second.pool];
    if (reason != MoveReason::kOutdatedWeights && kept_in_pool >= kMaxKeptSends)
      continue;
    if (!found->second.move(reason)) {
      ++kept_in_pool;
      continue;
    }
    this->active.erase(found);
    this->moved_sends.Add();
  }
}

}  // namespace jujuberock::gateway
