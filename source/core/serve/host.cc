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
#include "core/runtime/wall_timer_service.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/guarded_peers.h"
#include "core/serve/host_lists.h"
#include "core/serve/journal_transport.h"
#include "core/serve/limits.h"
#include "core/serve/parts.h"
#include "core/serve/peer_messages.h"
#include "core/serve/recorded_run.h"
#include "core/serve/request_handler.h"
#include "core/serve/zone_sharing.h"
#include "core/table/rendezvous.h"

namespace jujuberock::serve {

using common::TimePoint;
using runtime::Address;

namespace {

constexpr common::Duration kAdmissionTick = std::chrono::milliseconds(20);
constexpr common::Duration kLimitsTick = std::chrono::milliseconds(500);
constexpr common::Duration kRolloutTick = std::chrono::milliseconds(250);
constexpr common::Duration kExportTick = std::chrono::milliseconds(250);
constexpr common::Duration kDrainCheck = std::chrono::milliseconds(10);
// Time for releasing the journal's shards once no request runs.
constexpr common::Duration kDutiesLimit = std::chrono::seconds(5);

Address RequiredAddress(const std::string& text) {
  const auto address = Address::Parse(text);
  if (!address)
    throw common::Error(common::ResultCode::kInvalidSettings,
                        "not an address: " + text);
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
  options.http.idle_timeout = settings.idle_timeout;
  options.http.write_timeout = settings.write_timeout;
  options.max_tokens_limit = settings.max_tokens_limit;
  options.answer_id_prefix = id_prefix;
  return options;
}

// Differs on every start, so that a host that comes back reuses no id.
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

// The incarnation exceeds that of an earlier process of the same name.
membership::HostNews SelfNews(const Settings& settings,
                              common::UnixTime wall_now) {
  membership::HostNews self;
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
  options.block_bytes = static_cast<uint64_t>(settings.block_bytes);
  options.max_index_blocks = static_cast<size_t>(settings.index_blocks);
  return options;
}

std::unique_ptr<routing::ChoicePolicy> PolicyOf(const Settings& settings) {
  return settings.restore ? routing::MakeRestoringPolicy()
                          : routing::MakePredictedPrefixPolicy();
}

membership::CoordinatorOptions CoordinatorOptionsOf(const Settings& settings) {
  membership::CoordinatorOptions options;
  options.follower.list_period = settings.relist_period;
  options.follower.silence_limit = settings.watch_idle_limit;
  return options;
}

host::Http2TransportOptions TransportOptions(const Settings& settings) {
  host::Http2TransportOptions options;
  options.name = settings.host_name;
  options.listen = RequiredAddress(settings.host_address);
  options.deployment_key = settings.deployment_key;
  return options;
}

// Null when the platform never answered this host; hosts that do not act for
// their zone never ask it.
nlohmann::json PlatformSilence(const membership::Coordinator& coordinator,
                               TimePoint now) {
  const auto silence = coordinator.PlatformSilence(now);
  if (!silence)
    return nullptr;
  return common::ToSeconds(*silence);
}

}  // namespace

struct Host::Impl {
  Impl(const Settings& settings, std::function<void()> on_stop_requested);
  ~Impl();

  void OnTable();
  void StartTimers();
  void StartMembership();
  void RefreshHosts();
  bool IsPreferredForOrders(std::string_view service);
  std::vector<std::string> ShardOrder(journal::ShardId shard);
  void StartExports();
  void RunExport(const routing::Export& order);
  std::optional<std::string> NotReady() const;
  nlohmann::json RenderLags();
  std::string RenderStatus();
  void WaitUntilDrained();
  StopReport Stop();

