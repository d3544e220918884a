#include "core/membership/service.h"

#include <glog/logging.h>

#include <algorithm>
#include <optional>
#include <thread>
#include <utility>

#include "core/common/error.h"
#include "core/common/name_table.h"
#include "core/runtime/sleep.h"

namespace jujuberock::membership {

using common::Error;
using common::TimePoint;
using table::FollowAction;

namespace {

constexpr common::Duration kTick = std::chrono::milliseconds(100);
constexpr common::Duration kCallDeadline = std::chrono::seconds(1);
// A delta of a whole table may take longer than a probe.
constexpr common::Duration kTableDeadline = std::chrono::seconds(5);
constexpr common::Duration kStopCheck = std::chrono::milliseconds(1);

constexpr common::NameTable<HostState, kHostStates> kStateNames(
    {"alive", "leaving", "suspect", "dead"});

}  // namespace

host::HostResolver ResolverOf(const Coordinator& coordinator) {
  return [&coordinator](
             const std::string& host) -> std::optional<runtime::Address> {
    const auto address = coordinator.AddressOf(host);
    return address ? runtime::Address::Parse(*address) : std::nullopt;
  };
}

// Counts the holder as running.
class Service::Entry {
 public:
  explicit Entry(std::shared_ptr<Gate> gate) : gate(std::move(gate)) {
    ++this->gate->running;
  }
  ~Entry() { --this->gate->running; }
  Entry(const Entry&) = delete;
  Entry& operator=(const Entry&) = delete;

