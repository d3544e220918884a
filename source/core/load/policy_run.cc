#include "core/load/policy_run.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "core/load/event_queue.h"
#include "core/load/modelled_engine.h"
#include "core/load/modelled_store.h"
#include "core/load/workload.h"
#include "core/routing/conversation_owners.h"
#include "core/routing/router.h"

namespace jujuberock::load {

namespace {

using routing::Router;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr char kService[] = "model";
constexpr char kVersion[] = "v1";

constexpr common::Duration kLoadPoll = milliseconds(250);
constexpr common::Duration kEventPoll = milliseconds(500);
constexpr common::Duration kStorePoll = milliseconds(500);
constexpr common::Duration kExportTick = milliseconds(250);
constexpr common::Duration kChooseRetry = milliseconds(50);
constexpr common::Duration kNetworkDelay = milliseconds(1);
// Until hosts notice that an endpoint has crashed or is back.
constexpr common::Duration kDetection = milliseconds(500);
constexpr common::Duration kRestart = seconds(20);
constexpr double kWarmUpFactor = 0.5;
// Share of polls whose events are lost on the way.
constexpr double kLostPolls = 0.005;

double Percentile(std::vector<double>& values, double share) {
  if (values.empty())
    return 0;
  const auto rank = static_cast<size_t>(
      std::ceil(share * static_cast<double>(values.size())));
  const size_t index = std::max<size_t>(rank, 1) - 1;
  std::nth_element(values.begin(),
                   values.begin() + static_cast<std::ptrdiff_t>(index),
                   values.end());
  return values[index];
}

class PolicyRun {
 public:
  explicit PolicyRun(const PolicyRunOptions& options)
      : options(options),
        deployment(options.deployment),
        random(options.seed * 1000 + 7),
        workload(this->deployment.workload,
                 this->deployment.zones.size(),
                 options.seed),
        begin(options.warm_up),
        end(options.warm_up + options.measured) {
    this->MakeStores();
    this->MakeEngines();
    this->MakeHosts();
    if (options.faults)
      this->ScheduleFaults();
    this->ScheduleTurn();
    this->queue.At(this->begin, [this] { this->counts.counting = true; });
  }

  PolicyRunResult Run() {
    this->queue.RunUntil(this->end);
    PolicyRunResult result;
    for (const auto& [id, flight] : this->flights) {
      if (flight->arrival >= this->begin && !flight->first_token)
        this->first_tokens.push_back(
            common::ToSeconds(this->end - flight->arrival));
    }
    result.turns = this->first_tokens.size();
    const double patience = common::ToSeconds(this->deployment.patience);
    const auto within =
        std::count_if(this->first_tokens.begin(), this->first_tokens.end(),
                      [&](double t) { return t <= patience; });
    const double turns = std::max<double>(1, static_cast<double>(result.turns));
    result.answered_within_patience = static_cast<double>(within) / turns;
    result.first_token_p50 = Percentile(this->first_tokens, 0.5);
    result.first_token_p95 = Percentile(this->first_tokens, 0.95);
    result.recomputed_share =
        static_cast<double>(this->counts.recomputed_blocks) /
        std::max<double>(1, static_cast<double>(this->counts.returning_blocks));
    result.restored_share =
        static_cast<double>(this->counts.restored_blocks) /
        std::max<double>(1, static_cast<double>(this->counts.returning_blocks));
    this->MeasureLinks(result);
    return result;
  }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<Router> router;
    routing::ConversationOwners owners;
    std::map<std::string, uint64_t> next_event;
  };
  // A turn of a conversation until its last token.
  struct Flight {
    Turn turn;
    size_t host = 0;
    common::TimePoint arrival;
    bool first_token = false;
    bool retried = false;
    std::vector<std::string> excluded;
  };
  using FlightPointer = std::shared_ptr<Flight>;

  void MakeStores() {
    for (const std::string& name : this->deployment.stores) {
      this->stores[name] = std::make_unique<ModelledStore>(
          name, this->deployment.store, this->queue);
    }
  }