  // In the order of construction; each part uses those above it.
  Settings settings;
  common::CounterRegistry counters;
  runtime::WorkerPool pool;
  runtime::WallTimerService timers;
  runtime::HttpClient http;
  platform::Client platform;
  endpoint::EngineClient engines;
  endpoint::PlainClient plains;
  cache_store::Client stores;
  table::SharedView view;
  common::RankedMutex table_mutex{common::LockRank::kConfig};
  membership::Coordinator coordinator;
  host::Http2Transport transport;
  GuardedPeers peers;
  GuardedRouter router;
  GuardedBudget budget;
  GuardedSuspects suspects;
  AdmissionGate gate;
  InFlight in_flight;
  std::string id_prefix;
  RequestIds ids;
  DetachedStreams detached;
  BurnLog burn;
  Fleet fleet;
  ZoneSharing sharing;
  Limits limits;
  HostLists hosts;
  membership::Service members;
  std::unique_ptr<journal::Store> journal_store;
  JournalTransport journal_transport;
  journal::Service journal;
  orders::RolloutService rollouts;
  std::atomic<bool> stop_rollouts{false};
  Parts parts;
  caller::KeyDirectory keys;
  caller::EventIdSealer sealer;
  RequestHandler handler;
  FiberGroup periodic;
  caller::Server callers;
  operator_api::Server operators;
};

Host::Impl::Impl(const Settings& given, std::function<void()> on_stop_requested)
    : settings(given),
      pool(static_cast<size_t>(settings.worker_threads)),
      timers(pool, 0),
      http(pool, {}),
      platform(http, RequiredAddress(settings.platform_address), counters),
      engines(http),
      plains(http),
      stores(http),
      view(ViewOptionsOf(settings)),
      coordinator(view,
                  SelfNews(settings, timers.WallNow()),
                  CoordinatorOptionsOf(settings),
                  common::EntropySeed()),
      transport(pool,
                timers,
                counters,
                TransportOptions(settings),
                membership::ResolverOf(coordinator)),
      peers(transport),
      router(settings.zone, RouterSettingsOf(settings), PolicyOf(settings)),
      gate(timers, counters),
      id_prefix(IdPrefix(settings)),
      ids(id_prefix),
      detached(pool, timers, engines, counters, settings.resume_grace),
      burn(timers, view),
      fleet(pool,
            timers,
            view,
            router,
            engines,
            plains,
            stores,
            counters,
            settings),
      sharing(pool,
              timers,
              peers,
              gate,
              suspects,
              router,
              fleet,
              detached,
              counters,
              settings.host_name),
      limits(timers, view, fleet, gate, budget, router, sharing, settings),
      hosts(coordinator),
      members(coordinator, peers, platform, pool, timers, counters),
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
          engines,
          view,
          [this](std::string_view service) {
            return this->IsPreferredForOrders(service);
          },
          timers,
          counters,
          settings.host_name,
          orders::RolloutOptions()),
      parts{settings, timers,   counters, view,      fleet,    router,
            budget,   suspects, gate,     in_flight, detached, burn,
            ids,      engines,  plains,   sharing,   journal},
      sealer(settings.deployment_key),
      handler(parts),
      periodic(pool),
      callers(pool,
              RequiredAddress(settings.caller_address),
              CallerOptions(settings, id_prefix),
              keys,
              sealer,
              handler,
              counters),
      operators(pool,
                RequiredAddress(settings.operator_address),
                counters,
                settings.operator_key,
                {[this] { return this->NotReady(); },
                 [this] { return this->RenderStatus(); },
                 [this] {
                   return report::RenderJson(this->burn.Rows(),
                                             report::kDefaultObjective);
                 },
                 std::move(on_stop_requested)}) {
  this->sharing.RegisterHandlers();
  this->view.SetListener(
      [this](const std::vector<table::Object>&) { this->OnTable(); });
  HandleJournalMessages(this->peers, this->journal);
  this->transport.Serve();
  this->StartMembership();
  this->sharing.Start();
  this->fleet.Start(
      [this](const std::string& bytes) {
        this->sharing.SendLoadReports(bytes);
      },
      [this](const std::string& endpoint, bool leaving) {
        this->members.OnEndpointReport(endpoint, leaving);
      });
  this->StartTimers();
}

