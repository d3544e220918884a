#include "core/serve/fleet.h"

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

// Engines of other zones take work only when the own zone can not, and plain
// services report nothing, so these polls only need to notice changes.
constexpr common::Duration kOtherPollPeriod = std::chrono::seconds(1);

// One lost answer is not taken as the endpoint's end.
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

load_exchange::EventRun ToEventRun(const endpoint::CacheEvents& received) {
  using Op = routing::CacheEvent::Op;
  load_exchange::EventRun run;
  run.first_sequence =
      received.events.empty() ? received.first : received.events[0].sequence;
  for (const endpoint::CacheEvent& event : received.events) {
    if (const auto key = routing::ParseBlockKey(event.key))
      run.events.push_back({event.added ? Op::kAdd : Op::kRemove, *key});
  }
  return run;
}

load_exchange::ExchangeOptions ExchangeOptionsOf(const Settings& settings) {
  load_exchange::ExchangeOptions options;
  options.min_period = settings.load_poll_period;
  return options;
}

}  // namespace

Fleet::Fleet(runtime::WorkerPool& pool,
             common::TimerService& timers,
             const table::SharedView& view,
             GuardedRouter& router,
             endpoint::EngineClient& engines,
             endpoint::PlainClient& plains,
             cache_store::Client& stores,
             common::CounterRegistry& counters,
             const Settings& settings)
    : timers(timers),
      view(view),
      router(router),
      engines(engines),
      plains(plains),
      stores(stores),
      settings(settings),
      polls(counters.GetCounter("endpoint_polls_total")),
      poll_failures(counters.GetCounter("endpoint_poll_failures_total")),
      exchange(settings.host_name, ExchangeOptionsOf(settings)),
      fibers(pool) {}

void Fleet::Start(SendToZone send, OnLeavingReport on_leaving) {
  this->send_to_zone = std::move(send);
  this->on_leaving_report = std::move(on_leaving);
  // Half a period, since a poll that is due just after a tick waits for the
  // next one.
  this->fibers.Every(this->timers, this->settings.load_poll_period / 2,
                     [this](TimePoint now) {
                       this->PollZone(now);
                       this->SendReports(now);
                     });
  this->fibers.Every(this->timers, kOtherPollPeriod,
                     [this](TimePoint) { this->PollOthers(); });
  this->fibers.Every(this->timers, this->settings.store_poll_period,
                     [this](TimePoint) { this->PollStores(); });
}

void Fleet::SetZoneHosts(std::vector<std::string> hosts) {
  RankedLock lock(this->mutex);
  this->exchange.SetHosts(std::move(hosts));
}

void Fleet::OnConfig() {
  const table::SnapshotPtr rows = this->view.Current();
  const TimePoint now = this->timers.Now();
  RankedLock lock(this->mutex);
  for (const auto& [name, row] : rows->endpoints()) {
    const auto address = Address::Parse(row->address);
    if (!address)
      continue;
    Member& member = this->members[name];
    if (member.address != *address) {
      // A new process: what was observed of the old one says nothing.
      member.down = false;
      member.leaving_by_report = false;
    }
    member.info = {name, row->service, row->zone};
    member.address = *address;
    const table::Service* service = rows->ServicePolicy(row->service);
    member.plain = service && service->kind == table::ServiceKind::kPlain;
    member.leaving_in_table = row->state == table::MemberState::kLeaving;
    this->Tell(member);
  }
  for (auto it = this->members.begin(); it != this->members.end();) {
    if (rows->FindEndpoint(it->first)) {
      ++it;
      continue;
    }
    it->second.down = true;
    this->Tell(it->second);
    it = this->members.erase(it);
  }
  std::vector<std::string> own_engines;
  for (const auto& [name, member] : this->members) {
    if (this->IsOwnEngine(member))
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

// Tells the router about a changed state; the mutex must be held.
void Fleet::Tell(Member& member) {
  EndpointState state = EndpointState::kLive;
  if (member.leaving_in_table || member.leaving_by_report ||
      member.leaving_in_zone)
    state = EndpointState::kLeaving;
  if (member.down)
    state = EndpointState::kGone;
  if (member.told == state)
    return;
  member.told = state;
  const TimePoint now = this->timers.Now();
  this->router.With([&](routing::Router& router) {
    router.OnEndpointState(member.info, state, now);
  });
}

void Fleet::ReportDown(std::string_view endpoint) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(endpoint);
  if (found == this->members.end() || found->second.down)
    return;
  LOG(WARNING) << "endpoint " << endpoint << " does not answer";
  found->second.down = true;
  this->Tell(found->second);
}

void Fleet::SetLeavingInZone(std::string_view endpoint, bool leaving) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(endpoint);
  if (found == this->members.end())
    return;
  found->second.leaving_in_zone = leaving;
  this->Tell(found->second);
}

