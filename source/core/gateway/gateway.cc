#include "core/gateway/gateway.h"

#include <glog/logging.h>

#include <algorithm>
#include <utility>

#include "core/gateway/refused_error.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::Error;
using common::ResultCode;
using events::Event;
using events::Field;
using events::LogLine;

// Time for which a stopping host keeps serving while it reports not ready. The
// load balancer probes every second and removes a host after two failures.
constexpr Duration kReadinessDelay = std::chrono::milliseconds(2400);
// Requests that arrive later than this after the readiness delay are refused.
// Their connections are being closed.
constexpr Duration kAcceptPeriod = std::chrono::milliseconds(300);
// Part of the grace period reserved for the process to exit by itself.
constexpr Duration kExitReserve = std::chrono::milliseconds(400);
// Time before that in which final answers reach the callers.
constexpr Duration kFinalAnswerPeriod = std::chrono::milliseconds(100);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);
constexpr const char* kStoppingReason = "the host is stopping";

constexpr size_t kBytesPerMb = 1024 * 1024;
// Time after which a caller whose body found no room may retry.
constexpr Duration kNoRoomRetryAfter = std::chrono::milliseconds(1000);
constexpr Duration kLimitsReportPeriod = std::chrono::seconds(10);
// What a host adds to the header of a request that it hands over.
constexpr size_t kHandoverHeaderBytes = 2 * 1024;
// Connections of other hosts that are open at once, as a part of those of
// callers.
constexpr size_t kHandoverConnectionsDivisor = 4;
// The heap is trimmed once this much of what was held for callers is released.
constexpr size_t kTrimBytes = 8 * kBytesPerMb;
constexpr Duration kTrimPeriod = std::chrono::seconds(1);

// Limits of the ports for probes and metrics, whose requests have no body.
runtime::HttpServerOptions ProbeOptions() {
  runtime::HttpServerOptions options;
  options.body_limit_bytes = 4 * 1024;
  options.max_connections = 64;
  return options;
}

runtime::ProcessLimits LimitsOf(const Settings& settings) {
  return {static_cast<size_t>(settings.memory_limit_mb) * kBytesPerMb,
          runtime::EffectiveDescriptors(
              static_cast<size_t>(settings.descriptor_limit))};
}

RelayedStore::Options RelayOptionsFor(const Settings& settings) {
  const bool has_server = settings.peer_port != 0;
  RelayedStore::Options options;
  options.choice.own_name = HostRegistry::ObjectNameOf(settings.host_name);
  options.choice.zone = settings.zone;
  options.choice.min_hosts =
      has_server ? static_cast<size_t>(settings.relay_min_hosts) : 0;
  // The view of the configuration must be the newest, and calls between hosts
  // cost little.
  options.max_wait = settings.config_watch_wait;
  options.stall_threshold = kHostStallThreshold;
  return options;
}

}  // namespace

