#include "core/gateway/gateway.h"

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
using events::Line;

// The balancer asks every second and takes a host out after two misses.
constexpr Duration kStillServing = std::chrono::milliseconds(2400);
// A request that comes later may not end within the grace, so it is refused
// while that is still true to say.
constexpr Duration kTakesUntil = std::chrono::milliseconds(2700);
constexpr Duration kStoppingRetryAfter = std::chrono::milliseconds(100);
// Left of the grace for the process to end by itself.
constexpr Duration kExitReserve = std::chrono::milliseconds(400);
constexpr Duration kStopPoll = std::chrono::milliseconds(20);

runtime::HttpServerOptions OptionsFor(const catalog::CallerLimits& limits) {
  runtime::HttpServerOptions options;
  options.header_limit_bytes = limits.header_bytes;
  options.body_limit_bytes = limits.body_bytes;
  options.header_timeout = limits.header_timeout;
  options.idle_timeout = limits.idle_timeout;
  return options;
}

}  // namespace

Gateway::Gateway(Settings settings,
                 runtime::WorkerPool& workers,
                 PlatformPeers peers,
                 events::EventLog& log,
                 common::CounterRegistry& counters)
    : settings(std::move(settings)),
      workers(workers),
      peers(peers),
      log(log),
      counters(counters),
      connections({}, counters),
      view(this->settings, peers.store, peers.decoder, log),
      dispatcher(this->settings, this->view, this->connections, log, counters),
      store_watch(peers.control, this->store_book, log),
      rollout(this->settings,
              this->view,
              this->dispatcher,
              peers.store,
              peers.control,
              log),
      hosts(this->settings, this->dispatcher, this->store_watch, peers.store),
      cleaner(this->view,
              this->dispatcher,
              this->hosts,
              this->store_book,
              peers.control,
              log),
      parts{this->settings,
            this->view,
            this->dispatcher,
            this->store_book,
            this->connections,
            peers.codec,
            log,
            counters.GetCounter("requests_answered_total"),
            counters.GetCounter("requests_refused_total"),
            counters.GetCounter("requests_failed_total"),
            counters.GetHistogram("request_first_byte_seconds"),
            counters.GetHistogram("request_seconds"),
            nullptr} {
  this->view.OnChange([this] { this->OnViewChange(); });
  this->view.OnHostObject(
      [this](const auto& change) { this->OnHostObject(change); });
  const auto address = [](const std::string& text) {
    return *runtime::Address::Parse(text);
  };
  this->caller_server = std::make_unique<runtime::HttpServer>(
      workers, address(this->settings.caller_address),
      OptionsFor(catalog::CallerLimits()),
      [this](const auto& request, auto& writer) {
        this->Serve(request, writer);
      },
      runtime::RenderPlainError);
  this->ready_server = std::make_unique<runtime::HttpServer>(
      workers, address(this->settings.ready_address),
      runtime::HttpServerOptions(),
      [this](const auto&, auto& writer) { this->ServeReadiness(writer); },
      runtime::RenderPlainError);
  if (this->settings.peer_port != 0)
    this->StartPeerLoads();
  if (this->settings.metrics_port != 0) {
    runtime::Address metrics = address(this->settings.caller_address);
    metrics.port = static_cast<uint16_t>(this->settings.metrics_port);
    this->metrics_server = std::make_unique<runtime::HttpServer>(
        workers, metrics, runtime::HttpServerOptions(),
        [this](const auto&, auto& writer) {
          runtime::HttpResponse response;
          response.headers.Add("Content-Type", "text/plain; version=0.0.4");
          response.body = this->counters.RenderPrometheus();
          writer.Send(std::move(response));
        },
        runtime::RenderPlainError);
  }
  workers.Spawn(0, [this] {
    Line(this->log, Event::kStarted).Add(Field::kDetail, "serving");
    this->view.Start();
    runtime::SpawnHere([this] { this->rollout.Run(); });
    runtime::SpawnHere([this] { this->hosts.Run(); });
    runtime::SpawnHere([this] { this->cleaner.Run(); });
    while (!this->stopping || this->caller_server) {
      runtime::SleepFor(Dispatcher::kCheckPeriod);
      this->Tick();
    }
  });
}

