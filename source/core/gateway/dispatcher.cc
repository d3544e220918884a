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
using events::Line;

// Running streams of an engine send events far more often than this.
constexpr Duration kStreamSilence = std::chrono::milliseconds(700);
// Time to the first answer of an engine that had nothing running.
constexpr Duration kFirstTokenSilence = std::chrono::milliseconds(1500);
constexpr Duration kPlainSilence = std::chrono::milliseconds(250);
constexpr double kPlainSilenceFactor = 8;
// A check that comes this late tells that this host stood still.
constexpr Duration kOwnPause = std::chrono::milliseconds(450);
// Time for all requests of a crashed endpoint to break off.
constexpr Duration kCrashGather = std::chrono::milliseconds(60);

}  // namespace

Dispatcher::Dispatcher(const Settings& settings,
                       const ViewKeeper& view,
                       forward::ConnectionPool& connections,
                       events::EventLog& log,
                       common::CounterRegistry& counters)
    : settings(settings),
      view(view),
      connections(connections),
      log(log),
      ejections(counters.GetCounter("endpoint_ejections_total")),
      moved_sends(counters.GetCounter("sends_moved_total")),
      retry_window(
          {settings.retry_ratio, settings.retry_slack, settings.retry_window}),
      random_source(common::EntropySeed()),
      hosts(static_cast<size_t>(settings.assumed_hosts)) {
  this->retry_window.SetHostCount(this->hosts);
}

void Dispatcher::SetHostCount(size_t count) {
  this->hosts = count == 0 ? 1 : count;
  this->retry_window.SetHostCount(this->hosts);
  for (auto& [name, pool] : this->pools)
    pool->SetHostCount(this->hosts);
}

void Dispatcher::Refresh() {
  const auto config = this->view.config();
  if (!config)
    return;
  std::map<std::string, std::vector<catalog::Endpoint>, std::less<>> registered;
  for (const auto& [id, endpoint] : this->view.endpoints().endpoints())
    registered[endpoint.service].push_back(endpoint);
  for (const catalog::Service& service : config->config().services) {
    if (service.cache_store)
      continue;
    auto& pool = this->pools[service.name];
    if (!pool)
      pool = std::make_unique<ServicePool>(this->settings.zone, this->hosts,
                                           this->random_source.Next());
    pool->Update(service, registered[service.name]);
  }
  this->IndexEndpoints();
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

void Dispatcher::OnPeerLost(uint64_t endpoint_hash) {
  const auto found = this->engines_by_hash.find(endpoint_hash);
  if (found == this->engines_by_hash.end())
    return;
  const auto record = found->second.record.lock();
  if (!record || !ServicePool::OnPeerLost(*record, runtime::BootNow()))
    return;
  this->ejections.Add();
  Line(this->log, Event::kEndpointEjected)
      .Add(Field::kEndpoint, record->endpoint().id)
      .Add(Field::kReason, "told_by_peer");
}

ServicePool* Dispatcher::PoolOf(std::string_view service) {
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
    Line(this->log, Event::kEndpointEjected)
        .Add(Field::kEndpoint, endpoint.endpoint().id)
        .Add(Field::kReason, dispatch::kSendOutcomeNames.NameOf(outcome))
        .Add(Field::kFailureShare, endpoint.health().failure_share());
    // Silence is not told: under overload it may be a long queue.
    if (outcome == SendOutcome::kNoRoute && this->endpoint_lost)
      this->endpoint_lost(endpoint.endpoint().id);
    return;
  }
  if (before == EndpointHealth::State::kProbation &&
      endpoint.health().StateAt(now) == EndpointHealth::State::kGood)
    Line(this->log, Event::kEndpointReadmitted)
        .Add(Field::kEndpoint, endpoint.endpoint().id);
}

