#include "core/serve/endpoint_monitor.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/load_exchange/codec.h"

namespace jujuberock::serve {

using common::Error;
using common::RankedLock;
using common::TimePoint;
using routing::EndpointState;
using runtime::Address;

namespace {

// Engines of other zones get requests only when this zone can not take them,
// and plain services report no load, so these polls only detect state changes.
constexpr common::Duration kRoundRobinPollPeriod = std::chrono::seconds(1);

// A single lost answer does not mean that the endpoint is down.
constexpr int kFailedPollsUntilDown = 3;

routing::LoadReport ToReport(const endpoint::EngineLoad& load) {
  const auto count = [](int64_t value) {
    return static_cast<uint64_t>(std::max<int64_t>(0, value));
  };
  routing::LoadReport report;
  report.as_of = std::chrono::milliseconds(load.as_of_ms);
  report.running = static_cast<uint32_t>(count(load.running));
  report.queued_tokens = count(load.queued_tokens);
  report.slots = static_cast<uint32_t>(std::max<int64_t>(1, load.slots));
  report.prefill_tokens_per_s = load.prefill_tokens_per_s;
  report.decode_ms = load.decode_ms;
  report.kv_capacity_blocks = count(load.kv_capacity_blocks);
  report.kv_used_blocks = count(load.kv_used_blocks);
  report.version = load.version;
  report.leaving = load.leaving;
  return report;
}

load_exchange::EventBatch ToEventBatch(const endpoint::CacheEvents& received) {
  using Op = routing::CacheEvent::Op;
  load_exchange::EventBatch batch;
  batch.first_sequence =
      received.events.empty() ? received.first : received.events[0].sequence;
  for (const endpoint::CacheEvent& event : received.events) {
    if (const auto key = routing::ParseBlockKey(event.key))
      batch.events.push_back({event.added ? Op::kAdd : Op::kRemove, *key});
  }
  return batch;
}

load_exchange::ExchangeOptions ExchangeOptionsOf(const Settings& settings) {
  load_exchange::ExchangeOptions options;
  options.min_period = settings.load_poll_period;
  return options;
}

}  // namespace

EndpointMonitor::EndpointMonitor(runtime::WorkerPool& pool,
                                 common::TimerService& timers,
                                 const table::SharedView& view,
                                 GuardedRouter& router,
                                 endpoint::EngineClient& engine_client,
                                 endpoint::PlainClient& plain_client,
                                 cache_store::Client& store_client,
                                 common::MetricRegistry& counters,
                                 const Settings& settings)
    : timers(timers),
      view(view),
      router(router),
      engine_client(engine_client),
      plain_client(plain_client),
      store_client(store_client),
      settings(settings),
      polls(counters.GetCounter("endpoint_polls_total")),
      poll_failures(counters.GetCounter("endpoint_poll_failures_total")),
      exchange(settings.host_name, ExchangeOptionsOf(settings)),
      fibers(pool) {}

void EndpointMonitor::Start(SendToZone send, OnLeavingReport on_leaving) {
  this->send_to_zone = std::move(send);
  this->on_leaving_report = std::move(on_leaving);
  // Runs at half the period, because a poll that falls due just after a tick
  // waits for the next tick.
  this->fibers.Every(this->timers, this->settings.load_poll_period / 2,
                     [this](TimePoint now) {
                       this->PollZoneEngines(now);
                       this->SendReports(now);
                     });
  this->fibers.Every(this->timers, kRoundRobinPollPeriod,
                     [this](TimePoint) { this->PollRoundRobin(); });
  this->fibers.Every(this->timers, this->settings.store_poll_period,
                     [this](TimePoint) { this->PollStores(); });
}

void EndpointMonitor::SetZoneHosts(std::vector<std::string> hosts) {
  RankedLock lock(this->mutex);
  this->exchange.SetHosts(std::move(hosts));
}

void EndpointMonitor::ApplyTable() {
  const table::SnapshotPtr rows = this->view.Current();
  const TimePoint now = this->timers.Now();
  RankedLock lock(this->mutex);
  for (const auto& [name, row] : rows->endpoints()) {
    const auto address = Address::Parse(row->address);
    if (!address)
      continue;
    EndpointEntry& entry = this->known_endpoints[name];
    if (entry.address != *address) {
      // A new address means a new process; discard what was observed of the
      // old.
      entry.down = false;
      entry.leaving_by_report = false;
    }
    entry.info = {name, row->service, row->zone};
    entry.address = *address;
    const table::Service* service = rows->FindService(row->service);
    entry.plain = service && service->kind == table::ServiceKind::kPlain;
    entry.leaving_in_table = row->state == table::MemberState::kLeaving;
    this->NotifyRouter(entry);
  }
  for (auto it = this->known_endpoints.begin();
       it != this->known_endpoints.end();) {
    if (rows->FindEndpoint(it->first)) {
      ++it;
      continue;
    }
    it->second.down = true;
    this->NotifyRouter(it->second);
    it = this->known_endpoints.erase(it);
  }
  std::vector<std::string> own_engines;
  for (const auto& [name, entry] : this->known_endpoints) {
    if (this->IsZoneEngine(entry))
      own_engines.push_back(name);
  }
  this->exchange.SetEndpoints(std::move(own_engines), now);
  std::map<std::string, Address> stores_now;
  for (const auto& [name, row] : rows->stores()) {
    if (const auto address = Address::Parse(row->address))
      stores_now.emplace(name, *address);
  }
  this->router.With([&](routing::Router& router) {
    for (const auto& [name, address] : this->known_stores) {
      if (!stores_now.contains(name))
        router.OnStoreState(name, false, now);
    }
    for (const auto& [name, address] : stores_now) {
      if (!this->known_stores.contains(name))
        router.OnStoreState(name, true, now);
    }
  });
  this->known_stores = std::move(stores_now);
}

// Notifies the router of a changed state. The mutex must be held.
void EndpointMonitor::NotifyRouter(EndpointEntry& entry) {
  EndpointState state = EndpointState::kLive;
  if (entry.leaving_in_table || entry.leaving_by_report ||
      entry.leaving_in_zone)
    state = EndpointState::kLeaving;
  if (entry.down)
    state = EndpointState::kGone;
  if (entry.notified_state == state)
    return;
  entry.notified_state = state;
  const TimePoint now = this->timers.Now();
  this->router.With([&](routing::Router& router) {
    router.OnEndpointState(entry.info, state, now);
  });
}

void EndpointMonitor::ReportDown(std::string_view endpoint) {
  RankedLock lock(this->mutex);
  const auto found = this->known_endpoints.find(endpoint);
  if (found == this->known_endpoints.end() || found->second.down)
    return;
  LOG(WARNING) << "endpoint " << endpoint << " does not answer";
  found->second.down = true;
  this->NotifyRouter(found->second);
}

void EndpointMonitor::SetLeavingInZone(std::string_view endpoint,
                                       bool leaving) {
  RankedLock lock(this->mutex);
  const auto found = this->known_endpoints.find(endpoint);
  if (found == this->known_endpoints.end())
    return;
  found->second.leaving_in_zone = leaving;
  this->NotifyRouter(found->second);
}

std::optional<Address> EndpointMonitor::AddressOf(
    std::string_view endpoint) const {
  const table::SnapshotPtr rows = this->view.Current();
  const table::Endpoint* row = rows->FindEndpoint(endpoint);
  if (!row)
    return std::nullopt;
  return Address::Parse(row->address);
}

std::optional<uint32_t> EndpointMonitor::SlotsOf(std::string_view service) {
  RankedLock lock(this->mutex);
  uint32_t slots = 0;
  for (const auto& [name, entry] : this->known_endpoints) {
    const bool is_live = entry.notified_state == EndpointState::kLive;
    if (!is_live || entry.info.service != service)
      continue;
    slots += entry.plain ? static_cast<uint32_t>(this->settings.plain_slots)
                         : entry.slots;
  }
  if (slots == 0)
    return std::nullopt;
  return slots;
}

std::vector<std::string> EndpointMonitor::NamesWhere(
    bool (*condition)(const EndpointEntry&)) {
  RankedLock lock(this->mutex);
  std::vector<std::string> names;
  for (const auto& [name, entry] : this->known_endpoints) {
    if (condition(entry))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> EndpointMonitor::DownEndpoints() {
  return this->NamesWhere(
      [](const EndpointEntry& entry) { return entry.down; });
}

std::vector<std::string> EndpointMonitor::LeavingEndpoints() {
  return this->NamesWhere([](const EndpointEntry& entry) {
    return entry.leaving_in_table || entry.leaving_by_report ||
           entry.leaving_in_zone;
  });
}

bool EndpointMonitor::IsZoneEngine(const EndpointEntry& entry) const {
  return !entry.plain && entry.info.zone == this->settings.zone;
}

// Polls the engines of this zone that are assigned to this host.
void EndpointMonitor::PollZoneEngines(TimePoint now) {
  RankedLock lock(this->mutex);
  for (const std::string& name : this->exchange.TakeDuePolls(now)) {
    const auto found = this->known_endpoints.find(name);
    if (found != this->known_endpoints.end())
      this->StartPoll(name, found->second);
  }
}

// Polls the other endpoints round-robin. polls_per_second bounds the work of a
// host, so that it does not grow with the number of endpoints.
void EndpointMonitor::PollRoundRobin() {
  RankedLock lock(this->mutex);
  const auto max_polls = static_cast<size_t>(this->settings.polls_per_second);
  size_t remaining = std::min(max_polls, this->known_endpoints.size());
  auto it = this->known_endpoints.lower_bound(this->next_endpoint);
  for (; remaining > 0; --remaining, ++it) {
    if (it == this->known_endpoints.end())
      it = this->known_endpoints.begin();
    EndpointEntry& entry = it->second;
    // Plain services report no load, and other hosts may poll the engines of
    // this zone. Both are polled here only while they are down.
    const bool is_remote_engine = !entry.plain && !this->IsZoneEngine(entry);
    if (is_remote_engine || entry.down)
      this->StartPoll(it->first, entry);
  }
  this->next_endpoint = it == this->known_endpoints.end() ? "" : it->first;
}

// The mutex must be held.
void EndpointMonitor::StartPoll(const std::string& name, EndpointEntry& entry) {
  if (entry.polling)
    return;
  entry.polling = true;
  this->fibers.Spawn(
      [this, name, address = entry.address, plain = entry.plain] {
        this->PollEndpoint(name, address, plain);
      });
}

void EndpointMonitor::SendReports(TimePoint now) {
  load_exchange::LoadMessage message;
  {
    RankedLock lock(this->mutex);
    if (now < this->reports_due)
      return;
    this->reports_due = now + this->exchange.PollPeriod();
    message = this->exchange.TakeMessage(now);
  }
  if (this->send_to_zone && !message.entries.empty())
    this->send_to_zone(load_exchange::Encode(message));
}

void EndpointMonitor::OnLoadReports(std::string_view bytes) {
  const load_exchange::LoadMessage message = load_exchange::Decode(bytes);
  std::vector<load_exchange::ReceivedReport> reports;
  {
    RankedLock lock(this->mutex);
    reports = this->exchange.OnMessage(message, this->timers.Now());
  }
  for (const load_exchange::ReceivedReport& item : reports) {
    this->OnReport(item.endpoint, item.report, item.cache_events);
  }
}

void EndpointMonitor::PollEndpoint(const std::string& name,
                                   const Address& address,
                                   bool plain) {
  this->polls.Add();
  try {
    if (!plain) {
      this->PollEngine(name, address);
    } else if (this->plain_client.Probe(address,
                                        this->settings.probe_timeout) ==
               endpoint::ProbeResult::kAnswered) {
      this->OnPollAnswered(name);
    }
  } catch (const Error& error) {
    this->poll_failures.Add();
    this->OnPollFailed(name);
  }
  RankedLock lock(this->mutex);
  const auto found = this->known_endpoints.find(name);
  if (found != this->known_endpoints.end())
    found->second.polling = false;
}

void EndpointMonitor::PollEngine(const std::string& name,
                                 const Address& address) {
  const routing::LoadReport report =
      ToReport(this->engine_client.Load(address));
  this->OnPollAnswered(name);
  const uint64_t since = this->router.With(
      [&](routing::Router& router) { return router.NextSequence(name); });
  endpoint::CacheEvents received = this->engine_client.Events(address, since);
  const bool restarted = received.next < since;
  if (restarted)
    received = this->engine_client.Events(address, 0);
  load_exchange::EventBatch batch = ToEventBatch(received);
  batch.restarted = restarted;
  this->OnReport(name, report, batch);
  {
    RankedLock lock(this->mutex);
    this->exchange.OnPolled(name, report, this->timers.Now());
    this->exchange.OnPolledEvents(name, std::move(batch));
  }
  this->on_leaving_report(name, report.leaving);
}

void EndpointMonitor::OnReport(
    const std::string& name,
    const routing::LoadReport& report,
    const std::optional<load_exchange::EventBatch>& batch) {
  this->ApplyReport(name, report);
  const TimePoint now = this->timers.Now();
  this->router.With([&](routing::Router& router) {
    router.OnLoadReport(name, report, now);
    if (batch && batch->restarted)
      router.OnHolderRestarted(name);
    if (batch)
      router.OnCacheEvents(name, batch->first_sequence, batch->events, now);
  });
}

void EndpointMonitor::OnPollAnswered(const std::string& name) {
  RankedLock lock(this->mutex);
  const auto found = this->known_endpoints.find(name);
  if (found == this->known_endpoints.end())
    return;
  EndpointEntry& entry = found->second;
  entry.failed_polls = 0;
  if (std::exchange(entry.down, false))
    LOG(INFO) << "endpoint " << name << " answers again";
  this->NotifyRouter(entry);
}

// A report from another host does not clear `down`, since the endpoint may be
// unreachable from this host only.
void EndpointMonitor::ApplyReport(const std::string& name,
                                  const routing::LoadReport& report) {
  RankedLock lock(this->mutex);
  const auto found = this->known_endpoints.find(name);
  if (found == this->known_endpoints.end())
    return;
  found->second.slots = report.slots;
  found->second.leaving_by_report = report.leaving;
  this->NotifyRouter(found->second);
}

void EndpointMonitor::OnPollFailed(const std::string& name) {
  bool is_down = false;
  {
    RankedLock lock(this->mutex);
    const auto found = this->known_endpoints.find(name);
    if (found == this->known_endpoints.end())
      return;
    is_down = ++found->second.failed_polls >= kFailedPollsUntilDown;
  }
  if (is_down)
    this->ReportDown(name);
}

void EndpointMonitor::PollStores() {
  std::map<std::string, Address> stores_to_poll;
  {
    RankedLock lock(this->mutex);
    stores_to_poll = this->known_stores;
  }
  for (const auto& [name, address] : stores_to_poll) {
    this->fibers.Spawn([this, name = name, address = address] {
      this->PollStore(name, address);
    });
  }
}

void EndpointMonitor::PollStore(const std::string& name,
                                const Address& address) {
  try {
    const uint64_t since = this->router.With(
        [&](routing::Router& router) { return router.NextSequence(name); });
    const cache_store::StoreStatus status =
        this->store_client.Status(address, since);
    routing::LinkReport report;
    report.capacity_bytes = status.capacity_bytes;
    report.used_bytes = status.used_bytes;
    report.link_bytes_per_s = status.link_bytes_per_s;
    report.sent_bytes = status.sent_bytes;
    report.received_bytes = status.received_bytes;
    std::vector<routing::CacheEvent> events;
    for (const cache_store::StoreEvent& event : status.events) {
      if (const auto key = routing::ParseBlockKey(event.key))
        events.push_back({event.added ? routing::CacheEvent::Op::kAdd
                                      : routing::CacheEvent::Op::kRemove,
                          *key});
    }
    this->router.With([&](routing::Router& router) {
      router.OnLinkReport(name, report, this->timers.Now());
      router.OnCacheEvents(name, status.first_event, events,
                           this->timers.Now());
    });
  } catch (const Error& error) {
    this->poll_failures.Add();
  }
}

}  // namespace jujuberock::serve