Gateway::Gateway(Settings settings,
                 runtime::WorkerPool& workers,
                 PlatformInterfaces platform,
                 events::EventLog& log,
                 common::MetricRegistry& counters,
                 std::function<common::UnixTime()> wall_now)
    : settings(std::move(settings)),
      regions(catalog::ZoneRegions::Parse(this->settings.zone_regions)
                  .value_or(catalog::ZoneRegions())),
      workers(workers),
      platform(platform),
      log(log),
      counters(counters),
      connections({}, counters),
      peer_connections({}, counters),
      peer_choice(this->settings.zone, common::EntropySeed()),
      relay_client(workers),
      store(RelayOptionsFor(this->settings),
            platform.store,
            this->relay_client,
            log,
            counters,
            runtime::BootNow),
      view(this->settings, this->store, platform.decoder, log),
      dispatcher(this->settings, this->view, this->connections, log, counters),
      endpoint_watches(this->settings,
                       this->view,
                       this->dispatcher,
                       this->connections,
                       log,
                       counters),
      cache_store_watcher(platform.control, this->cache_store_index, log),
      host_registry(this->settings,
                    this->view,
                    this->order_history,
                    this->dispatcher,
                    this->cache_store_watcher,
                    this->store,
                    std::move(wall_now)),
      stream_registry(this->settings,
                      this->view,
                      this->host_registry,
                      this->store,
                      log,
                      counters),
      rollout_controller(this->settings,
                         this->view,
                         this->dispatcher,
                         this->store,
                         platform.control,
                         this->host_registry,
                         this->order_history,
                         log),
      cache_store_cleaner(this->view,
                          this->dispatcher,
                          this->host_registry,
                          this->cache_store_index,
                          platform.control,
                          log),
      request_deps{this->settings,
                   this->view,
                   this->dispatcher,
                   this->cache_store_index,
                   this->connections,
                   this->planned_stop,
                   this->stream_registry,
                   platform.codec,
                   this->regions,
                   log,
                   counters.GetCounter("requests_answered_total"),
                   counters.GetCounter("requests_refused_total"),
                   counters.GetCounter("requests_queued_total"),
                   counters.GetCounter("requests_displaced_total"),
                   counters.GetCounter("requests_failed_total"),
                   counters.GetCounter("requests_turned_from_cold_total"),
                   counters.GetCounter("requests_turned_from_brittle_total"),
                   counters.GetCounter("responses_dropped_total"),
                   counters.GetHistogram("request_first_byte_seconds"),
                   counters.GetHistogram("request_seconds"),
                   counters.GetCounter("requests_handed_over_total",
                                       {{"result", "answered"}}),
                   counters.GetCounter("requests_handed_over_total",
                                       {{"result", "refused"}}),
                   counters.GetCounter("requests_handed_over_total",
                                       {{"result", "failed"}}),
                   this->peer_connections},
      limits(LimitsOf(this->settings)),
      budget(std::make_shared<runtime::ByteBudget>(
          runtime::BudgetFor(this->limits))),
      held_bytes(counters.GetGauge("caller_bytes_held")),
      bodies_refused(counters.GetGauge("caller_bodies_refused")),
      bodies_ended(counters.GetGauge("caller_bodies_ended")),
      connections_displaced(counters.GetGauge("caller_connections_displaced")) {
  this->view.OnChange([this] { this->OnViewChanged(); });
  this->view.OnHostObject(
      [this](const auto& change) { this->OnHostObject(change); });
  this->view.OnEvacuation([this](const auto& change) {
    if (change.record.is_ended)
      this->dispatcher.OnZoneReturned(change);
  });
  platform.control.OnNotice([this](const auto& endpoint, const auto& notice) {
    this->dispatcher.OnNotice(endpoint, notice);
  });
  this->dispatcher.OnLeaving([this](const catalog::Endpoint& endpoint) {
    this->view.OnEndpointLeaving(endpoint);
  });
  const auto address = [](const std::string& text) {
    return *runtime::Address::Parse(text);
  };
  this->caller_server = std::make_unique<runtime::HttpServer>(
      workers, address(this->settings.caller_address),
      this->OptionsFor(catalog::CallerLimits()),
      [this](auto& request, auto& writer) { this->Serve(request, writer); },
      [this](const Error& error) { return this->RenderError(error); });
  this->readiness_server = std::make_unique<runtime::HttpServer>(
      workers, address(this->settings.ready_address), ProbeOptions(),
      [this](const auto&, auto& writer) { this->ServeReadiness(writer); },
      runtime::RenderPlainError);
  if (this->settings.peer_port != 0)
    this->OpenPeerLoads();
  if (this->settings.peer_port != 0 && this->settings.relay_min_hosts != 0)
    this->OpenRelays();
  if (this->settings.handover_port != 0)
    this->OpenHandover();
  if (this->settings.metrics_port != 0) {
    runtime::Address metrics = address(this->settings.caller_address);
    metrics.port = static_cast<uint16_t>(this->settings.metrics_port);
    this->metrics_server = std::make_unique<runtime::HttpServer>(
        workers, metrics, ProbeOptions(),
        [this](const auto&, auto& writer) {
          runtime::HttpResponse response;
          response.headers.Add("Content-Type", "text/plain; version=0.0.4");
          response.body = this->counters.RenderPrometheus();
          writer.Send(std::move(response));
        },
        runtime::RenderPlainError);
  }
  // No fiber may refer to this object before all ports are open: a port that is
  // in use ends the construction.
  workers.Spawn(0, [this] {
    LogLine(this->log, Event::kStarted).Add(Field::kDetail, "serving");
    this->view.Start();
    if (this->peer_loads)
      this->peer_loads->Start();
    runtime::SpawnLocal([this] { this->rollout_controller.Run(); });
    runtime::SpawnLocal([this] { this->host_registry.Run(); });
    runtime::SpawnLocal([this] { this->stream_registry.Run(); });
    runtime::SpawnLocal([this] { this->cache_store_cleaner.Run(); });
    // Goes on during a planned stop, until the process exits.
    while (true) {
      runtime::SleepFor(Dispatcher::kCheckPeriod);
      this->Tick();
    }
  });
}

