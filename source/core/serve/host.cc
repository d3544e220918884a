#include "core/serve/host.h"

#include <glog/logging.h>

#include <future>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/cache_store/client.h"
#include "core/caller/server.h"
#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/common/random.h"
#include "core/host/http2_transport.h"
#include "core/membership/coordinator.h"
#include "core/membership/service.h"
#include "core/operator_api/server.h"
#include "core/orders/rollout_service.h"
#include "core/platform/client.h"
#include "core/report/burn_render.h"
#include "core/routing/choice_policy.h"
#include "core/runtime/http_client.h"
#include "core/runtime/process_limits.h"
#include "core/runtime/wall_timer_service.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/dependencies.h"
#include "core/serve/host_lists.h"
#include "core/serve/journal_transport.h"
#include "core/serve/journaled_run.h"
#include "core/serve/limit_updater.h"
#include "core/serve/peer_messages.h"
#include "core/serve/peer_sync.h"
#include "core/serve/request_handler.h"
#include "core/serve/stoppable_transport.h"
#include "core/table/rendezvous.h"

namespace jujuberock::serve {

using common::TimePoint;
using runtime::Address;

namespace {

constexpr common::Duration kAdmissionPeriod = std::chrono::milliseconds(20);
constexpr common::Duration kLimitUpdatePeriod = std::chrono::milliseconds(500);
constexpr common::Duration kRolloutPeriod = std::chrono::milliseconds(250);
constexpr common::Duration kExportPeriod = std::chrono::milliseconds(250);
constexpr common::Duration kDrainCheckPeriod = std::chrono::milliseconds(10);
// Time in which the final answers of requests that are cut off reach callers.
constexpr common::Duration kFinalAnswerPeriod = std::chrono::milliseconds(100);
// Timeout for releasing the journal's shards after the requests are drained.
constexpr common::Duration kJournalStopTimeout = std::chrono::seconds(5);

Address RequiredAddress(const std::string& text) {
  const auto address = Address::Parse(text);
  if (!address)
    throw common::Error(common::ResultCode::kInvalidSettings,
                        "invalid address: " + text);
  return *address;
}

caller::ServerOptions CallerOptions(const Settings& settings,
                                    const std::string& id_prefix) {
  caller::ServerOptions options;
  options.http.header_limit_bytes =
      static_cast<size_t>(settings.header_limit_bytes);
  options.http.body_limit_bytes =
      static_cast<size_t>(settings.body_limit_bytes);
  options.http.header_timeout = settings.header_timeout;
  options.http.body_timeout = settings.body_timeout;
  options.http.body_progress_timeout = settings.body_progress_timeout;
  options.http.idle_timeout = settings.idle_timeout;
  options.http.write_timeout = settings.write_timeout;
  const runtime::ProcessLimits limits{
      static_cast<size_t>(settings.memory_limit_mb) * 1024 * 1024,
      runtime::EffectiveDescriptors(0)};
  options.http.max_connections = runtime::MaxCallerConnections(limits);
  options.http.budget =
      std::make_shared<runtime::ByteBudget>(runtime::BudgetFor(limits));
  options.max_tokens_limit = settings.max_tokens_limit;
  options.response_id_prefix = id_prefix;
  return options;
}

// Differs on every start, so that a restarted host does not reuse ids.
std::string IdPrefix(const Settings& settings) {
  return settings.host_name + "-" +
         common::Hash128Hex(std::to_string(common::EntropySeed()))
             .substr(0, 12);
}

table::ViewOptions ViewOptionsOf(const Settings& settings) {
  table::ViewOptions options;
  options.utc_offset = std::chrono::minutes(settings.utc_offset_minutes);
  return options;
}

// The incarnation is the wall time, so that it exceeds that of an earlier
// process of the same name.
membership::HostInfo SelfInfo(const Settings& settings,
                              common::UnixTime wall_now) {
  membership::HostInfo self;
  self.name = settings.host_name;
  self.zone = settings.zone;
  self.address = settings.host_address;
  self.incarnation = static_cast<uint64_t>(wall_now.time_since_epoch().count());
  return self;
}

journal::Options JournalOptionsOf(const Settings& settings) {
  journal::Options options;
  options.shards = static_cast<uint32_t>(settings.journal_shards);
  return options;
}

routing::RouterSettings RouterSettingsOf(const Settings& settings) {
  routing::RouterSettings options;
  options.host = settings.host_name;
  options.block_bytes = static_cast<uint64_t>(settings.block_bytes);
  options.max_index_blocks = static_cast<size_t>(settings.index_blocks);
  return options;
}

std::unique_ptr<routing::ChoicePolicy> ChoicePolicyOf(
    const Settings& settings) {
  return settings.restore ? routing::MakeRestoringPolicy()
                          : routing::MakePredictedPrefixPolicy();
}

membership::CoordinatorOptions CoordinatorOptionsOf(const Settings& settings) {
  membership::CoordinatorOptions options;
  options.watcher.list_period = settings.relist_period;
  options.watcher.silence_limit = settings.watch_idle_limit;
  return options;
}

host::Http2TransportOptions TransportOptions(const Settings& settings) {
  host::Http2TransportOptions options;
  options.name = settings.host_name;
  options.listen = RequiredAddress(settings.host_address);
  options.deployment_key = settings.deployment_key;
  return options;
}

// Null when the platform has never answered this host. Hosts that are not the
// delegate of their zone never call it.
nlohmann::json PlatformSilence(const membership::Coordinator& coordinator,
                               TimePoint now) {
  const auto silence = coordinator.TimeSincePlatformContact(now);
  if (!silence)
    return nullptr;
  return common::ToSeconds(*silence);
}

}  // namespace

struct Host::Impl {
  Impl(const Settings& settings, std::function<void()> on_stop_requested);
  ~Impl();

