#include "unit_tests/core/membership/simulated_deployment.h"

#include <algorithm>
#include <utility>

namespace jujuberock::membership {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

namespace {

constexpr Duration kTimeStep = milliseconds(10);
constexpr Duration kTickPeriod = milliseconds(100);
constexpr Duration kCallTimeout = milliseconds(1000);
constexpr Duration kNetworkLatency = milliseconds(1);
constexpr Duration kPlatformLatency = milliseconds(3);
// Bytes of HTTP/2 frames and headers per message or answer, as measured by the
// transport test.
constexpr size_t kFrameBytes = 60;
// Bytes of the request and response headers of one call to the platform.
constexpr size_t kPlatformCallBytes = 400;

}  // namespace

SimulatedDeployment::Host& SimulatedDeployment::Add(
    const std::string& name,
    const std::string& zone,
    CoordinatorOptions options) {
  auto host = std::make_unique<Host>();
  host->name = name;
  host->zone = zone;
  host->table = std::make_unique<table::SharedView>();
  const HostInfo self{name, zone, "127.0.0.1:1", ++this->next_incarnation,
                      HostState::kAlive};
  host->coordinator = std::make_unique<Coordinator>(*host->table, self, options,
                                                    this->random.Next());
  Host* added = host.get();
  this->hosts[name] = std::move(host);
  this->Start(added);
  return *added;
}

void SimulatedDeployment::Start(Host* host) {
  const auto phase = Duration(this->random.NextBelow(kTickPeriod.count()));
  this->ticks.push_back(
      this->timers.At(this->now() + phase, [=, this](TimePoint) {
        this->ticks.push_back(
            this->timers.Every(kTickPeriod, [=, this](TimePoint now) {
              if (!host->killed && !host->paused)
                this->Perform(host, host->coordinator->OnTick(now));
            }));
      }));
}

SimulatedDeployment::Host& SimulatedDeployment::Restart(
    const std::string& name,
    const std::vector<std::string>& seeds) {
  auto old = this->hosts.extract(name);
  old.mapped()->killed = true;
  Host& host = this->Add(name, old.mapped()->zone);
  // Kept alive, since messages to the old process may still be in flight.
  this->stopped_hosts.push_back(std::move(old.mapped()));
  for (const std::string& seed : seeds)
    host.coordinator->AddSeed(
        {seed, this->Get(seed).zone, "127.0.0.1:1", 0, HostState::kAlive});
  return host;
}

void SimulatedDeployment::RequestDigests(const std::string& name) {
  Host& host = this->Get(name);
  for (PeerCall& call : host.coordinator->RequestDigests())
    this->SendCall(&host, std::move(call));
  this->Run(kCallTimeout);
}

void SimulatedDeployment::Resume(const std::string& name) {
  Host& host = this->Get(name);
  host.paused = false;
  for (auto& event : std::exchange(host.deferred, {}))
    event();
}

void SimulatedDeployment::At(Duration after, std::function<void()> event) {
  this->events.emplace(this->now() + after, std::move(event));
}

Duration SimulatedDeployment::Latency() {
  return kNetworkLatency +
         Duration(this->random.NextBelow(
             static_cast<uint64_t>(this->max_jitter.count()) + 1));
}

bool SimulatedDeployment::IsLost(const Host& from, const Host& to) {
  return from.killed || to.killed || (this->is_cut && this->is_cut(from, to)) ||
         this->random.NextDouble() < this->loss_rate;
}

void SimulatedDeployment::CountBytes(Host* host,
                                     const std::string& message,
                                     size_t bytes) {
  host->bytes += bytes + kFrameBytes;
  ++host->messages;
  host->bytes_by_message[message] += bytes + kFrameBytes;
}

void SimulatedDeployment::Perform(Host* host, Effects effects) {
  for (const HostChange& change : effects.host_changes)
    host->changes.push_back(change);
  for (const EndpointChange& change : effects.endpoint_changes) {
    if (change.leaving)
      host->leaving_seen_at.try_emplace(change.endpoint, this->now());
  }
  for (PeerCall& call : effects.calls)
    this->SendCall(host, std::move(call));
  for (const table::WatcherCall& watcher_call : effects.watcher_calls)
    this->CallPlatform(host, watcher_call);
}

void SimulatedDeployment::SendCall(Host* from, PeerCall call) {
  this->CountBytes(from, call.message, call.body.size());
  const auto to = this->hosts.find(call.to);
  if (to == this->hosts.end() || this->IsLost(*from, *to->second)) {
    this->At(kCallTimeout, [=, this] {
      if (!from->killed)
        from->coordinator->OnCallFailed(call, this->now());
    });
    return;
  }
  Host* target = to->second.get();
  const int copies = this->random.NextDouble() < this->duplicate_rate ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    this->At(this->Latency(), [=, this] {
      if (target->paused)
        target->deferred.push_back(
            [=, this] { this->Deliver(from, target, call); });
      else
        this->Deliver(from, target, call);
    });
  }
}

void SimulatedDeployment::Deliver(Host* from, Host* to, const PeerCall& call) {
  if (to->killed)
    return;
  this->CountBytes(to, call.message, call.body.size());
  Effects effects;
  const std::string answer = to->coordinator->OnRequest(
      from->name, call.message, call.body, this->now(), &effects);
  this->CountBytes(to, call.message, answer.size());
  this->Perform(to, std::move(effects));
  if (this->IsLost(*to, *from))
    return;
  this->At(this->Latency(), [=, this] {
    if (from->killed)
      return;
    if (from->paused) {
      // The call times out during the pause.
      from->deferred.push_back(
          [=, this] { from->coordinator->OnCallFailed(call, this->now()); });
      return;
    }
    this->CountBytes(from, call.message, answer.size());
    this->Perform(from, from->coordinator->OnAnswer(call, answer, this->now()));
  });
}

