#include "core/load/overload_run.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <string>

#include "core/admission/concurrency_limit.h"
#include "core/admission/controller.h"
#include "core/admission/limit_grants.h"
#include "core/admission/retry_budget.h"
#include "core/common/random.h"
#include "core/load/deployment.h"
#include "core/load/event_queue.h"
#include "core/load/simulated_engine.h"
#include "core/routing/router.h"

namespace jujuberock::load {

namespace {

using std::chrono::milliseconds;

constexpr char kService[] = "model";
constexpr size_t kHosts = 4;

// The engines serve about 60 requests per second of this size: 18 engines at
// 10,000 prefill tokens per second.
constexpr double kMeanPromptTokens = 3000;
constexpr double kMeanOutputTokens = 120;
// Offered rate at load 1.
constexpr double kRequestsPerSecond = 48;

struct TeamParameters {
  double weight = 1;
  // Share of all requests.
  double share = 0;
  uint32_t limit = UINT32_MAX;
};

// At load 2, each of the first six demands clearly more than its weighted
// share, even after its longest prompts, a fifth of its work, have been refused
// because prefill alone would take too long. The last team is bounded by its
// limit.
const std::vector<TeamParameters> kTeams = {{1, 0.10},    {1, 0.10}, {2, 0.15},
                                            {2, 0.15},    {3, 0.20}, {3, 0.20},
                                            {3, 0.10, 12}};

constexpr common::Duration kTickPeriod = milliseconds(50);
constexpr common::Duration kLoadPollPeriod = milliseconds(250);
constexpr common::Duration kDemandPeriod = admission::kGrantLifetime / 4;
constexpr common::Duration kDetectionDelay = std::chrono::seconds(3);
constexpr uint32_t kMaxQueue = 1000;
constexpr int kRetriesWithoutBudget = 3;
constexpr double kFailureShare = 0.5;

class OverloadRun {
 public:
  explicit OverloadRun(const OverloadRunOptions& options)
      : options(options),
        deployment(Canelones()),
        random(options.seed),
        begin(options.warm_up),
        end(options.warm_up + options.measured) {
    for (size_t i = 0; i < this->deployment.engine_count; ++i) {
      this->engines.push_back(std::make_unique<SimulatedEngine>(
          "w" + std::to_string(i), this->deployment.engine, common::Duration(0),
          std::map<std::string, SimulatedStore*>(), this->counts, this->queue));
    }
    for (size_t i = 0; i < kHosts; ++i)
      this->host_names.push_back("host" + std::to_string(i));
    for (size_t i = 0; i < kHosts; ++i)
      this->MakeHost(i);
    this->served_tokens.assign(kTeams.size(), 0);
    this->ScheduleArrival();
    if (options.host_dies) {
      this->queue.At(this->begin + options.measured / 2,
                     [this] { this->KillLimitOwner(); });
    }
  }

  OverloadRunResult Run() {
    this->queue.RunUntil(this->end);
    const double seconds = common::ToSeconds(this->options.measured);
    OverloadRunResult result;
    result.goodput = this->in_time_count / seconds;
    result.offered = this->arrivals / seconds;
    result.attempts = this->executions / std::max(1.0, this->executed_requests);
    result.limit_overshoot =
        this->max_limited_running > LimitedTeam().limit
            ? this->max_limited_running - LimitedTeam().limit
            : 0;
    result.overshoot_bound = admission::LimitOvershootBound(
        LimitedTeam().limit, kHosts, kHosts - 1, 1);
    result.fairness_error = this->FairnessError();
    return result;
  }

 private:
  struct Request {
    size_t team = 0;
    size_t host = 0;
    routing::RequestId id = 0;
    common::TimePoint arrival;
    uint64_t prompt_tokens = 0;
    uint64_t output_tokens = 0;
    admission::Ticket ticket = 0;
    common::TimePoint dispatched_at;
    bool in_time = false;
    bool first_token = false;
    int retries = 0;
    std::vector<std::string> excluded;
  };
  using RequestPointer = std::shared_ptr<Request>;