  void OnTableChanged();
  void StartTimers();
  void StartMembership();
  void RefreshHosts();
  bool IsPreferredForOrders(std::string_view service);
  std::vector<std::string> ShardOrder(journal::ShardId shard);
  void StartExports();
  void RunExport(const routing::Export& item);
  std::optional<std::string> NotReadyReason() const;
  nlohmann::json RenderLaggingHosts();
  std::string RenderStatus();
  void WaitUntilDrained(common::Duration timeout);
  StopReport Stop();

  // In the order of construction; each member uses those above it.
  Settings settings;
  common::MetricRegistry counters;
  runtime::WorkerPool pool;
  runtime::WallTimerService timers;
  runtime::HttpClient http;
  platform::Client platform;
  endpoint::EngineClient engine_client;
  endpoint::PlainClient plain_client;
  cache_store::Client store_client;
  table::SharedView view;
  common::RankedMutex table_mutex{common::LockRank::kConfig};
  membership::Coordinator coordinator;
  host::Http2Transport transport;
  StoppableTransport peers;
  GuardedRouter router;
  GuardedBudget budget;
  GuardedSuspects suspects;
  GuardedPartSuspects part_suspects;
  AdmissionGate gate;
  InFlightRequests in_flight;
  std::string id_prefix;
  RequestIds request_ids;
  DetachedStreams detached_streams;
  BurnRecorder burn_recorder;
  EndpointMonitor endpoint_monitor;
  PeerSync peer_sync;
  LimitUpdater limit_updater;
  HostLists hosts;
  membership::Service membership_service;
  std::unique_ptr<journal::Store> journal_store;
  JournalTransport journal_transport;
  journal::Service journal;
  orders::RolloutService rollouts;
  std::atomic<bool> stop_rollouts{false};
  Dependencies deps;
  caller::ApiKeyRegistry keys;
  caller::EventIdSealer sealer;
  RequestHandler handler;
  FiberGroup periodic_tasks;
  caller::Server caller_server;
  operator_api::Server operator_server;
};

Host::Impl::Impl(const Settings& host_settings,
                 std::function<void()> on_stop_requested)
    : settings(host_settings),
      pool(static_cast<size_t>(settings.worker_threads)),
      timers(pool, 0),
      http(pool, {}),
      platform(http, RequiredAddress(settings.platform_address), counters),
      engine_client(http),
      plain_client(http),
      store_client(http),
      view(ViewOptionsOf(settings)),
      coordinator(view,
                  SelfInfo(settings, timers.WallNow()),
                  CoordinatorOptionsOf(settings),
                  common::EntropySeed()),
      transport(pool,
                timers,
                counters,
                TransportOptions(settings),
                membership::ResolverOf(coordinator)),
      peers(transport),
      router(settings.zone,
             RouterSettingsOf(settings),
             ChoicePolicyOf(settings)),
      part_suspects(suspects::PartSuspectOptions{
          .reporter = common::Hash64(host_settings.host_name)}),
      gate(timers, counters),
      id_prefix(IdPrefix(settings)),
      request_ids(id_prefix),
      detached_streams(pool,
                       timers,
                       engine_client,
                       counters,
                       settings.resume_grace),
      burn_recorder(timers, view),
      endpoint_monitor(pool,
                       timers,
                       view,
                       router,
                       engine_client,
                       plain_client,
                       store_client,
                       counters,
                       settings),
      peer_sync(pool,
                timers,
                peers,
                gate,
                suspects,
                part_suspects,
                router,
                endpoint_monitor,
                detached_streams,
                counters,
                settings.host_name),
      limit_updater(timers,
                    view,
                    endpoint_monitor,
                    gate,
                    budget,
                    router,
                    peer_sync,
                    settings),
      hosts(coordinator),
      membership_service(coordinator, peers, platform, pool, timers, counters),
      journal_store(journal::MakePlatformStore(platform)),
      journal_transport(peers, timers),
      journal(
          JournalOptionsOf(settings),
          settings.host_name,
          *journal_store,
          journal_transport,
          timers,
          [this](journal::ShardId shard) { return this->ShardOrder(shard); },
          counters),
      rollouts(
          platform,
          engine_client,
          view,
          [this](std::string_view service) {
            return this->IsPreferredForOrders(service);
          },
          timers,
          counters,
          settings.host_name,
          orders::RolloutOptions()),
      deps{settings,         timers,      counters,      view,
           endpoint_monitor, router,      budget,        suspects,
           part_suspects,    gate,        in_flight,     detached_streams,
           burn_recorder,    request_ids, engine_client, plain_client,
           peer_sync,        journal},
      sealer(settings.deployment_key),
      handler(deps),
      periodic_tasks(pool),
      caller_server(pool,
                    RequiredAddress(settings.caller_address),
                    CallerOptions(settings, id_prefix),
                    keys,
                    sealer,
                    handler,
                    counters),
      operator_server(pool,
                      RequiredAddress(settings.operator_address),
                      counters,
                      settings.operator_key,
                      {[this] { return this->NotReadyReason(); },
                       [this] { return this->RenderStatus(); },
                       [this] {
                         return report::RenderJson(this->burn_recorder.Rows(),
                                                   report::kDefaultObjective);
                       },
                       std::move(on_stop_requested)}) {
  this->peer_sync.RegisterHandlers();
  this->view.SetListener(
      [this](const std::vector<table::Object>&) { this->OnTableChanged(); });
  HandleJournalMessages(this->peers, this->journal);
  this->transport.Serve();
  this->StartMembership();
  this->peer_sync.Start();
  this->endpoint_monitor.Start(
      [this](const std::string& bytes) {
        this->peer_sync.SendLoadReports(bytes);
      },
      [this](const std::string& endpoint, bool leaving) {
        this->membership_service.OnEndpointReport(endpoint, leaving);
      });
  this->StartTimers();
}

Host::Impl::~Impl() {
  // Background fibers also use members declared below their own, so all of them
  // must end before any member is destroyed.
  this->peers.StopHandlers();
  this->endpoint_monitor.Stop();
  this->periodic_tasks.Stop();
  this->membership_service.Stop();
  this->peer_sync.Stop();
}

void Host::Impl::StartMembership() {
  this->RefreshHosts();
  this->membership_service.SetEndpointListener(
      [this](const membership::EndpointChange& change) {
        this->endpoint_monitor.SetLeavingInZone(change.endpoint,
                                                change.leaving);
      });
  this->membership_service.SetHostListener(
      [this](const membership::HostChange&) { this->RefreshHosts(); });
  this->membership_service.Start();
}

void Host::Impl::RefreshHosts() {
  if (!this->hosts.Refresh(this->timers.Now()))
    return;
  const std::vector<std::string> zone = this->hosts.ZoneHosts();
  this->peer_sync.SetHosts(zone, this->hosts.LimitHosts(),
                           this->hosts.AllHosts());
  this->endpoint_monitor.SetZoneHosts(zone);
}

// Ranks the hosts of all zones, since shards belong to the whole deployment.
std::vector<std::string> Host::Impl::ShardOrder(journal::ShardId shard) {
  const std::vector<std::string> hosts = this->hosts.AllHosts();
  return table::TopByRendezvous("journal-" + std::to_string(shard), hosts,
                                hosts.size());
}

bool Host::Impl::IsPreferredForOrders(std::string_view service) {
  const std::vector<std::string> top = table::TopByRendezvous(
      "orders-" + std::string(service), this->hosts.AllHosts(), 1);
  return !top.empty() && top[0] == this->settings.host_name;
}

// Two merges may call this concurrently. The snapshot is read under the lock,
// so that the last call applies the newest rows and no older row replaces them.
void Host::Impl::OnTableChanged() {
  common::RankedLock lock(this->table_mutex);
  const table::SnapshotPtr rows = this->view.Current();
  for (const auto& [name, team] : rows->teams())
    this->keys.SetTeam(name, team->key_digests);
  for (const std::string& team : this->keys.Teams()) {
    if (rows->FindTeam(team))
      continue;
    this->keys.RemoveTeam(team);
    this->peer_sync.RemoveTeam(team);
  }
  this->endpoint_monitor.ApplyTable();
  this->limit_updater.Update();
}

void Host::Impl::StartTimers() {
  this->periodic_tasks.Every(
      this->timers, kAdmissionPeriod, [this](TimePoint now) {
        this->gate.OnTick(now);
        this->detached_streams.OnTick(now);
        if (!this->handler.is_ready() && this->coordinator.ready())
          this->handler.SetReady();
      });
  this->periodic_tasks.Every(this->timers, kLimitUpdatePeriod,
                             [this](TimePoint) {
                               this->RefreshHosts();
                               this->limit_updater.Update();
                             });
  // Not on a timer of RolloutService: periodic_tasks.Stop() waits for a running
  // round before the service is destroyed.
  this->periodic_tasks.Every(this->timers, kRolloutPeriod,
                             [this](TimePoint now) {
                               if (!this->stop_rollouts)
                                 this->rollouts.RunOnce(now);
                             });
  this->periodic_tasks.Every(this->timers, kExportPeriod,
                             [this](TimePoint) { this->StartExports(); });
}

void Host::Impl::StartExports() {
  if (!this->settings.restore)
    return;
  const std::vector<routing::Export> exports =
      this->router.With([&](routing::Router& router) {
        return router.TakeExports(this->timers.Now());
      });
  for (const routing::Export& item : exports)
    this->periodic_tasks.Spawn([this, item] { this->RunExport(item); });
}

void Host::Impl::RunExport(const routing::Export& item) {
  const auto address = this->endpoint_monitor.AddressOf(item.endpoint);
  const table::SnapshotPtr rows = this->view.Current();
  const table::StoreEntry* store = rows->FindStore(item.store);
  if (!address || !store)
    return;
  std::vector<std::string> keys;
  for (const routing::BlockKey& key : item.keys)
    keys.push_back(routing::ToHex(key));
  try {
    this->engine_client.Export(*address, keys, store->address, item.team);
    this->counters.GetCounter("exported_blocks_total").Add(keys.size());
  } catch (const common::Error&) {
    this->counters.GetCounter("export_failures_total").Add();
  }
}

std::optional<std::string> Host::Impl::NotReadyReason() const {
  if (this->handler.is_stopping())
    return "stopping";
  if (!this->handler.is_ready())
    return "no configuration yet";
  return std::nullopt;
}

// Hosts that lack changes of the table, and for how long.
nlohmann::json Host::Impl::RenderLaggingHosts() {
  nlohmann::json lagging_hosts = nlohmann::json::array();
  for (const table::LaggingHost& lagging :
       this->membership_service.CollectLaggingHosts()) {
    nlohmann::json entry = {
        {"host", lagging.host},
        {"confirmed", lagging.confirmed},
        {"lacking_s", common::ToSeconds(lagging.missing_for)}};
    if (lagging.oldest_missing) {
      entry["oldest_missing"] = {{"kind", lagging.oldest_missing->kind},
                                 {"name", lagging.oldest_missing->name},
                                 {"version", lagging.oldest_missing->version}};
    }
    lagging_hosts.push_back(std::move(entry));
  }
  return lagging_hosts;
}

std::string Host::Impl::RenderStatus() {
  const TimePoint now = this->timers.Now();
  const table::SnapshotPtr rows = this->view.Current();
  const table::DigestSummary summary = this->view.Summary();
  nlohmann::json problems = nlohmann::json::array();
  for (const table::InvalidObject& problem : this->view.InvalidObjects()) {
    problems.push_back({{"kind", problem.kind},
                        {"name", problem.name},
                        {"version", problem.version},
                        {"detail", problem.detail}});
  }
  const nlohmann::json status = {
      {"host", this->settings.host_name},
      {"zone", this->settings.zone},
      {"state", this->NotReadyReason().value_or("ready")},
      {"platform_silence_s", PlatformSilence(this->coordinator, now)},
      {"hosts_in_zone", this->hosts.ZoneHosts()},
      {"lagging_hosts", this->RenderLaggingHosts()},
      {"active_requests", this->caller_server.ActiveRequests()},
      {"open_connections", this->caller_server.OpenConnections()},
      {"table",
       {{"version", summary.max_version},
        {"hash", summary.hash},
        {"teams", rows->teams().size()},
        {"services", rows->services().size()},
        {"endpoints", rows->endpoints().size()},
        {"hosts", rows->hosts().size()},
        {"stores", rows->stores().size()},
        {"problems", problems}}},
      {"endpoints",
       {{"down", this->endpoint_monitor.DownEndpoints()},
        {"leaving", this->endpoint_monitor.LeavingEndpoints()}}},
  };
  return status.dump(2) + "\n";
}

void Host::Impl::WaitUntilDrained(common::Duration timeout) {
  const TimePoint limit = this->timers.Now() + timeout;
  // Shared with the timer, which may fire once more after this returns.
  struct DrainState {
    std::promise<void> drained;
    std::atomic<bool> done{false};
  };
  auto drain_state = std::make_shared<DrainState>();
  this->periodic_tasks.Every(
      this->timers, kDrainCheckPeriod,
      [this, drain_state, limit](TimePoint now) {
        const bool finished = this->caller_server.IsDrained() || now >= limit;
        if (finished && !drain_state->done.exchange(true))
          drain_state->drained.set_value();
      });
  drain_state->drained.get_future().wait();
}

StopReport Host::Impl::Stop() {
  LOG(INFO) << "planned stop: refusing new requests";
  this->handler.BeginStop();
  this->pool.Run([this] { this->membership_service.AnnounceStop(); });
  this->caller_server.Drain();
  this->WaitUntilDrained(this->settings.stop_limit);
  StopReport report;
  report.cut_off = this->caller_server.ActiveRequests();
  if (report.cut_off > 0) {
    this->caller_server.EndUnanswered(
        common::Error(common::ResultCode::kDeadlineExceeded,
                      "the host stops before the request has ended"));
    this->WaitUntilDrained(kFinalAnswerPeriod);
  }
  this->counters.GetCounter("requests_cut_off_total").Add(report.cut_off);
  LOG(INFO) << "planned stop: " << report.cut_off << " requests cut off";
  this->pool.Run([this] { this->journal.Stop(kJournalStopTimeout); });
  this->stop_rollouts = true;
  return report;
}

Host::Host(const Settings& settings, std::function<void()> on_stop_requested)
    : impl(std::make_unique<Impl>(settings, std::move(on_stop_requested))) {}

Host::~Host() = default;

Address Host::caller_address() const {
  return this->impl->caller_server.address();
}

Address Host::operator_address() const {
  return this->impl->operator_server.address();
}

StopReport Host::Stop() {
  return this->impl->Stop();
}

}  // namespace jujuberock::serve