std::optional<Address> Fleet::AddressOf(std::string_view endpoint) const {
  const table::SnapshotPtr rows = this->view.Current();
  const table::Endpoint* row = rows->FindEndpoint(endpoint);
  if (!row)
    return std::nullopt;
  return Address::Parse(row->address);
}

std::optional<uint32_t> Fleet::SlotsOf(std::string_view service) {
  RankedLock lock(this->mutex);
  uint32_t slots = 0;
  for (const auto& [name, member] : this->members) {
    const bool usable = member.told == EndpointState::kLive;
    if (!usable || member.info.service != service)
      continue;
    slots += member.plain ? static_cast<uint32_t>(this->settings.plain_slots)
                          : member.slots;
  }
  if (slots == 0)
    return std::nullopt;
  return slots;
}

std::vector<std::string> Fleet::NamesWhere(bool (*condition)(const Member&)) {
  RankedLock lock(this->mutex);
  std::vector<std::string> names;
  for (const auto& [name, member] : this->members) {
    if (condition(member))
      names.push_back(name);
  }
  return names;
}

std::vector<std::string> Fleet::Down() {
  return this->NamesWhere([](const Member& member) { return member.down; });
}

std::vector<std::string> Fleet::Leaving() {
  return this->NamesWhere([](const Member& member) {
    return member.leaving_in_table || member.leaving_by_report ||
           member.leaving_in_zone;
  });
}

bool Fleet::IsOwnEngine(const Member& member) const {
  return !member.plain && member.info.zone == this->settings.zone;
}

// Polls the engines of this zone that fall to this host.
void Fleet::PollZone(TimePoint now) {
  RankedLock lock(this->mutex);
  for (const std::string& name : this->exchange.TakeDuePolls(now)) {
    const auto found = this->members.find(name);
    if (found != this->members.end())
      this->StartPoll(name, found->second);
  }
}

// Polls in rounds; a large fleet is bounded by polls_per_second, so that the
// work of a host does not grow with it.
void Fleet::PollOthers() {
  RankedLock lock(this->mutex);
  const auto bound = static_cast<size_t>(this->settings.polls_per_second);
  size_t left = std::min(bound, this->members.size());
  auto it = this->members.lower_bound(this->next_poll);
  for (; left > 0; --left, ++it) {
    if (it == this->members.end())
      it = this->members.begin();
    Member& member = it->second;
    // A plain service reports no load and other hosts may poll an engine of
    // this zone, so of those only the ones that are down are asked.
    const bool always = !member.plain && !this->IsOwnEngine(member);
    if (always || member.down)
      this->StartPoll(it->first, member);
  }
  this->next_poll = it == this->members.end() ? "" : it->first;
}

// The mutex must be held.
void Fleet::StartPoll(const std::string& name, Member& member) {
  if (member.polling)
    return;
  member.polling = true;
  this->fibers.Spawn(
      [this, name, address = member.address, plain = member.plain] {
        this->PollEndpoint(name, address, plain);
      });
}

void Fleet::SendReports(TimePoint now) {
  load_exchange::LoadMessage message;
  {
    RankedLock lock(this->mutex);
    if (now < this->reports_due)
      return;
    this->reports_due = now + this->exchange.Period();
    message = this->exchange.TakeMessage(now);
  }
  if (this->send_to_zone && !message.entries.empty())
    this->send_to_zone(load_exchange::Encode(message));
}