 private:
  std::shared_ptr<Gate> gate;
};

Service::Service(Coordinator& coordinator,
                 host::PeerTransport& transport,
                 platform::Client& platform,
                 runtime::WorkerPool& pool,
                 common::TimerService& timers,
                 common::CounterRegistry& counters)
    : coordinator(coordinator),
      transport(transport),
      platform(platform),
      pool(pool),
      timers(timers),
      counters(counters),
      ready_gauge(counters.GetGauge("table_ready")),
      alive_gauge(counters.GetGauge("membership_alive_hosts")),
      delegate_gauge(counters.GetGauge("membership_is_delegate")) {
  for (const std::string_view message :
       {kProbeMessage, kIndirectProbeMessage, table::kDigestMessage,
        table::kDeltaMessage})
    this->Register(message);
}

Service::~Service() {
  this->Stop();
}

void Service::SetEndpointListener(EndpointListener listener) {
  this->endpoint_listener = std::move(listener);
}

void Service::SetHostListener(HostListener listener) {
  this->host_listener = std::move(listener);
}

void Service::Register(std::string_view message) {
  this->transport.Handle(std::string(message),
                         [this, gate = this->gate, message](
                             const std::string& from, std::string_view body) {
                           const Entry entry(gate);
                           if (gate->stopping)
                             throw Error(common::ResultCode::kStopping,
                                         "the host is stopping");
                           Step step;
                           std::string answer = this->coordinator.OnRequest(
                               from, message, body, this->timers.Now(), &step);
                           this->Perform(std::move(step));
                           return answer;
                         });
}

void Service::Start() {
  this->tick = this->timers.Every(kTick, [this, gate = this->gate](TimePoint) {
    const Entry entry(gate);
    if (gate->stopping)
      return;
    // The present time, not the one that the tick was due: after a pause of
    // the process the gap has to show.
    this->Perform(this->coordinator.OnTick(this->timers.Now()));
    this->UpdateGauges();
  });
}

void Service::Stop() {
  this->gate->stopping = true;
  this->tick.Cancel();
  while (this->gate->running > 0)
    std::this_thread::sleep_for(kStopCheck);
}

void Service::Spawn(std::function<void()> body) {
  this->pool.Spawn([gate = this->gate, entry = std::make_shared<Entry>(gate),
                    body = std::move(body)] {
    if (!gate->stopping)
      body();
  });
}

void Service::Perform(Step step) {
  for (const HostChange& change : step.host_changes) {
    LOG(INFO) << "host " << change.host << " is "
              << kStateNames.NameOf(change.state);
    this->counters
        .GetCounter("membership_changes_total",
                    {{"state", std::string(kStateNames.NameOf(change.state))}})
        .Add();
    if (this->host_listener)
      this->host_listener(change);
  }
  for (const EndpointChange& change : step.endpoint_changes) {
    LOG(INFO) << "endpoint " << change.endpoint
              << (change.leaving ? " is leaving" : " is no longer left out");
    if (this->endpoint_listener)
      this->endpoint_listener(change);
  }
  for (PeerCall& call : step.calls)
    this->Spawn([this, call = std::move(call)] { this->Call(call); });
  for (const FollowAction& action : step.platform)
    this->Spawn([this, action] { this->CallPlatform(action); });
}

void Service::Call(const PeerCall& call) {
  try {
    const auto limit = call.sync ? kTableDeadline : kCallDeadline;
    const std::string answer = this->transport.Call(
        call.to, call.message, call.body, this->timers.Now() + limit);
    this->Perform(this->coordinator.OnAnswer(call, answer, this->timers.Now()));
  } catch (const Error&) {
    this->counters
        .GetCounter("membership_calls_failed_total",
                    {{"message", call.message}})
        .Add();
    this->coordinator.OnCallFailed(call, this->timers.Now());
  }
}

void Service::CallPlatform(const FollowAction& action) {
  if (action.type == FollowAction::Type::kList)
    this->List(action);
  else
    this->Watch(action);
}

void Service::List(const FollowAction& action) {
  std::optional<platform::ObjectList> list;
  try {
    list = this->platform.List(table::NameOf(action.kind));
  } catch (const Error&) {
    // Counted by the platform's client; the follower tries again.
  }
  this->coordinator.OnList(action, list, this->timers.Now());
}

void Service::Watch(const FollowAction& action) {
  std::optional<platform::WatchEnd> end;
  const table::FollowerOptions& limits = this->coordinator.follower_options();
  try {
    end = this->platform.Watch(
        table::NameOf(action.kind), action.since, limits.silence_limit,
        [&](const platform::Object& object) {
          return this->coordinator.OnWatchChange(action, object,
                                                 this->timers.Now()) &&
                 !this->gate->stopping;
        },
        limits.watch_lifetime,
        [&] {
          return this->gate->stopping || !this->coordinator.IsCurrent(action);
        });
  } catch (const Error&) {
    // Counted by the platform's client; the follower lists again.
  }
  this->coordinator.OnWatchEnd(action, end, this->timers.Now());
}

void Service::UpdateGauges() {
  const bool ready = this->coordinator.ready();
  if (ready != this->was_ready.exchange(ready))
    LOG(INFO) << (ready ? "the configuration is complete"
                        : "the configuration is not complete");
  const table::PeerSet peers = this->coordinator.Peers(this->timers.Now());
  this->ready_gauge.Set(ready);
  this->alive_gauge.Set(static_cast<int64_t>(peers.zone_peers.size()));
  this->delegate_gauge.Set(peers.is_delegate);
}

void Service::OnEndpointReport(const std::string& endpoint, bool leaving) {
  // Almost every report says what is known already.
  if (!leaving)
    return;
  this->Perform(this->coordinator.OnEndpointReport(endpoint, leaving,
                                                   this->timers.Now()));
}

void Service::Announce() {
  this->Perform(this->coordinator.OnStop(this->timers.Now()));
}

std::vector<table::HostLag> Service::CollectLags() {
  auto left = std::make_shared<std::atomic<size_t>>(0);
  for (PeerCall& call : this->coordinator.AskDigests()) {
    ++*left;
    this->Spawn([this, left, call = std::move(call)] {
      this->Call(call);
      --*left;
    });
  }
  const TimePoint limit = this->timers.Now() + kCallDeadline;
  while (*left > 0 && this->timers.Now() < limit && !this->gate->stopping)
    runtime::SleepFor(std::chrono::milliseconds(5));
  return this->coordinator.Lags(this->timers.Now());
}

}  // namespace jujuberock::membership