  void MakeEngines() {
    std::map<std::string, ModelledStore*> by_name;
    for (auto& [name, store] : this->stores)
      by_name[name] = store.get();
    for (size_t i = 0; i < this->deployment.workers; ++i) {
      // Engines' clocks differ from the hosts' by up to a minute.
      const common::Duration offset(this->random.Below(60'000'000));
      this->engines.push_back(std::make_unique<ModelledEngine>(
          "w" + std::to_string(i), this->deployment.engine, offset, by_name,
          this->counts, this->queue));
    }
  }

  void MakeHosts() {
    std::vector<std::string> names;
    const size_t count = this->deployment.host_zones.size();
    for (size_t i = 0; i < count; ++i)
      names.push_back("host" + std::to_string(i));
    for (size_t i = 0; i < count; ++i) {
      routing::RouterSettings settings;
      settings.weights = this->options.weights;
      settings.block_bytes = this->deployment.store.block_bytes;
      settings.link_budget_share = this->deployment.store.budget_share;
      settings.seed = this->options.seed * 100 + i;
      auto host = std::make_unique<Host>();
      host->name = names[i];
      host->router = std::make_unique<Router>(
          this->deployment.zones[this->deployment.host_zones[i]], settings,
          this->options.policy());
      host->router->OnHostCount(count);
      host->owners.SetHosts(names);
      this->hosts.push_back(std::move(host));
      this->StartPolls(*this->hosts.back());
    }
  }

  void StartPolls(Host& host) {
    for (size_t i = 0; i < this->engines.size(); ++i) {
      ModelledEngine& engine = *this->engines[i];
      host.router->OnEndpointState(
          this->InfoOf(i), routing::EndpointState::kLive, this->queue.now());
      host.router->OnLoadReport(engine.name(), engine.report(),
                                this->queue.now());
      this->queue.Every(kLoadPoll, this->Phase(kLoadPoll), [&, this] {
        if (!engine.down())
          host.router->OnLoadReport(engine.name(), engine.report(),
                                    this->queue.now());
      });
      this->queue.Every(kEventPoll, this->Phase(kEventPoll), [&, this] {
        if (!engine.down())
          this->PollEvents(
              host, engine.name(),
              engine.EventsSince(host.router->NextSequence(engine.name())));
      });
    }
    for (auto& [name, store] : this->stores) {
      ModelledStore& s = *store;
      host.router->OnStoreState(s.name(), true, this->queue.now());
      this->queue.Every(kStorePoll, this->Phase(kStorePoll),
                        [&, this] { this->PollStore(host, s); });
    }
    this->queue.Every(kExportTick, this->Phase(kExportTick),
                      [&, this] { this->StartExports(host); });
  }

  void PollEvents(Host& host,
                  const std::string& name,
                  const BlockCache::Log& log) {
    uint64_t first = log.first;
    std::vector<routing::CacheEvent> events = log.events;
    if (events.empty())
      return;
    if (this->random.Unit() < kLostPolls) {
      // Only the last event of the answer arrives.
      first += events.size() - 1;
      events = {events.back()};
    }
    host.router->OnCacheEvents(name, first, events, this->queue.now());
  }

  void PollStore(Host& host, ModelledStore& store) {
    if (store.dead())
      return;
    host.router->OnLinkReport(store.name(), store.Report(), this->queue.now());
    this->PollEvents(
        host, store.name(),
        store.cache.EventsSince(host.router->NextSequence(store.name()),
                                this->queue.now()));
  }

  void StartExports(Host& host) {
    for (const routing::Export& order :
         host.router->TakeExports(this->queue.now())) {
      for (auto& engine : this->engines) {
        if (engine->name() == order.endpoint)
          engine->ExportBlocks(order.keys, *this->stores[order.store]);
      }
    }
  }

  void ScheduleTurn() {
    this->queue.After(this->workload.NextDelay(this->Factor()), [this] {
      if (auto turn = this->workload.NextTurn(this->queue.now()))
        this->BeginTurn(std::move(*turn));
      this->ScheduleTurn();
    });
  }