  struct Host {
    Host(const std::string& name,
         uint32_t slots,
         const admission::FairSchedulerFactory& scheduler)
        : router("z", {}),
          controller(scheduler),
          concurrency(slots),
          share(name) {}
    bool alive = true;
    routing::Router router;
    admission::Controller controller;
    admission::ConcurrencyLimit concurrency;
    admission::RetryBudget budget;
    admission::LimitOwner owner;
    admission::LimitShare share;
    std::map<admission::Ticket, RequestPointer> waiting;
    uint32_t running = 0;
    uint32_t limited_running = 0;
  };

  static const TeamParameters& LimitedTeam() { return kTeams.back(); }
  static std::string TeamName(size_t team) {
    return "team" + std::to_string(team);
  }
  std::string LimitedTeamName() const { return TeamName(kTeams.size() - 1); }

  uint32_t SlotsPerHost() const {
    const size_t slots = this->engines.size() * this->deployment.engine.slots;
    const auto alive = std::count_if(this->hosts.begin(), this->hosts.end(),
                                     [](const auto& h) { return h->alive; });
    return static_cast<uint32_t>(slots / std::max<size_t>(1, alive));
  }

  void MakeHost(size_t index) {
    const uint32_t slots = static_cast<uint32_t>(
        this->engines.size() * this->deployment.engine.slots / kHosts);
    this->hosts.push_back(std::make_unique<Host>(this->host_names[index], slots,
                                                 this->options.scheduler));
    Host& host = *this->hosts.back();
    for (auto& engine : this->engines) {
      host.router.OnEndpointState({engine->name(), kService, "z"},
                                  routing::EndpointState::kLive,
                                  this->queue.now());
      host.router.OnLoadReport(engine->name(), engine->report(),
                               this->queue.now());
      const common::Duration phase(
          1 + this->random.NextBelow(
                  static_cast<uint64_t>(kLoadPollPeriod.count())));
      this->queue.Every(kLoadPollPeriod, phase, [&host, &engine, this] {
        host.router.OnLoadReport(engine->name(), engine->report(),
                                 this->queue.now());
      });
    }
    for (size_t t = 0; t < kTeams.size(); ++t)
      host.controller.SetTeam(TeamName(t), kTeams[t].weight, UINT32_MAX);
    this->SetView(host, this->host_names);
    host.controller.SetService(kService, slots, kMaxQueue);
    this->queue.Every(kTickPeriod, kTickPeriod,
                      [&host, this] { this->Tick(host); });
    this->queue.Every(kDemandPeriod, kDemandPeriod, [&host, index, this] {
      this->RequestGrant(host, index);
    });
  }

  void SetView(Host& host, const std::vector<std::string>& names) {
    host.owner.SetLimit(this->LimitedTeamName(), LimitedTeam().limit);
    host.owner.SetHosts(names);
    host.share.SetLimit(this->LimitedTeamName(), LimitedTeam().limit);
    host.share.SetHosts(names);
  }

  void RequestGrant(Host& host, size_t index) {
    const std::string& name = this->views[index].empty()
                                  ? this->LimitOwnerName(this->host_names)
                                  : this->LimitOwnerName(this->views[index]);
    const size_t at = this->IndexOf(name);
    if (!host.alive || !this->hosts[at]->alive)
      return;
    const auto grant = this->hosts[at]->owner.OnDemand(
        {this->LimitedTeamName(), this->host_names[index],
         host.controller.running(this->LimitedTeamName()),
         host.controller.queued(this->LimitedTeamName())},
        this->queue.now());
    host.share.OnGrant(grant, this->queue.now());
  }

  const std::string& LimitOwnerName(const std::vector<std::string>& names) {
    const std::string owner =
        admission::LimitOwnerOf(this->LimitedTeamName(), names);
    return this->host_names[this->IndexOf(owner)];
  }

  size_t IndexOf(const std::string& name) const {
    return static_cast<size_t>(
        std::find(this->host_names.begin(), this->host_names.end(), name) -
        this->host_names.begin());
  }

  void KillLimitOwner() {
    const size_t dead = this->IndexOf(this->LimitOwnerName(this->host_names));
    this->hosts[dead]->alive = false;
    this->hosts[dead]->limited_running = 0;
    this->queue.After(kDetectionDelay, [this, dead] {
      std::vector<std::string> names = this->host_names;
      names.erase(names.begin() + static_cast<std::ptrdiff_t>(dead));
      for (size_t i = 0; i < kHosts; ++i) {
        this->views[i] = names;
        this->SetView(*this->hosts[i], names);
        this->hosts[i]->concurrency.SetMax(this->SlotsPerHost());
      }
    });
  }