void Fleet::OnLoadReports(std::string_view bytes) {
  const load_exchange::LoadMessage message = load_exchange::Decode(bytes);
  std::vector<load_exchange::NamedReport> news;
  {
    RankedLock lock(this->mutex);
    news = this->exchange.OnMessage(message, this->timers.Now());
  }
  for (const load_exchange::NamedReport& item : news) {
    this->OnReport(item.endpoint, item.report, item.cache);
  }
}

void Fleet::PollEndpoint(const std::string& name,
                         const Address& address,
                         bool plain) {
  this->polls.Add();
  try {
    if (!plain) {
      this->PollEngine(name, address);
    } else if (this->plains.Probe(address, this->settings.probe_timeout) ==
               endpoint::ProbeResult::kAnswered) {
      this->OnPollAnswered(name);
    }
  } catch (const Error& error) {
    this->poll_failures.Add();
    this->OnPollFailed(name);
  }
  RankedLock lock(this->mutex);
  const auto found = this->members.find(name);
  if (found != this->members.end())
    found->second.polling = false;
}

void Fleet::PollEngine(const std::string& name, const Address& address) {
  const routing::LoadReport report = ToReport(this->engines.Load(address));
  this->OnPollAnswered(name);
  const uint64_t since = this->router.With(
      [&](routing::Router& router) { return router.NextSequence(name); });
  endpoint::CacheEvents received = this->engines.Events(address, since);
  const bool restarted = received.next < since;
  if (restarted)
    received = this->engines.Events(address, 0);
  load_exchange::EventRun run = ToEventRun(received);
  run.restarted = restarted;
  this->OnReport(name, report, run);
  {
    RankedLock lock(this->mutex);
    this->exchange.OnPolled(name, report, this->timers.Now());
    this->exchange.OnPolledEvents(name, std::move(run));
  }
  this->on_leaving_report(name, report.leaving);
}

void Fleet::OnReport(const std::string& name,
                     const routing::LoadReport& report,
                     const std::optional<load_exchange::EventRun>& run) {
  this->Note(name, report);
  const TimePoint now = this->timers.Now();
  this->router.With([&](routing::Router& router) {
    router.OnLoadReport(name, report, now);
    if (run && run->restarted)
      router.OnHolderRestarted(name);
    if (run)
      router.OnCacheEvents(name, run->first_sequence, run->events, now);
  });
}

void Fleet::OnPollAnswered(const std::string& name) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(name);
  if (found == this->members.end())
    return;
  Member& member = found->second;
  member.failed_polls = 0;
  if (std::exchange(member.down, false))
    LOG(INFO) << "endpoint " << name << " answers again";
  this->Tell(member);
}

// Another host's report does not end `down`: this host may be the one that
// can not reach the endpoint.
void Fleet::Note(const std::string& name, const routing::LoadReport& report) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(name);
  if (found == this->members.end())
    return;
  found->second.slots = report.slots;
  found->second.leaving_by_report = report.leaving;
  this->Tell(found->second);
}

void Fleet::OnPollFailed(const std::string& name) {
  bool is_down = false;
  {
    RankedLock lock(this->mutex);
    const auto found = this->members.find(name);
    if (found == this->members.end())
      return;
    is_down = ++found->second.failed_polls >= kFailedPollsUntilDown;
  }
  if (is_down)
    this->ReportDown(name);
}

void Fleet::PollStores() {
  std::map<std::string, Address> due;
  {
    RankedLock lock(this->mutex);
    due = this->known_stores;
  }
  for (const auto& [name, address] : due) {
    this->fibers.Spawn([this, name = name, address = address] {
      this->PollStore(name, address);
    });
  }
}

void Fleet::PollStore(const std::string& name, const Address& address) {
  try {
    const uint64_t since = this->router.With(
        [&](routing::Router& router) { return router.NextSequence(name); });
    const cache_store::StoreStatus status = this->stores.Status(address, since);
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