  double Factor() const {
    const auto& hours = this->deployment.workload.hours;
    // Engines begin with empty caches, which is not what is to be measured.
    if (this->queue.now() < common::TimePoint(this->options.warm_up / 2))
      return kWarmUpFactor;
    if (this->queue.now() < this->begin)
      return 1;
    const double part = common::ToSeconds(this->queue.now() - this->begin) /
                        common::ToSeconds(this->options.measured);
    const auto index =
        static_cast<size_t>(part * static_cast<double>(hours.size()));
    return hours[std::min(index, hours.size() - 1)];
  }

  void BeginTurn(Turn turn) {
    auto flight = std::make_shared<Flight>();
    flight->turn = std::move(turn);
    flight->host = this->random.Below(this->hosts.size());
    flight->arrival = this->queue.now();
    const routing::RequestId id = this->next_id++;
    this->flights[id] = flight;
    this->Dispatch(id, flight);
  }

  void Dispatch(routing::RequestId id, const FlightPointer& flight) {
    Host& host = *this->hosts[flight->host];
    const common::TimePoint now = this->queue.now();
    routing::RouteRequest request;
    request.id = id;
    request.service = kService;
    request.version = kVersion;
    request.zone = this->deployment.zones[flight->turn.zone];
    request.team = "team" + std::to_string(flight->turn.team);
    request.block_keys = flight->turn.keys;
    request.prompt_tokens = flight->turn.prompt_tokens;
    request.max_tokens = flight->turn.output_tokens;
    request.deadline = flight->arrival + this->deployment.patience;
    request.excluded = flight->excluded;
    Router* owner = this->OwnerOf(host, flight->turn);
    if (owner)
      request.owner_answer = owner->Answer({request.block_keys});
    const auto decision = host.router->Choose(request, now);
    if (!decision) {
      this->queue.After(kChooseRetry,
                        [this, id, flight] { this->Dispatch(id, flight); });
      return;
    }
    host.router->OnDispatched(request, *decision, now);
    if (owner)
      owner->Apply(host.router->UpdateFor(request, *decision), now);
    this->queue.After(kNetworkDelay, [this, id, flight, d = *decision] {
      this->Submit(id, flight, d);
    });
  }

  // The router that owns the conversation, when that is another host.
  Router* OwnerOf(Host& host, const Turn& turn) {
    if (!this->options.owners)
      return nullptr;
    const std::string name =
        host.owners.OwnerOf(turn.conversation, this->queue.now());
    for (auto& other : this->hosts) {
      if (other->name == name && other.get() != &host)
        return other->router.get();
    }
    return nullptr;
  }

  void Submit(routing::RequestId id,
              const FlightPointer& flight,
              const routing::RouteDecision& decision) {
    ModelledEngine& engine = this->EngineOf(decision.endpoint);
    if (engine.down()) {
      this->OnDone(id, flight, decision.endpoint, false);
      return;
    }
    EngineRequest request;
    request.keys = flight->turn.keys;
    request.prompt_tokens = flight->turn.prompt_tokens;
    request.output_tokens = flight->turn.output_tokens;
    request.restores = decision.restores;
    request.on_first_token = [this, id, flight](uint64_t cached,
                                                uint64_t restored) {
      const common::TimePoint now = this->queue.now();
      this->hosts[flight->host]->router->OnFirstToken(id, cached, restored,
                                                      now);
      if (!flight->first_token && flight->arrival >= this->begin)
        this->first_tokens.push_back(common::ToSeconds(now - flight->arrival));
      flight->first_token = true;
    };
    request.on_done = [this, id, flight, name = decision.endpoint](bool ok) {
      this->OnDone(id, flight, name, ok);
    };
    engine.Submit(std::move(request));
  }

  void OnDone(routing::RequestId id,
              const FlightPointer& flight,
              const std::string& endpoint,
              bool succeeded) {
    const common::TimePoint now = this->queue.now();
    this->hosts[flight->host]->router->OnFinished(id, succeeded, now);
    if (!succeeded && !flight->retried) {
      flight->retried = true;
      flight->excluded = {endpoint};
      this->Dispatch(id, flight);
      return;
    }
    if (!flight->first_token && flight->arrival >= this->begin)
      this->first_tokens.push_back(
          common::ToSeconds(this->end - flight->arrival));
    this->flights.erase(id);
    this->workload.EndTurn(flight->turn.conversation, now);
  }