  void Tick(Host& host) {
    if (!host.alive)
      return;
    host.controller.SetService(kService, host.concurrency.value(), kMaxQueue);
    host.controller.SetTeam(
        this->LimitedTeamName(), LimitedTeam().weight,
        host.share.ShareOf(this->LimitedTeamName(), this->queue.now()));
    const admission::TickResult result =
        host.controller.OnTick(this->queue.now());
    for (admission::Ticket ticket : result.expired)
      host.waiting.erase(ticket);
    this->Start(host, result.admitted);
  }

  void ScheduleArrival() {
    const double rate = kRequestsPerSecond * this->options.load;
    this->queue.After(common::FromSeconds(this->random.Exponential(1 / rate)),
                      [this] {
                        this->Arrive();
                        this->ScheduleArrival();
                      });
  }

  void Arrive() {
    auto request = std::make_shared<Request>();
    double draw = this->random.NextDouble();
    while (request->team + 1 < kTeams.size() &&
           draw >= kTeams[request->team].share)
      draw -= kTeams[request->team++].share;
    request->host = this->random.NextBelow(kHosts);
    request->id = this->next_id++;
    request->arrival = this->queue.now();
    request->prompt_tokens =
        100 + static_cast<uint64_t>(
                  this->random.Exponential(kMeanPromptTokens - 100));
    request->output_tokens =
        1 + static_cast<uint64_t>(this->random.Exponential(kMeanOutputTokens));
    if (this->IsMeasuring())
      this->arrivals += 1;
    Host& host = *this->hosts[request->host];
    // The load balancer stops sending to a dead host only after a while;
    // callers sent there until then are lost.
    if (!host.alive)
      return;
    host.budget.OnRequest(kService);
    if (!this->options.admission) {
      this->Dispatch(request);
      return;
    }
    admission::AdmissionRequest submit;
    submit.team = TeamName(request->team);
    submit.service = kService;
    submit.deadline = request->arrival + this->deployment.patience;
    submit.cost = static_cast<double>(request->prompt_tokens);
    const auto decision =
        host.router.Choose(this->MakeRouteRequest(*request), this->queue.now());
    submit.predicted_first_token =
        decision ? decision->predicted_first_token : common::Duration(0);
    const auto admitted = host.controller.Submit(submit, this->queue.now());
    this->Start(host, admitted.also_admitted);
    if (admitted.state == admission::DecisionState::kRefused)
      return;
    request->ticket = admitted.ticket;
    host.waiting[admitted.ticket] = request;
    if (admitted.state == admission::DecisionState::kAdmitted)
      this->Start(host, {admitted.ticket});
  }

  void Start(Host& host, const std::vector<admission::Ticket>& tickets) {
    for (admission::Ticket ticket : tickets) {
      auto found = host.waiting.find(ticket);
      if (found == host.waiting.end())
        continue;
      const RequestPointer request = found->second;
      host.waiting.erase(found);
      if (request->team + 1 == kTeams.size()) {
        ++host.limited_running;
        this->UpdateMaxLimitedRunning();
      }
      this->Dispatch(request);
    }
  }

  void UpdateMaxLimitedRunning() {
    uint32_t running = 0;
    for (const auto& host : this->hosts)
      running += host->limited_running;
    this->max_limited_running = std::max(this->max_limited_running, running);
  }

  routing::RouteRequest MakeRouteRequest(const Request& request) const {
    routing::RouteRequest route;
    route.id = request.id;
    route.service = kService;
    route.zone = "z";
    route.team = TeamName(request.team);
    route.prompt_tokens = request.prompt_tokens;
    route.max_tokens = request.output_tokens;
    route.deadline = request.arrival + this->deployment.patience;
    route.excluded = request.excluded;
    return route;
  }

