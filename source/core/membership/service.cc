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
using table::WatcherCall;

namespace {

constexpr common::Duration kTickPeriod = std::chrono::milliseconds(100);
constexpr common::Duration kCallTimeout = std::chrono::seconds(1);
// A delta may hold the whole table, so it may take longer than a probe.
constexpr common::Duration kTableCallTimeout = std::chrono::seconds(5);
constexpr common::Duration kStopPollPeriod = std::chrono::milliseconds(1);

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

// Counts as running work of the service while it lives.
class Service::ActiveScope {
 public:
  explicit ActiveScope(std::shared_ptr<StopState> stop_state)
      : stop_state(std::move(stop_state)) {
    ++this->stop_state->running;
  }
  ~ActiveScope() { --this->stop_state->running; }
  ActiveScope(const ActiveScope&) = delete;
  ActiveScope& operator=(const ActiveScope&) = delete;

 private:
  std::shared_ptr<StopState> stop_state;
};

Service::Service(Coordinator& coordinator,
                 host::PeerTransport& transport,
                 platform::Client& platform,
                 runtime::WorkerPool& pool,
                 common::TimerService& timers,
                 common::MetricRegistry& counters)
    : coordinator(coordinator),
      transport(transport),
      platform(platform),
      pool(pool),
      timers(timers),
      counters(counters),
      ready_gauge(counters.GetGauge("table_ready")),
      invalid_gauge(counters.GetGauge("table_invalid_objects")),
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
  this->transport.RegisterHandler(
      std::string(message),
      [this, stop_state = this->stop_state, message](const std::string& from,
                                                     std::string_view body) {
        const ActiveScope active(stop_state);
        if (stop_state->stopping)
          throw Error(common::ResultCode::kStopping, "the host is stopping");
        Effects effects;
        std::string answer = this->coordinator.OnRequest(
            from, message, body, this->timers.Now(), &effects);
        this->Perform(std::move(effects));
        return answer;
      });
}

void Service::Start() {
  this->tick_timer = this->timers.Every(
      kTickPeriod, [this, stop_state = this->stop_state](TimePoint) {
        const ActiveScope active(stop_state);
        if (stop_state->stopping)
          return;
        // The current time, not the time at which the tick was due: the gap
        // after a pause of the process has to be visible to the coordinator.
        this->Perform(this->coordinator.OnTick(this->timers.Now()));
        this->UpdateGauges();
      });
}

void Service::Stop() {
  this->stop_state->stopping = true;
  this->tick_timer.Cancel();
  while (this->stop_state->running > 0)
    std::this_thread::sleep_for(kStopPollPeriod);
}

void Service::Spawn(std::function<void()> body) {
  this->pool.Spawn([stop_state = this->stop_state,
                    active = std::make_shared<ActiveScope>(stop_state),
                    body = std::move(body)] {
    if (!stop_state->stopping)
      body();
  });
}

void Service::Perform(Effects effects) {
  for (const HostChange& change : effects.host_changes) {
    LOG(INFO) << "host " << change.host << " is "
              << kStateNames.NameOf(change.state);
    this->counters
        .GetCounter("membership_changes_total",
                    {{"state", std::string(kStateNames.NameOf(change.state))}})
        .Add();
    if (this->host_listener)
      this->host_listener(change);
  }
  for (const EndpointChange& change : effects.endpoint_changes) {
    LOG(INFO) << "endpoint " << change.endpoint
              << (change.leaving ? " is leaving" : " is no longer excluded");
    if (this->endpoint_listener)
      this->endpoint_listener(change);
  }
  for (PeerCall& call : effects.calls)
    this->Spawn([this, call = std::move(call)] { this->Call(call); });
  for (const WatcherCall& watcher_call : effects.watcher_calls)
    this->Spawn([this, watcher_call] { this->CallPlatform(watcher_call); });
}

void Service::Call(const PeerCall& call) {
  try {
    const auto timeout = call.sync ? kTableCallTimeout : kCallTimeout;
    const std::string answer = this->transport.Call(
        call.to, call.message, call.body, this->timers.Now() + timeout);
    this->Perform(this->coordinator.OnAnswer(call, answer, this->timers.Now()));
  } catch (const Error&) {
    this->counters
        .GetCounter("membership_calls_failed_total",
                    {{"message", call.message}})
        .Add();
    this->coordinator.OnCallFailed(call, this->timers.Now());
  }
}

void Service::CallPlatform(const WatcherCall& watcher_call) {
  if (watcher_call.type == WatcherCall::Type::kList)
    this->List(watcher_call);
  else
    this->Watch(watcher_call);
}

void Service::List(const WatcherCall& watcher_call) {
  std::optional<platform::ObjectList> list;
  try {
    list = this->platform.List(table::NameOf(watcher_call.kind));
  } catch (const Error&) {
    // The platform client counts the error; the watcher retries.
  }
  this->coordinator.OnList(watcher_call, list, this->timers.Now());
}

void Service::Watch(const WatcherCall& watcher_call) {
  std::optional<platform::WatchEnd> end;
  const table::WatcherOptions& limits = this->coordinator.watcher_options();
  try {
    end = this->platform.Watch(
        table::NameOf(watcher_call.kind), watcher_call.since,
        limits.silence_limit,
        [&](const platform::Object& object) {
          return this->coordinator.OnWatchChange(watcher_call, object,
                                                 this->timers.Now()) &&
                 !this->stop_state->stopping;
        },
        limits.watch_lifetime,
        [&] {
          return this->stop_state->stopping ||
                 !this->coordinator.IsCurrent(watcher_call);
        });
  } catch (const Error&) {
    // The platform client counts the error; the watcher lists again.
  }
  this->coordinator.OnWatchEnd(watcher_call, end, this->timers.Now());
}

void Service::UpdateGauges() {
  const bool ready = this->coordinator.ready();
  if (ready != this->was_ready.exchange(ready))
    LOG(INFO) << (ready ? "the configuration is complete"
                        : "the configuration is not complete");
  const auto invalid =
      static_cast<int64_t>(this->coordinator.CountInvalidObjects());
  if (invalid != this->invalid_gauge.value())
    LOG(WARNING) << invalid << " objects of the table are invalid";
  this->invalid_gauge.Set(invalid);
  const table::PeerSet peers = this->coordinator.Peers(this->timers.Now());
  this->ready_gauge.Set(ready);
  this->alive_gauge.Set(static_cast<int64_t>(peers.zone_peers.size()));
  this->delegate_gauge.Set(peers.is_delegate);
}

void Service::OnEndpointReport(const std::string& endpoint, bool leaving) {
  // Nearly all reports are of endpoints that are not leaving.
  if (!leaving)
    return;
  this->Perform(this->coordinator.OnEndpointReport(endpoint, leaving,
                                                   this->timers.Now()));
}

void Service::AnnounceStop() {
  this->Perform(this->coordinator.OnStop(this->timers.Now()));
}

std::vector<table::LaggingHost> Service::CollectLaggingHosts() {
  auto unanswered = std::make_shared<std::atomic<size_t>>(0);
  for (PeerCall& call : this->coordinator.RequestDigests()) {
    ++*unanswered;
    this->Spawn([this, unanswered, call = std::move(call)] {
      this->Call(call);
      --*unanswered;
    });
  }
  const TimePoint deadline = this->timers.Now() + kCallTimeout;
  while (*unanswered > 0 && this->timers.Now() < deadline &&
         !this->stop_state->stopping)
    runtime::SleepFor(std::chrono::milliseconds(5));
  return this->coordinator.LaggingHosts(this->timers.Now());
}

}  // namespace jujuberock::membership