void Gateway::OpenPeerLoads() {
  runtime::Address address =
      *runtime::Address::Parse(this->settings.caller_address);
  address.port = static_cast<uint16_t>(this->settings.peer_port);
  this->peer_loads = std::make_unique<PeerLoads>(
      this->view, this->dispatcher, this->cache_store_index,
      this->workers.IoContextOf(0), address, this->counters);
  this->host_registry.OnPeers([this](std::vector<runtime::Address> peers) {
    this->peer_loads->SetPeers(std::move(peers));
  });
  this->dispatcher.OnUnreachable(
      [this](const std::string& id) { this->peer_loads->OnUnreachable(id); });
  this->request_deps.peer_loads = this->peer_loads.get();
}

void Gateway::OpenRelays() {
  runtime::Address address =
      *runtime::Address::Parse(this->settings.caller_address);
  address.port = static_cast<uint16_t>(this->settings.peer_port);
  this->host_registry.OnZoneHosts([this](std::vector<relay::RelayHost> hosts) {
    this->store.SetHosts(std::move(hosts));
  });
  this->relay_server = std::make_unique<RelayServer>(this->store, this->workers,
                                                     address, this->counters);
}

void Gateway::OpenHandover() {
  runtime::Address address =
      *runtime::Address::Parse(this->settings.caller_address);
  address.port = static_cast<uint16_t>(this->settings.handover_port);
  this->host_registry.OnHandoverHosts(
      [this](std::vector<handover::PeerHost> hosts) {
        this->peer_choice.SetHosts(std::move(hosts));
      });
  this->request_deps.peers = &this->peer_choice;
  this->handover_server = std::make_unique<HandoverServer>(
      this->request_deps, this->workers, address,
      this->HandoverOptionsFor(catalog::CallerLimits()),
      [this] {
        if (this->stopping)
          throw RefusedError(ResultCode::kStopping, kStoppingReason,
                             PlannedStop::kRetryAfter);
      },
      [this](const Error& error) { return this->RenderError(error); },
      this->counters);
}

Gateway::~Gateway() {
  this->view.Stop();
  this->endpoint_watches.Stop();
  this->cache_store_watcher.Stop();
  this->rollout_controller.Stop();
  this->host_registry.Stop();
  this->stream_registry.Stop();
  this->cache_store_cleaner.Stop();
  if (this->peer_loads)
    this->peer_loads->Stop();
}

void Gateway::Reload(const Settings& changed) {
  const auto level = events::kLevelNames.ValueOf(changed.log_level);
  if (level)
    this->log.SetLevel(*level);
  LogLine(this->log, Event::kReloaded).Add(Field::kDetail, changed.log_level);
}

void Gateway::OnViewChanged() {
  this->dispatcher.Refresh();
  this->endpoint_watches.Refresh();
  this->stream_registry.Refresh();
  const auto config = this->view.config();
  if (!config)
    return;
  this->caller_server->SetOptions(this->OptionsFor(config->config().limits));
  if (this->handover_server)
    this->handover_server->server().SetOptions(
        this->HandoverOptionsFor(config->config().limits));
  this->cache_store_watcher.Refresh(*config);
}

void Gateway::OnHostObject(const catalog::ObjectChange& change) {
  if (change.object.name == RolloutController::kObjectName) {
    if (!change.deleted)
      this->rollout_controller.OnLeaseObject(change.object);
    return;
  }
  if (StreamRegistry::OwnsObject(change.object.name)) {
    this->stream_registry.OnObject(change);
    return;
  }
  this->host_registry.OnObject(change);
}