  void Dispatch(const RequestPointer& request) {
    Host& host = *this->hosts[request->host];
    const common::TimePoint now = this->queue.now();
    const routing::RouteRequest route = this->MakeRouteRequest(*request);
    const auto decision = host.router.Choose(route, now);
    if (!decision) {
      this->EndRequest(request, false);
      return;
    }
    host.router.OnDispatched(route, *decision, now);
    request->dispatched_at = now;
    ++host.running;
    if (this->IsMeasuring()) {
      this->executions += 1;
      this->executed_requests += request->retries == 0 ? 1 : 0;
    }
    EngineRequest engine_request;
    engine_request.prompt_tokens = request->prompt_tokens;
    engine_request.output_tokens = request->output_tokens;
    const size_t engine = std::stoul(decision->endpoint.substr(1));
    const bool fails = this->ShouldFail(engine);
    engine_request.on_first_token = [this, request](uint64_t, uint64_t) {
      this->OnFirstToken(request);
    };
    engine_request.on_done = [this, request, fails,
                              name = decision->endpoint](bool ok) {
      this->OnDone(request, name, ok && !fails);
    };
    // A failing engine completes the prefill and then breaks the stream.
    if (fails)
      engine_request.output_tokens = 1;
    this->engines[engine]->Submit(std::move(engine_request));
  }

  bool ShouldFail(size_t engine) {
    if (!this->options.failures || engine % 5 != 0)
      return false;
    const auto quarter = this->options.measured / 4;
    const common::TimePoint now = this->queue.now();
    return now > this->begin + quarter && now < this->end - quarter &&
           this->random.NextDouble() < kFailureShare;
  }

  void OnFirstToken(const RequestPointer& request) {
    const common::TimePoint now = this->queue.now();
    Host& host = *this->hosts[request->host];
    host.router.OnFirstToken(request->id, 0, 0, now);
    host.concurrency.OnFirstToken(now - request->dispatched_at,
                                  this->deployment.patience, host.running);
    if (!request->first_token)
      request->in_time = now - request->arrival <= this->deployment.patience;
    request->first_token = true;
  }

  void OnDone(const RequestPointer& request,
              const std::string& endpoint,
              bool succeeded) {
    Host& host = *this->hosts[request->host];
    --host.running;
    host.router.OnFinished(request->id, succeeded, this->queue.now());
    if (succeeded) {
      if (this->IsMeasuring())
        this->served_tokens[request->team] +=
            static_cast<double>(request->prompt_tokens);
      this->EndRequest(request, request->in_time);
      return;
    }
    request->excluded.push_back(endpoint);
    if (this->MayRetry(host, *request)) {
      ++request->retries;
      request->first_token = false;
      this->Dispatch(request);
      return;
    }
    this->EndRequest(request, false);
  }

  bool MayRetry(Host& host, const Request& request) const {
    if (!this->options.retry_budget)
      return request.retries < kRetriesWithoutBudget;
    const bool late =
        this->queue.now() - request.arrival > this->deployment.patience;
    return request.retries == 0 && !late && host.budget.TryRetry(kService);
  }

  void EndRequest(const RequestPointer& request, bool in_time) {
    Host& host = *this->hosts[request->host];
    if (in_time && this->IsMeasuring() && host.alive)
      this->in_time_count += 1;
    if (!this->options.admission)
      return;
    if (request->team + 1 == kTeams.size() && host.limited_running > 0)
      --host.limited_running;
    this->Start(host,
                host.controller.Finish(request->ticket, this->queue.now()));
  }

  bool IsMeasuring() const { return this->queue.now() >= this->begin; }

  double FairnessError() const {
    double work = 0;
    double weight = 0;
    for (size_t t = 0; t + 1 < kTeams.size(); ++t) {
      work += this->served_tokens[t];
      weight += kTeams[t].weight;
    }
    double error = 0;
    for (size_t t = 0; t + 1 < kTeams.size(); ++t) {
      const double share = work * kTeams[t].weight / weight;
      error = std::max(error, std::abs(this->served_tokens[t] / share - 1));
    }
    return error;
  }

  const OverloadRunOptions& options;
  Deployment deployment;
  common::Random random;
  common::TimePoint begin;
  common::TimePoint end;
  EventQueue queue;
  PrefillCounts counts;
  std::vector<std::unique_ptr<SimulatedEngine>> engines;
  std::vector<std::string> host_names;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<std::string> views[kHosts];
  routing::RequestId next_id = 1;
  double in_time_count = 0;
  double arrivals = 0;
  double executions = 0;
  double executed_requests = 0;
  uint32_t max_limited_running = 0;
  std::vector<double> served_tokens;
};

}  // namespace

OverloadRunResult RunOverload(const OverloadRunOptions& options) {
  return OverloadRun(options).Run();
}

}  // namespace jujuberock::load
