#include "core/serve/zone_driver.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::Error;
using common::TimePoint;
using membership::PeerCall;
using membership::Step;
using table::FollowAction;

namespace {

constexpr common::Duration kTick = std::chrono::milliseconds(100);
constexpr common::Duration kHostsTick = std::chrono::milliseconds(200);
// An answer that comes later than this is treated as lost.
constexpr common::Duration kPeerTimeout = std::chrono::seconds(1);

}  // namespace

ZoneDriver::ZoneDriver(runtime::WorkerPool& pool,
                       common::TimerService& timers,
                       membership::Coordinator& coordinator,
                       host::PeerTransport& peers,
                       platform::Client& platform,
                       const table::SharedView& view,
                       common::CounterRegistry& counters,
                       const table::FollowerOptions& limits,
                       Hooks hooks)
    : timers(timers),
      coordinator(coordinator),
      peers(peers),
      platform(platform),
      view(view),
      limits(limits),
      hooks(std::move(hooks)),
      platform_failures(counters.GetCounter("config_platform_failures_total")),
      peer_failures(counters.GetCounter("peer_call_failures_total")),
      lists(std::make_shared<const HostLists>()),
      seen_table(view.Current()),
      fibers(pool) {}

void ZoneDriver::RegisterHandlers() {
  for (const std::string_view name :
       {membership::kProbeMessage, membership::kIndirectProbeMessage,
        table::kDigestMessage, table::kDeltaMessage}) {
    const std::string message(name);
    this->peers.Handle(message, [this, message](const std::string& from,
                                                std::string_view body) {
      Step step;
      std::string answer = this->coordinator.OnRequest(
          from, message, body, this->timers.Now(), &step);
      this->Perform(std::move(step));
      return answer;
    });
  }
}

void ZoneDriver::Start() {
  this->RefreshHosts();
  this->fibers.Every(this->timers, kTick, [this](TimePoint) {
    this->Perform(this->coordinator.OnTick(this->timers.Now()));
  });
  this->fibers.Every(this->timers, kHostsTick,
                     [this](TimePoint) { this->RefreshHosts(); });
}

void ZoneDriver::AnnounceStop() {
  this->fibers.Spawn(
      [this] { this->Perform(this->coordinator.OnStop(this->timers.Now())); });
}

void ZoneDriver::OnEndpointReport(const std::string& endpoint, bool leaving) {
  this->Perform(this->coordinator.OnEndpointReport(endpoint, leaving,
                                                   this->timers.Now()));
}

void ZoneDriver::Perform(Step step) {
  for (const PeerCall& call : step.calls)
    this->fibers.Spawn([this, call] { this->Send(call); });
  for (const FollowAction& action : step.platform)
    this->fibers.Spawn([this, action] { this->Follow(action); });
  for (const membership::EndpointChange& change : step.endpoint_changes)
    this->hooks.on_endpoint(change.endpoint, change.leaving);
  if (!step.host_changes.empty())
    this->RefreshHosts();
  this->NoticeTable();
}

void ZoneDriver::Send(const PeerCall& call) {
  try {
    const std::string answer = this->peers.Call(
        call.to, call.message, call.body, this->timers.Now() + kPeerTimeout);
    this->Perform(this->coordinator.OnAnswer(call, answer, this->timers.Now()));
  } catch (const Error& error) {
    this->peer_failures.Add();
    this->coordinator.OnCallFailed(call, this->timers.Now());
  }
}

void ZoneDriver::Follow(const FollowAction& action) {
  if (action.type == FollowAction::Type::kList)
    this->List(action);
  else
    this->Watch(action);
  this->NoticeTable();
}

void ZoneDriver::List(const FollowAction& action) {
  std::optional<platform::ObjectList> list;
  try {
    list = this->platform.List(table::NameOf(action.kind));
  } catch (const Error& error) {
    this->platform_failures.Add();
  }
  this->NotePlatform(list.has_value());
  this->coordinator.OnList(action, list, this->timers.Now());
}

void ZoneDriver::Watch(const FollowAction& action) {
  std::optional<platform::WatchEnd> end;
  try {
    end = this->platform.Watch(
        table::NameOf(action.kind), action.since, this->limits.silence_limit,
        [this, &action](const platform::Object& object) {
          const bool wanted = this->coordinator.OnWatchChange(
              action, object, this->timers.Now());
          this->NoticeTable();
          return wanted && !this->fibers.stopping();
        },
        this->limits.watch_lifetime);
  } catch (const Error& error) {
    this->platform_failures.Add();
  }
  this->NotePlatform(end.has_value());
  this->coordinator.OnWatchEnd(action, end, this->timers.Now());
}

void ZoneDriver::NotePlatform(bool answered) {
  if (this->up.exchange(answered) == answered)
    return;
  if (answered)
    LOG(INFO) << "the platform answers";
  else
    LOG(WARNING) << "the platform does not answer";
}

void ZoneDriver::RefreshHosts() {
  const table::PeerSet set = this->coordinator.Peers(this->timers.Now());
  auto fresh = std::make_shared<HostLists>();
  fresh->zone = set.zone_peers;
  fresh->zone.push_back(this->coordinator.self().name);
  std::sort(fresh->zone.begin(), fresh->zone.end());
  fresh->all = fresh->zone;
  fresh->zones = 1 + set.other_zones.size();
  for (const auto& [zone, hosts] : set.other_zones)
    fresh->all.insert(fresh->all.end(), hosts.begin(), hosts.end());
  const auto before = this->lists.exchange(fresh);
  if (before->zone != fresh->zone)
    this->hooks.on_hosts(fresh->zone);
}

void ZoneDriver::NoticeTable() {
  const table::SnapshotPtr now = this->view.Current();
  if (this->seen_table.exchange(now) != now)
    this->hooks.on_table();
}

}  // namespace jujuberock::serve