Host::Impl::~Impl() {
  // Background work uses parts in either direction, so all of it ends before
  // the first part is destroyed.
  this->peers.ShutHandlers();
  this->fleet.Stop();
  this->periodic.Stop();
  this->members.Stop();
  this->sharing.Stop();
}

void Host::Impl::StartMembership() {
  this->RefreshHosts();
  this->members.SetEndpointListener(
      [this](const membership::EndpointChange& change) {
        this->fleet.SetLeavingInZone(change.endpoint, change.leaving);
      });
  this->members.SetHostListener(
      [this](const membership::HostChange&) { this->RefreshHosts(); });
  this->members.Start();
}

void Host::Impl::RefreshHosts() {
  if (!this->hosts.Refresh(this->timers.Now()))
    return;
  const std::vector<std::string> zone = this->hosts.Zone();
  this->sharing.SetHosts(zone, this->hosts.Sharing(), this->hosts.All());
  this->fleet.SetZoneHosts(zone);
}

// Hosts of every zone, since shards belong to the whole deployment.
std::vector<std::string> Host::Impl::ShardOrder(journal::ShardId shard) {
  const std::vector<std::string> hosts = this->hosts.All();
  return table::TopByRendezvous("journal-" + std::to_string(shard), hosts,
                                hosts.size());
}

bool Host::Impl::IsPreferredForOrders(std::string_view service) {
  const std::vector<std::string> top = table::TopByRendezvous(
      "orders-" + std::string(service), this->hosts.All(), 1);
  return !top.empty() && top[0] == this->settings.host_name;
}

// Two merges may come here at the same time; the lock makes the last one use
// the newest rows, so that no older row replaces a newer one.
void Host::Impl::OnTable() {
  common::RankedLock lock(this->table_mutex);
  const table::SnapshotPtr rows = this->view.Current();
  for (const auto& [name, team] : rows->teams())
    this->keys.SetTeam(name, team->key_digests);
  for (const std::string& team : this->keys.Teams()) {
    if (rows->FindTeam(team))
      continue;
    this->keys.RemoveTeam(team);
    this->sharing.RemoveTeam(team);
  }
  this->fleet.OnConfig();
  this->limits.Update();
}

void Host::Impl::StartTimers() {
  this->periodic.Every(this->timers, kAdmissionTick, [this](TimePoint now) {
    this->gate.OnTick(now);
    this->detached.OnTick(now);
    if (!this->handler.is_ready() && this->coordinator.ready())
      this->handler.SetReady();
  });
  this->periodic.Every(this->timers, kLimitsTick, [this](TimePoint) {
    this->RefreshHosts();
    this->limits.Update();
  });
  // Not by its own timer: a round that runs must end before it is destroyed.
  this->periodic.Every(this->timers, kRolloutTick, [this](TimePoint now) {
    if (!this->stop_rollouts)
      this->rollouts.RunOnce(now);
  });
  this->periodic.Every(this->timers, kExportTick,
                       [this](TimePoint) { this->StartExports(); });
}

void Host::Impl::StartExports() {
  if (!this->settings.restore)
    return;
  const std::vector<routing::Export> orders =
      this->router.With([&](routing::Router& router) {
        return router.TakeExports(this->timers.Now());
      });
  for (const routing::Export& order : orders)
    this->periodic.Spawn([this, order] { this->RunExport(order); });
}

void Host::Impl::RunExport(const routing::Export& order) {
  const auto address = this->fleet.AddressOf(order.endpoint);
  const table::SnapshotPtr rows = this->view.Current();
  const table::StoreEntry* store = rows->FindStore(order.store);
  if (!address || !store)
    return;
  std::vector<std::string> keys;
  for (const routing::BlockKey& key : order.keys)
    keys.push_back(routing::ToHex(key));
  try {
    this->engines.Export(*address, keys, store->address, order.team);
    this->counters.GetCounter("exported_blocks_total").Add(keys.size());
  } catch (const common::Error&) {
    this->counters.GetCounter("export_failures_total").Add();
  }
}