void Gateway::Tick() {
  const common::TimePoint now = runtime::BootNow();
  this->store.OnTick(now);
  this->view.OnTick(now);
  this->dispatcher.CheckReach();
  this->dispatcher.CheckColdEndpoints();
  this->dispatcher.CheckSilence();
  this->dispatcher.CheckSuspects();
  this->connections.Expire(now);
  this->peer_connections.Expire(now);
  this->endpoint_watches.Tick();
  this->LogViewFreshness(now);
  this->ReportHeldBytes(now);
  this->log.Flush();
}

runtime::HttpServerOptions Gateway::OptionsFor(
    const catalog::CallerLimits& limits) const {
  runtime::HttpServerOptions options;
  options.header_limit_bytes = limits.header_bytes;
  options.body_limit_bytes = limits.body_bytes;
  options.header_timeout = limits.header_timeout;
  options.idle_timeout = limits.idle_timeout;
  options.body_timeout = this->settings.body_timeout;
  options.body_progress_timeout = this->settings.body_progress_timeout;
  options.max_connections = runtime::MaxCallerConnections(this->limits);
  options.budget = this->budget;
  options.id_field = this->platform.codec.attempt_id_field();
  options.on_refused = [this](const Error& error, std::string_view attempt_id) {
    this->LogRefused(error, attempt_id);
  };
  return options;
}

runtime::HttpServerOptions Gateway::HandoverOptionsFor(
    const catalog::CallerLimits& limits) const {
  runtime::HttpServerOptions options = this->OptionsFor(limits);
  options.header_limit_bytes += kHandoverHeaderBytes;
  options.max_connections /= kHandoverConnectionsDivisor;
  return options;
}

void Gateway::LogRefused(const Error& error,
                         std::string_view attempt_id) const {
  LogLine(this->log, Event::kRequestRefused)
      .Add(Field::kRequest, attempt_id)
      .Add(Field::kReason, error.what())
      .Add(Field::kStatus, common::InfoOf(error.code()).http_status);
}

runtime::HttpResponse Gateway::RenderError(const Error& error) const {
  runtime::HttpResponse response = runtime::RenderPlainError(error);
  if (error.code() == ResultCode::kQueueFull)
    this->platform.codec.AddRetryAfter(response.headers, kNoRoomRetryAfter);
  if (error.code() == ResultCode::kStopping)
    this->platform.codec.AddRetryAfter(response.headers,
                                       PlannedStop::kRetryAfter);
  return response;
}

void Gateway::ReportHeldBytes(common::TimePoint now) {
  const uint64_t refused = this->budget->refused();
  const uint64_t ended = this->budget->ended();
  const uint64_t displaced = this->caller_server->DisplacedConnections();
  const size_t held = this->budget->held_bytes();
  this->held_bytes.Set(static_cast<int64_t>(held));
  this->peak_held = std::max(this->peak_held, held);
  if (this->peak_held - held >= kTrimBytes &&
      now - this->trimmed_at >= kTrimPeriod) {
    runtime::TrimHeap();
    this->peak_held = held;
    this->trimmed_at = now;
  }
  this->bodies_refused.Set(static_cast<int64_t>(refused));
  this->bodies_ended.Set(static_cast<int64_t>(ended));
  this->connections_displaced.Set(static_cast<int64_t>(displaced));
  const uint64_t limited = refused + ended + displaced;
  if (limited == this->limited_callers ||
      now - this->limits_reported_at < kLimitsReportPeriod)
    return;
  this->limited_callers = limited;
  this->limits_reported_at = now;
  LOG(WARNING) << "callers exceed what the host can hold: " << refused
               << " bodies refused, " << ended << " ended, " << displaced
               << " connections closed since the start";
}

void Gateway::LogViewFreshness(common::TimePoint now) {
  const bool fresh = this->view.IsFresh(now);
  if (fresh == this->was_view_fresh)
    return;
  this->was_view_fresh = fresh;
  const auto age = this->view.age().AgeAt(now);
  LogLine(this->log, fresh ? Event::kViewRenewed : Event::kViewStale)
      .Add(Field::kViewAgeMs, age.value_or(Duration(0)));
}