void SimulatedDeployment::CallPlatform(Host* host,
                                       const table::WatcherCall& watcher_call) {
  ++this->platform_calls;
  this->CountBytes(host, "platform", kPlatformCallBytes);
  const bool down = this->platform_is_cut && this->platform_is_cut(*host);
  if (watcher_call.type == table::WatcherCall::Type::kWatch) {
    if (down)
      this->At(kPlatformLatency, [=, this] {
        host->coordinator->OnWatchEnd(watcher_call, std::nullopt, this->now());
      });
    else
      this->OpenWatch(host, watcher_call);
    return;
  }
  ++this->platform_lists;
  platform::ObjectList list;
  list.version = this->version;
  for (const auto& [key, object] : this->store) {
    if (key.first != NameOf(watcher_call.kind))
      continue;
    this->CountBytes(host, "platform", object.body.size() + 100);
    if (!object.deleted)
      list.objects.push_back(object);
  }
  this->At(kPlatformLatency, [=, this, list = std::move(list)] {
    if (host->killed)
      return;
    host->coordinator->OnList(
        watcher_call, down ? std::nullopt : std::optional(list), this->now());
  });
}

void SimulatedDeployment::OpenWatch(Host* host,
                                    const table::WatcherCall& watcher_call) {
  const size_t id = this->next_watch++;
  const bool silent = this->watch_is_silent && this->watch_is_silent(*host);
  this->watches[id] = {host, watcher_call, silent};
  const auto& limits = table::WatcherOptions{};
  const auto end =
      silent ? platform::WatchEnd::kSilent : platform::WatchEnd::kExpired;
  this->At(silent ? limits.silence_limit : limits.watch_lifetime,
           [=, this] { this->EndWatch(id, end); });
  if (silent)
    return;
  std::vector<table::Object> missed;
  for (const auto& [key, object] : this->store) {
    if (key.first == NameOf(watcher_call.kind) &&
        object.version > watcher_call.since)
      missed.push_back(object);
  }
  this->At(kPlatformLatency, [=, this] {
    for (const table::Object& object : missed) {
      if (!host->killed)
        host->coordinator->OnWatchChange(watcher_call, object, this->now());
    }
  });
}

void SimulatedDeployment::EndWatch(size_t id, platform::WatchEnd end) {
  const auto found = this->watches.find(id);
  if (found == this->watches.end())
    return;
  const Watch watch = found->second;
  this->watches.erase(found);
  Host& host = *watch.host;
  if (host.killed)
    return;
  if (host.paused)
    host.deferred.push_back([=, this, &host] {
      host.coordinator->OnWatchEnd(watch.watcher_call, end, this->now());
    });
  else
    host.coordinator->OnWatchEnd(watch.watcher_call, end, this->now());
}

table::Version SimulatedDeployment::Write(table::Object object) {
  object.version = ++this->version;
  this->store[{object.kind, object.name}] = object;
  for (const auto& [id, watch] : this->watches) {
    Host* host = watch.host;
    const bool reached =
        !watch.silent && !host->killed &&
        NameOf(watch.watcher_call.kind) == object.kind &&
        !(this->platform_is_cut && this->platform_is_cut(*host));
    if (!reached)
      continue;
    this->CountBytes(host, "platform", object.body.size() + 100);
    auto deliver = [=, this, watcher_call = watch.watcher_call] {
      if (!host->killed)
        host->coordinator->OnWatchChange(watcher_call, object, this->now());
    };
    this->At(kPlatformLatency, [=] {
      if (host->paused)
        host->deferred.push_back(deliver);
      else
        deliver();
    });
  }
  return object.version;
}

bool SimulatedDeployment::InForce(const std::string& kind,
                                  const std::string& name,
                                  table::Version version,
                                  const std::string& zone) {
  return std::all_of(this->hosts.begin(), this->hosts.end(), [&](auto& item) {
    const Host& host = *item.second;
    if (host.killed || host.paused || (!zone.empty() && host.zone != zone))
      return true;
    const auto found = host.table->Find(kind, name);
    return found && found->version == version;
  });
}

void SimulatedDeployment::Run(Duration length) {
  const TimePoint end = this->now() + length;
  while (this->now() < end) {
    this->timers.Advance(kTimeStep);
    while (!this->events.empty() &&
           this->events.begin()->first <= this->now()) {
      auto event = std::move(this->events.begin()->second);
      this->events.erase(this->events.begin());
      event();
    }
  }
}

std::optional<Duration> SimulatedDeployment::RunUntil(
    const std::function<bool()>& done,
    Duration limit) {
  const TimePoint begin = this->now();
  while (this->now() - begin < limit) {
    if (done())
      return this->now() - begin;
    this->Run(kTimeStep);
  }
  if (done())
    return this->now() - begin;
  return std::nullopt;
}

void SimulatedDeployment::Preload() {
  std::vector<table::Object> all;
  for (const auto& [key, object] : this->store)
    all.push_back(object);
  for (auto& [name, host] : this->hosts)
    host->table->Apply(all);
}

void SimulatedDeployment::ResetCounts() {
  for (auto& [name, host] : this->hosts) {
    host->bytes = host->messages = 0;
    host->bytes_by_message.clear();
  }
  this->platform_calls = this->platform_lists = 0;
}

}  // namespace jujuberock::membership
