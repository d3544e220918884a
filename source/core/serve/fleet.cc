#include "core/serve/fleet.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::Error;
using common::RankedLock;
using common::TimePoint;
using routing::EndpointState;
using runtime::Address;

namespace {

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

std::vector<routing::CacheEvent> ToEvents(
    const endpoint::CacheEvents& received) {
  using Op = routing::CacheEvent::Op;
  std::vector<routing::CacheEvent> events;
  for (const endpoint::CacheEvent& event : received.events) {
    if (const auto key = routing::ParseBlockKey(event.key))
      events.push_back({event.added ? Op::kAdd : Op::kRemove, *key});
  }
  return events;
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
      fibers(pool) {}

void Fleet::Start() {
  this->fibers.Every(this->timers, this->settings.load_poll_period,
                     [this](TimePoint now) { this->PollDueEndpoints(now); });
  this->fibers.Every(this->timers, this->settings.store_poll_period,
                     [this](TimePoint) { this->PollStores(); });
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
  if (member.leaving_in_table || member.leaving_by_report)
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

void Fleet::ReportLeaving(std::string_view endpoint) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(endpoint);
  if (found == this->members.end())
    return;
  found->second.leaving_by_report = true;
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
    return member.leaving_in_table || member.leaving_by_report;
  });
}

// Polls in rounds; a large fleet is bounded by polls_per_second, so that the
// work of a host does not grow with it.
void Fleet::PollDueEndpoints(TimePoint) {
  const double period = common::ToSeconds(this->settings.load_poll_period);
  const double bound =
      period * static_cast<double>(this->settings.polls_per_second);
  size_t left = std::max<size_t>(1, static_cast<size_t>(bound));
  std::vector<std::pair<std::string, Member>> due;
  {
    RankedLock lock(this->mutex);
    left = std::min(left, this->members.size());
    auto it = this->members.lower_bound(this->next_poll);
    for (; left > 0; --left, ++it) {
      if (it == this->members.end())
        it = this->members.begin();
      Member& member = it->second;
      // A plain service reports no load, so only one that is down is asked.
      if (member.polling || (member.plain && !member.down))
        continue;
      member.polling = true;
      due.emplace_back(it->first, member);
    }
    this->next_poll = it == this->members.end() ? "" : it->first;
  }
  for (const auto& [name, member] : due) {
    this->fibers.Spawn(
        [this, name = name, address = member.address, plain = member.plain] {
          this->PollEndpoint(name, address, plain);
        });
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
      this->OnPollAnswered(name, std::nullopt);
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
  const endpoint::EngineLoad load = this->engines.Load(address);
  this->OnPollAnswered(name, load);
  const routing::LoadReport report = ToReport(load);
  const uint64_t since = this->router.With([&](routing::Router& router) {
    router.OnLoadReport(name, report, this->timers.Now());
    return router.NextSequence(name);
  });
  const endpoint::CacheEvents received = this->engines.Events(address, since);
  const std::vector<routing::CacheEvent> events = ToEvents(received);
  const uint64_t first =
      received.events.empty() ? received.first : received.events[0].sequence;
  this->router.With([&](routing::Router& router) {
    router.OnCacheEvents(name, first, events, this->timers.Now());
  });
}

void Fleet::OnPollAnswered(const std::string& name,
                           std::optional<endpoint::EngineLoad> load) {
  RankedLock lock(this->mutex);
  const auto found = this->members.find(name);
  if (found == this->members.end())
    return;
  Member& member = found->second;
  member.failed_polls = 0;
  if (std::exchange(member.down, false))
    LOG(INFO) << "endpoint " << name << " answers again";
  if (load) {
    member.slots = static_cast<uint32_t>(std::max<int64_t>(0, load->slots));
    member.leaving_by_report = load->leaving;
  }
  this->Tell(member);
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
    const cache_store::StoreStatus status = this->stores.Status(address);
    routing::LinkReport report;
    report.capacity_bytes = status.capacity_bytes;
    report.used_bytes = status.used_bytes;
    report.link_bytes_per_s = status.link_bytes_per_s;
    report.sent_bytes = status.sent_bytes;
    report.received_bytes = status.received_bytes;
    this->router.With([&](routing::Router& router) {
      router.OnLinkReport(name, report, this->timers.Now());
    });
  } catch (const Error& error) {
    this->poll_failures.Add();
  }
}

}  // namespace jujuberock::serve