std::optional<std::string> Host::Impl::NotReady() const {
  if (this->handler.is_stopping())
    return "stopping";
  if (!this->handler.is_ready())
    return "no configuration yet";
  return std::nullopt;
}

// Hosts that lack a change, and for how long.
nlohmann::json Host::Impl::RenderLags() {
  nlohmann::json lags = nlohmann::json::array();
  for (const table::HostLag& lag : this->members.CollectLags()) {
    nlohmann::json entry = {{"host", lag.host},
                            {"confirmed", lag.confirmed},
                            {"lacking_s", common::ToSeconds(lag.lacking)}};
    if (lag.oldest_missing) {
      entry["oldest_missing"] = {{"kind", lag.oldest_missing->kind},
                                 {"name", lag.oldest_missing->name},
                                 {"version", lag.oldest_missing->version}};
    }
    lags.push_back(std::move(entry));
  }
  return lags;
}

std::string Host::Impl::RenderStatus() {
  const TimePoint now = this->timers.Now();
  const table::SnapshotPtr rows = this->view.Current();
  const table::DigestSummary summary = this->view.Summary();
  nlohmann::json problems = nlohmann::json::array();
  for (const table::Problem& problem : this->view.Problems()) {
    problems.push_back({{"kind", problem.kind},
                        {"name", problem.name},
                        {"version", problem.version},
                        {"detail", problem.detail}});
  }
  const nlohmann::json status = {
      {"host", this->settings.host_name},
      {"zone", this->settings.zone},
      {"state", this->NotReady().value_or("ready")},
      {"platform_silence_s", PlatformSilence(this->coordinator, now)},
      {"hosts_in_zone", this->hosts.Zone()},
      {"lagging_hosts", this->RenderLags()},
      {"active_requests", this->callers.ActiveRequests()},
      {"open_connections", this->callers.OpenConnections()},
      {"table",
       {{"version", summary.high},
        {"hash", summary.hash},
        {"teams", rows->teams().size()},
        {"services", rows->services().size()},
        {"endpoints", rows->endpoints().size()},
        {"hosts", rows->hosts().size()},
        {"stores", rows->stores().size()},
        {"problems", problems}}},
      {"endpoints",
       {{"down", this->fleet.Down()}, {"leaving", this->fleet.Leaving()}}},
  };
  return status.dump(2) + "\n";
}

void Host::Impl::WaitUntilDrained() {
  const TimePoint limit = this->timers.Now() + this->settings.stop_limit;
  // Shared with the timer, which may fire once more after this returns.
  struct Wait {
    std::promise<void> drained;
    std::atomic<bool> done{false};
  };
  auto wait = std::make_shared<Wait>();
  this->periodic.Every(
      this->timers, kDrainCheck, [this, wait, limit](TimePoint now) {
        const bool over = this->callers.IsDrained() || now >= limit;
        if (over && !wait->done.exchange(true))
          wait->drained.set_value();
      });
  wait->drained.get_future().wait();
}

StopReport Host::Impl::Stop() {
  LOG(INFO) << "planned stop: no new requests";
  this->handler.StartStopping();
  this->pool.Run([this] { this->members.Announce(); });
  this->callers.Drain();
  this->WaitUntilDrained();
  StopReport report;
  report.cut_off = this->callers.ActiveRequests();
  this->counters.GetCounter("requests_cut_off_total").Add(report.cut_off);
  LOG(INFO) << "planned stop: " << report.cut_off << " requests cut off";
  this->pool.Run([this] { this->journal.Stop(kDutiesLimit); });
  this->stop_rollouts = true;
  return report;
}

Host::Host(const Settings& settings, std::function<void()> on_stop_requested)
    : impl(std::make_unique<Impl>(settings, std::move(on_stop_requested))) {}

Host::~Host() = default;

Address Host::caller_address() const {
  return this->impl->callers.address();
}

Address Host::operator_address() const {
  return this->impl->operators.address();
}

StopReport Host::Stop() {
  return this->impl->Stop();
}

}  // namespace jujuberock::serve