void Dispatcher::OnBroken(const std::shared_ptr<EndpointRecord>& endpoint,
                          suspects::Fingerprint fingerprint) {
  const std::string& id = endpoint->endpoint().id;
  const auto [entry, is_first] = this->broken.try_emplace(id);
  entry->second.endpoint = endpoint;
  entry->second.fingerprints.push_back(fingerprint);
  if (is_first)
    runtime::SpawnHere([this, id] { this->CheckCrash(id); });
}

void Dispatcher::CheckCrash(const std::string& id) {
  runtime::SleepFor(kCrashGather);
  const auto found = this->broken.find(id);
  if (found == this->broken.end())
    return;
  const Broken gathered = std::move(found->second);
  this->broken.erase(found);
  const std::string& address = gathered.endpoint->endpoint().address;
  try {
    auto connection = this->connections.Connect(address);
    // It accepts connections, so it lost an answer but did not crash.
    this->connections.PutIdle(address, std::move(connection), runtime::BootNow());
    return;
  } catch (const common::Error&) {
    // Not reachable: handled below.
  }
  const TimePoint now = runtime::BootNow();
  this->connections.Drop(address);
  if (gathered.endpoint->health().StateAt(now) !=
      EndpointHealth::State::kEjected)
    gathered.endpoint->health().Eject(now);
  // One start of an endpoint crashes once, so the start is part of the name.
  const std::string start =
      id + "/" + std::to_string(gathered.endpoint->endpoint().born);
  this->suspect_list.OnEndpointCrash(start, gathered.fingerprints, now);
  Line(this->log, Event::kCrashMarked)
      .Add(Field::kEndpoint, id)
      .Add(Field::kCount, static_cast<uint64_t>(gathered.fingerprints.size()));
  if (this->crash_marks_changed)
    this->crash_marks_changed();
}

void Dispatcher::CheckSilence() {
  const TimePoint now = runtime::BootNow();
  if (now - this->last_check > kOwnPause)
    this->silence_floor = now;
  this->last_check = now;
  for (auto& [name, pool] : this->pools) {
    for (const auto& [id, record] : pool->records())
      this->CheckEndpoint(*pool, *record, now);
  }
  this->MoveSends(now);
}

void Dispatcher::CheckEndpoint(ServicePool& pool,
                               EndpointRecord& record,
                               TimePoint now) {
  if (record.own_in_flight() == 0 ||
      record.health().StateAt(now) == EndpointHealth::State::kEjected)
    return;
  const bool has_running = record.own_in_flight() > record.own_waiting();
  const TimePoint since = std::max(
      {record.last_heard(), record.waiting_since(), this->silence_floor});
  Duration limit;
  if (!pool.is_engine()) {
    const double usual_ms = record.mean_latency_ms() * kPlainSilenceFactor;
    limit = std::max(kPlainSilence, common::FromSeconds(usual_ms / 1000));
  } else {
    limit = has_running ? kStreamSilence : kFirstTokenSilence;
  }
  if (now - since < limit)
    return;
  this->OnOutcome(pool, record, SendOutcome::kSilent);
  this->connections.Drop(record.endpoint().address);
  // Long-lived connections may all have gone silent at the same moment.
  this->connections.DropUsedBefore(since);
}

void Dispatcher::MoveSends(TimePoint now) {
  std::vector<SendHandle> due;
  for (const auto& [handle, send] : this->active) {
    if (!send.move_after)
      continue;
    const bool endpoint_lost =
        send.endpoint->health().StateAt(now) ==
            EndpointHealth::State::kEjected &&
        now - std::max(send.endpoint->last_heard(), this->silence_floor) >
            kStreamSilence / 2;
    const TimePoint since = std::max(send.sent_at, this->silence_floor);
    const bool hangs = !send.started && now - since > *send.move_after;
    if (hangs || endpoint_lost)
      due.push_back(handle);
  }
  for (const SendHandle handle : due) {
    const auto found = this->active.find(handle);
    if (found == this->active.end())
      continue;
    auto move = std::move(found->second.move);
    this->active.erase(found);
    this->moved_sends.Add();
    move();
  }
}

}  // namespace jujuberock::gateway
