#include "core/load/policy_run.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>

#include "core/load/event_queue.h"
#include "core/load/simulated_engine.h"
#include "core/load/simulated_store.h"
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

constexpr common::Duration kLoadPollPeriod = milliseconds(250);
constexpr common::Duration kEventPollPeriod = milliseconds(500);
constexpr common::Duration kStorePollPeriod = milliseconds(500);
constexpr common::Duration kExportPeriod = milliseconds(250);
constexpr common::Duration kChooseRetryDelay = milliseconds(50);
constexpr common::Duration kNetworkDelay = milliseconds(1);
// Time until hosts detect that an endpoint has crashed or returned.
constexpr common::Duration kDetectionDelay = milliseconds(500);
constexpr common::Duration kRestartDelay = seconds(20);
constexpr double kWarmUpRateFactor = 0.5;
// Share of polls whose events are lost in transit.
constexpr double kLostPollShare = 0.005;

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
    this->queue.At(this->begin, [this] { this->counts.enabled = true; });
  }

  PolicyRunResult Run() {
    this->queue.RunUntil(this->end);
    PolicyRunResult result;
    for (const auto& [id, active_turn] : this->active_turns) {
      if (active_turn->arrival >= this->begin && !active_turn->first_token)
        this->first_tokens.push_back(
            common::ToSeconds(this->end - active_turn->arrival));
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
  // A turn of a conversation, from its arrival to its last token.
  struct ActiveTurn {
    Turn turn;
    size_t host = 0;
    common::TimePoint arrival;
    bool first_token = false;
    bool retried = false;
    std::vector<std::string> excluded;
  };
  using ActiveTurnPointer = std::shared_ptr<ActiveTurn>;

  void MakeStores() {
    for (const std::string& name : this->deployment.stores) {
      this->stores[name] = std::make_unique<SimulatedStore>(
          name, this->deployment.store, this->queue);
    }
  }

  void MakeEngines() {
    std::map<std::string, SimulatedStore*> by_name;
    for (auto& [name, store] : this->stores)
      by_name[name] = store.get();
    for (size_t i = 0; i < this->deployment.engine_count; ++i) {
      // Engines' clocks differ from the hosts' by up to a minute.
      const common::Duration offset(this->random.NextBelow(60'000'000));
      this->engines.push_back(std::make_unique<SimulatedEngine>(
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
      host->router->SetHostCount(count);
      host->owners.SetHosts(names);
      this->hosts.push_back(std::move(host));
      this->StartPolls(*this->hosts.back());
    }
  }

  void StartPolls(Host& host) {
    for (size_t i = 0; i < this->engines.size(); ++i) {
      SimulatedEngine& engine = *this->engines[i];
      host.router->OnEndpointState(
          this->InfoOf(i), routing::EndpointState::kLive, this->queue.now());
      host.router->OnLoadReport(engine.name(), engine.report(),
                                this->queue.now());
      this->queue.Every(
          kLoadPollPeriod, this->RandomPhase(kLoadPollPeriod), [&, this] {
            if (!engine.down())
              host.router->OnLoadReport(engine.name(), engine.report(),
                                        this->queue.now());
          });
      this->queue.Every(
          kEventPollPeriod, this->RandomPhase(kEventPollPeriod), [&, this] {
            if (!engine.down())
              this->PollEvents(
                  host, engine.name(),
                  engine.EventsSince(host.router->NextSequence(engine.name())));
          });
    }
    for (auto& [name, store] : this->stores) {
      SimulatedStore& s = *store;
      host.router->OnStoreState(s.name(), true, this->queue.now());
      this->queue.Every(kStorePollPeriod, this->RandomPhase(kStorePollPeriod),
                        [&, this] { this->PollStore(host, s); });
    }
    this->queue.Every(kExportPeriod, this->RandomPhase(kExportPeriod),
                      [&, this] { this->StartExports(host); });
  }

  void PollEvents(Host& host,
                  const std::string& name,
                  const BlockCache::EventRange& range) {
    uint64_t first_sequence = range.first_sequence;
    std::vector<routing::CacheEvent> events = range.events;
    if (events.empty())
      return;
    if (this->random.NextDouble() < kLostPollShare) {
      // Only the last event of the reply arrives.
      first_sequence += events.size() - 1;
      events = {events.back()};
    }
    host.router->OnCacheEvents(name, first_sequence, events, this->queue.now());
  }

  void PollStore(Host& host, SimulatedStore& store) {
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
    this->queue.After(this->workload.NextDelay(this->RateFactor()), [this] {
      if (auto turn = this->workload.NextTurn(this->queue.now()))
        this->BeginTurn(std::move(*turn));
      this->ScheduleTurn();
    });
  }

  double RateFactor() const {
    const auto& rate_factors = this->deployment.workload.rate_factors;
    // Engines start with empty caches, which should not affect the result.
    if (this->queue.now() < common::TimePoint(this->options.warm_up / 2))
      return kWarmUpRateFactor;
    if (this->queue.now() < this->begin)
      return 1;
    const double part = common::ToSeconds(this->queue.now() - this->begin) /
                        common::ToSeconds(this->options.measured);
    const auto index =
        static_cast<size_t>(part * static_cast<double>(rate_factors.size()));
    return rate_factors[std::min(index, rate_factors.size() - 1)];
  }

  void BeginTurn(Turn turn) {
    auto active_turn = std::make_shared<ActiveTurn>();
    active_turn->turn = std::move(turn);
    active_turn->host = this->random.NextBelow(this->hosts.size());
    active_turn->arrival = this->queue.now();
    const routing::RequestId id = this->next_id++;
    this->active_turns[id] = active_turn;
    this->Dispatch(id, active_turn);
  }

  void Dispatch(routing::RequestId id, const ActiveTurnPointer& active_turn) {
    Host& host = *this->hosts[active_turn->host];
    const common::TimePoint now = this->queue.now();
    routing::RouteRequest request;
    request.id = id;
    request.service = kService;
    request.version = kVersion;
    request.zone = this->deployment.zones[active_turn->turn.zone];
    request.team = "team" + std::to_string(active_turn->turn.team);
    request.block_keys = active_turn->turn.keys;
    request.prompt_tokens = active_turn->turn.prompt_tokens;
    request.max_tokens = active_turn->turn.output_tokens;
    request.deadline = active_turn->arrival + this->deployment.patience;
    request.excluded = active_turn->excluded;
    Router* owner = this->OwnerOf(host, active_turn->turn);
    if (owner)
      request.owner_reply = owner->AnswerQuery({request.block_keys});
    const auto decision = host.router->Choose(request, now);
    if (!decision) {
      this->queue.After(kChooseRetryDelay, [this, id, active_turn] {
        this->Dispatch(id, active_turn);
      });
      return;
    }
    host.router->OnDispatched(request, *decision, now);
    if (owner)
      owner->ApplyUpdate(host.router->MakeUpdate(request, *decision), now);
    this->queue.After(kNetworkDelay, [this, id, active_turn, d = *decision] {
      this->Submit(id, active_turn, d);
    });
  }

  // Returns the router of the conversation's owner, if that is another host.
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
              const ActiveTurnPointer& active_turn,
              const routing::RouteDecision& decision) {
    SimulatedEngine& engine = this->EngineOf(decision.endpoint);
    if (engine.down()) {
      this->OnDone(id, active_turn, decision.endpoint, false);
      return;
    }
    EngineRequest request;
    request.keys = active_turn->turn.keys;
    request.prompt_tokens = active_turn->turn.prompt_tokens;
    request.output_tokens = active_turn->turn.output_tokens;
    request.restores = decision.restores;
    request.on_first_token = [this, id, active_turn](uint64_t cached,
                                                     uint64_t restored) {
      const common::TimePoint now = this->queue.now();
      this->hosts[active_turn->host]->router->OnFirstToken(id, cached, restored,
                                                           now);
      if (!active_turn->first_token && active_turn->arrival >= this->begin)
        this->first_tokens.push_back(
            common::ToSeconds(now - active_turn->arrival));
      active_turn->first_token = true;
    };
    request.on_done = [this, id, active_turn, name = decision.endpoint](
                          bool ok) { this->OnDone(id, active_turn, name, ok); };
    engine.Submit(std::move(request));
  }

  void OnDone(routing::RequestId id,
              const ActiveTurnPointer& active_turn,
              const std::string& endpoint,
              bool succeeded) {
    const common::TimePoint now = this->queue.now();
    this->hosts[active_turn->host]->router->OnFinished(id, succeeded, now);
    if (!succeeded && !active_turn->retried) {
      active_turn->retried = true;
      active_turn->excluded = {endpoint};
      this->Dispatch(id, active_turn);
      return;
    }
    if (!active_turn->first_token && active_turn->arrival >= this->begin)
      this->first_tokens.push_back(
          common::ToSeconds(this->end - active_turn->arrival));
    this->active_turns.erase(id);
    this->workload.EndTurn(active_turn->turn.conversation, now);
  }

  void ScheduleFaults() {
    SimulatedStore& first = *this->stores.begin()->second;
    SimulatedStore& second = *this->stores.rbegin()->second;
    this->ScheduleBetween(0.10, 0.20, [&first](bool on) {
      first.read_link.SetSpeedShare(on ? 0.1 : 1);
      first.write_link.SetSpeedShare(on ? 0.1 : 1);
    });
    this->ScheduleBetween(0.30, 0.40, [this, &second](bool on) {
      second.SetDead(on);
      this->queue.After(kDetectionDelay, [this, &second, on] {
        for (auto& host : this->hosts)
          host->router->OnStoreState(second.name(), !on, this->queue.now());
      });
    });
    this->ScheduleBetween(0.50, 0.60, [&first](bool on) { first.SetFull(on); });
    this->ScheduleBetween(0.65, 0.75, [this](bool on) {
      for (size_t i = 0; i < this->engines.size(); i += 3)
        this->engines[i]->cache.SetEventsStopped(on);
    });
    this->ScheduleBetween(
        0.25, 0.55, [this](bool on) { this->engines[1]->SetLeaving(on); });
    this->ScheduleBetween(0.45, 0.45, [this](bool on) {
      if (on)
        this->CrashEngine(2);
    });
    this->ScheduleBetween(0.80, 0.80, [this](bool on) {
      if (on)
        this->CrashEngine(5);
    });
  }

  void CrashEngine(size_t index) {
    this->engines[index]->Crash();
    this->queue.After(kDetectionDelay, [this, index] {
      for (auto& host : this->hosts)
        host->router->OnEndpointState(this->InfoOf(index),
                                      routing::EndpointState::kGone,
                                      this->queue.now());
    });
    this->queue.After(kRestartDelay, [this, index] {
      this->engines[index]->Restart();
      for (auto& host : this->hosts) {
        host->router->OnEndpointState(this->InfoOf(index),
                                      routing::EndpointState::kLive,
                                      this->queue.now());
      }
    });
  }

  // Schedules `action` with true and false at these fractions of the measured
  // time.
  void ScheduleBetween(double from,
                       double to,
                       const std::function<void(bool)>& action) {
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
      for (const SimulatedLink* link :
           {&store->read_link, &store->write_link}) {
        for (double use : link->UtilizationByWindow(this->begin, this->end)) {
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

  SimulatedEngine& EngineOf(const std::string& name) {
    return *this->engines[std::stoul(name.substr(1))];
  }

  common::Duration RandomPhase(common::Duration period) {
    return common::Duration(
        1 + this->random.NextBelow(static_cast<uint64_t>(period.count())));
  }

  const PolicyRunOptions& options;
  const Deployment& deployment;
  common::Random random;
  Workload workload;
  common::TimePoint begin;
  common::TimePoint end;
  EventQueue queue;
  PrefillCounts counts;
  std::map<std::string, std::unique_ptr<SimulatedStore>> stores;
  std::vector<std::unique_ptr<SimulatedEngine>> engines;
  std::vector<std::unique_ptr<Host>> hosts;
  routing::RequestId next_id = 1;
  std::map<routing::RequestId, ActiveTurnPointer> active_turns;
  std::vector<double> first_tokens;
};

}  // namespace

PolicyRunResult RunPolicy(const PolicyRunOptions& options) {
  return PolicyRun(options).Run();
}

}  // namespace jujuberock::load