  void ScheduleFaults() {
    ModelledStore& first = *this->stores.begin()->second;
    ModelledStore& second = *this->stores.rbegin()->second;
    this->During(0.10, 0.20, [&first](bool on) {
      first.read_link.SetSpeedShare(on ? 0.1 : 1);
      first.write_link.SetSpeedShare(on ? 0.1 : 1);
    });
    this->During(0.30, 0.40, [this, &second](bool on) {
      second.SetDead(on);
      this->queue.After(kDetection, [this, &second, on] {
        for (auto& host : this->hosts)
          host->router->OnStoreState(second.name(), !on, this->queue.now());
      });
    });
    this->During(0.50, 0.60, [&first](bool on) { first.SetFull(on); });
    this->During(0.65, 0.75, [this](bool on) {
      for (size_t i = 0; i < this->engines.size(); i += 3)
        this->engines[i]->cache.StopEvents(on);
    });
    this->During(0.25, 0.55,
                 [this](bool on) { this->engines[1]->SetLeaving(on); });
    this->During(0.45, 0.45, [this](bool on) {
      if (on)
        this->CrashEngine(2);
    });
    this->During(0.80, 0.80, [this](bool on) {
      if (on)
        this->CrashEngine(5);
    });
  }

  void CrashEngine(size_t index) {
    this->engines[index]->Crash();
    this->queue.After(kDetection, [this, index] {
      for (auto& host : this->hosts)
        host->router->OnEndpointState(this->InfoOf(index),
                                      routing::EndpointState::kGone,
                                      this->queue.now());
    });
    this->queue.After(kRestart, [this, index] {
      this->engines[index]->Restart();
      for (auto& host : this->hosts) {
        host->router->OnEndpointState(this->InfoOf(index),
                                      routing::EndpointState::kLive,
                                      this->queue.now());
      }
    });
  }

  // Calls with true and false at these parts of the measured time.
  void During(double from, double to, const std::function<void(bool)>& action) {
    const auto at = [this](double part) {
      return this->begin +
             common::FromSeconds(part *
                                 common::ToSeconds(this->options.measured));
    };
    this->queue.At(at(from), [action] { action(true); });
    this->queue.At(at(to), [action] { action(false); });
  }

  void MeasureLinks(PolicyRunResult& result) const {
    const double budget = this->deployment.store.budget_share;
    double sum = 0;
    size_t count = 0;
    double over = 0;
    for (const auto& [name, store] : this->stores) {
      for (const ModelledLink* link : {&store->read_link, &store->write_link}) {
        for (double use : link->UseOfWindows(this->begin, this->end)) {
          sum += use / budget;
          ++count;
          over += use > budget ? 1 : 0;
          result.link_use_max = std::max(result.link_use_max, use / budget);
        }
      }
    }
    const double windows = std::max<double>(1, static_cast<double>(count));
    result.link_use_mean = sum / windows;
    result.link_over_budget = over / windows;
  }

  routing::EndpointInfo InfoOf(size_t index) const {
    const auto& zones = this->deployment.zones;
    return {this->engines[index]->name(), kService,
            zones[index % zones.size()]};
  }

  ModelledEngine& EngineOf(const std::string& name) {
    return *this->engines[std::stoul(name.substr(1))];
  }

  common::Duration Phase(common::Duration period) {
    return common::Duration(
        1 + this->random.Below(static_cast<uint64_t>(period.count())));
  }

  const PolicyRunOptions& options;
  const Deployment& deployment;
  common::Random random;
  Workload workload;
  common::TimePoint begin;
  common::TimePoint end;
  EventQueue queue;
  ContextCounts counts;
  std::map<std::string, std::unique_ptr<ModelledStore>> stores;
  std::vector<std::unique_ptr<ModelledEngine>> engines;
  std::vector<std::unique_ptr<Host>> hosts;
  routing::RequestId next_id = 1;
  std::map<routing::RequestId, FlightPointer> flights;
  std::vector<double> first_tokens;
};

}  // namespace

PolicyRunResult RunPolicy(const PolicyRunOptions& options) {
  return PolicyRun(options).Run();
}

}  // namespace jujuberock::load