void Gateway::StartPeerLoads() {
  runtime::Address address =
      *runtime::Address::Parse(this->settings.caller_address);
  address.port = static_cast<uint16_t>(this->settings.peer_port);
  this->peer_loads = std::make_unique<PeerLoads>(
      this->dispatcher, this->store_book, this->workers.IoOf(0), address,
      this->counters);
  this->hosts.OnPeers([this](std::vector<runtime::Address> peers) {
    this->peer_loads->SetPeers(std::move(peers));
  });
  this->dispatcher.OnLost(
      [this](const std::string& id) { this->peer_loads->OnLost(id); });
  this->parts.peer_loads = this->peer_loads.get();
  this->workers.Spawn(0, [this] { this->peer_loads->Start(); });
}

Gateway::~Gateway() {
  this->view.Stop();
  this->store_watch.Stop();
  this->rollout.Stop();
  this->hosts.Stop();
  this->cleaner.Stop();
}

void Gateway::Reload(const Settings& changed) {
  const auto level = events::kLevelNames.ValueOf(changed.log_level);
  if (level)
    this->log.SetLevel(*level);
  Line(this->log, Event::kReloaded).Add(Field::kDetail, changed.log_level);
}

void Gateway::OnViewChange() {
  this->dispatcher.Refresh();
  const auto config = this->view.config();
  if (!config)
    return;
  this->caller_server->SetOptions(OptionsFor(config->config().limits));
  this->store_watch.Refresh(*config);
}

void Gateway::OnHostObject(const catalog::ObjectChange& change) {
  if (change.object.name == RolloutDuty::kObjectName) {
    if (!change.deleted)
      this->rollout.OnLeaseObject(change.object);
    return;
  }
  this->hosts.OnObject(change);
}

void Gateway::Tick() {
  const common::TimePoint now = runtime::BootNow();
  this->view.Expire(now);
  this->dispatcher.CheckSilence();
  this->connections.Expire(now);
  this->NoteViewAge(now);
  this->log.Flush();
}

void Gateway::NoteViewAge(common::TimePoint now) {
  const bool fresh = this->view.age().IsFresh(now);
  if (fresh == this->was_fresh)
    return;
  this->was_fresh = fresh;
  const auto age = this->view.age().AgeAt(now);
  Line(this->log, fresh ? Event::kViewRenewed : Event::kViewStale)
      .Add(Field::kViewAgeMs, age.value_or(Duration(0)));
}

void Gateway::ServeReadiness(runtime::ResponseWriter& writer) {
  const bool ready = !this->stopping && this->view.IsComplete() &&
                     this->view.age().IsFresh(runtime::BootNow());
  runtime::HttpResponse response;
  response.status = ready ? 200 : 503;
  writer.Send(std::move(response));
}

void Gateway::Serve(const runtime::HttpRequest& request,
                    runtime::ResponseWriter& writer) {
  const auto stop_began = this->stop_began;
  try {
    if (stop_began && runtime::BootNow() - *stop_began > kTakesUntil)
      throw RefusedError(ResultCode::kStopping, "the host is stopping",
                         kStoppingRetryAfter);
    RequestTask task(this->parts, this->peers.codec.DecodeRequest(request),
                     writer);
    task.Run();
  } catch (const RefusedError& error) {
    this->SendRefusal(error, error.retry_after(), writer);
  }
}

void Gateway::SendRefusal(const Error& error,
                          std::optional<Duration> retry_after,
                          runtime::ResponseWriter& writer) {
  runtime::HttpResponse response = runtime::RenderPlainError(error);
  // Refusals promise that the request has not run, which only these statuses
  // say.
  response.status = 503;
  if (retry_after)
    this->peers.codec.AddRetryAfter(response.headers, *retry_after);
  writer.Send(std::move(response));
}

void Gateway::Stop() {
  this->stopping = true;
  const auto began = runtime::BootNow();
  this->workers.Run([this, began] {
    this->stop_began = began;
    this->rollout.Stop();
    Line(this->log, Event::kStopping)
        .Add(Field::kInFlight,
             static_cast<uint64_t>(this->caller_server->ActiveRequests()));
    runtime::SleepFor(kStillServing);
    this->caller_server->Drain();
    const auto limit = this->settings.stop_grace - kExitReserve;
    while (!this->caller_server->IsDrained() &&
           runtime::BootNow() - began < limit)
      runtime::SleepFor(kStopPoll);
    Line(this->log, Event::kStopped)
        .Add(Field::kInFlight,
             static_cast<uint64_t>(this->caller_server->ActiveRequests()))
        .Add(Field::kTookMs, runtime::BootNow() - began);
    this->log.Flush();
  });
}

}  // namespace jujuberock::gateway