void Gateway::ServeReadiness(runtime::ResponseWriter& writer) {
  const bool ready = !this->stopping && this->view.IsFresh(runtime::BootNow());
  runtime::HttpResponse response;
  response.status = ready ? 200 : 503;
  writer.Send(std::move(response));
}

void Gateway::Serve(runtime::HttpRequest& request,
                    runtime::ResponseWriter& writer) {
  try {
    forward::CallerRequest decoded =
        this->platform.codec.DecodeRequest(request);
    this->CheckAccepting(decoded.attempt_id);
    decoded.body = std::move(request.body);
    RequestTask task(this->request_deps, std::move(decoded), writer);
    task.Run();
  } catch (const RefusedError& error) {
    this->SendRefusal(error, error.retry_after(), writer);
  }
}

void Gateway::CheckAccepting(std::string_view attempt_id) {
  if (!this->accept_until || runtime::BootNow() <= *this->accept_until)
    return;
  const RefusedError refusal(ResultCode::kStopping, kStoppingReason,
                             PlannedStop::kRetryAfter);
  this->LogRefused(refusal, attempt_id);
  throw refusal;
}

void Gateway::SendRefusal(const Error& error,
                          std::optional<Duration> retry_after,
                          runtime::ResponseWriter& writer) {
  runtime::HttpResponse response = runtime::RenderPlainError(error);
  // A refusal guarantees that the request has not run. The error's own status
  // need not convey that.
  response.status = 503;
  if (retry_after)
    this->platform.codec.AddRetryAfter(response.headers, *retry_after);
  writer.Send(std::move(response));
}

std::vector<runtime::HttpServer*> Gateway::RequestServers() const {
  std::vector<runtime::HttpServer*> servers = {this->caller_server.get()};
  if (this->handover_server)
    servers.push_back(&this->handover_server->server());
  return servers;
}

void Gateway::AwaitDrained(common::TimePoint limit) {
  const auto servers = this->RequestServers();
  const auto are_drained = [&] {
    return std::all_of(servers.begin(), servers.end(),
                       [](const auto* server) { return server->IsDrained(); });
  };
  while (!are_drained() && runtime::BootNow() < limit)
    runtime::SleepFor(kStopPoll);
}

void Gateway::Stop() {
  this->stopping = true;
  const auto began = runtime::BootNow();
  this->workers.Run([this, began] {
    const auto end = began + this->settings.stop_grace - kExitReserve;
    const auto answer_deadline = end - kFinalAnswerPeriod;
    // A short grace period leaves as much time to finish as to serve on.
    const auto serving_time =
        std::min(kReadinessDelay, (answer_deadline - began) / 2);
    this->accept_until = began + serving_time + kAcceptPeriod;
    this->planned_stop.Begin(answer_deadline);
    this->rollout_controller.Stop();
    LogLine(this->log, Event::kStopping)
        .Add(Field::kInFlight,
             static_cast<uint64_t>(this->caller_server->ActiveRequests()));
    runtime::SleepFor(serving_time);
    for (runtime::HttpServer* server : this->RequestServers())
      server->Drain();
    runtime::SleepFor(kAcceptPeriod);
    // The handler of requests from other hosts refuses them itself, in a way
    // that these hosts understand.
    this->caller_server->RefuseRequests(
        Error(ResultCode::kStopping, kStoppingReason));
    this->AwaitDrained(answer_deadline);
    this->planned_stop.EndUnanswered();
    this->AwaitDrained(end - kFinalAnswerPeriod / 2);
    // For requests that could not end at once because they connect to an
    // endpoint.
    for (runtime::HttpServer* server : this->RequestServers())
      server->EndUnanswered(
          Error(ResultCode::kDeadlineExceeded, kStoppingReason));
    this->AwaitDrained(end);
    this->planned_stop.LogCutOff();
    LogLine(this->log, Event::kStopped)
        .Add(Field::kInFlight,
             static_cast<uint64_t>(this->caller_server->ActiveRequests()))
        .Add(Field::kTookMs, runtime::BootNow() - began);
    this->log.Flush();
  });
}

}  // namespace jujuberock::gateway
