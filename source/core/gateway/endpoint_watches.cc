#include "core/gateway/endpoint_watches.h"

#include <algorithm>
#include <utility>

#include "core/forward/connection_watch.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using dispatch::EndpointRecord;
using events::Event;
using events::Field;
using events::LogLine;

// A registration without heartbeats is removed after three intervals. One more
// lets the removal arrive.
constexpr int kRegistrationIntervals = 4;

}  // namespace

// Records what becomes of the connections to one endpoint.
class EndpointWatches::Watch final : private forward::ConnectionObserver {
 public:
  Watch(EndpointWatches& owner, std::shared_ptr<EndpointRecord> endpoint)
      : owner(&owner),
        record(std::move(endpoint)),
        connection(owner.connections, this->record->endpoint().address, *this) {
  }

  void Run() { this->connection.Run(); }
  void Stop() {
    this->record->process().OnUnwatched();
    this->owner = nullptr;
    this->connection.Stop();
  }
  // The registration is the one that the store had at that time.
  void OnRegistrationRead(const PlatformView::EndpointsAge& age, Duration lag) {
    this->Change("registration", [&](dispatch::ProcessContinuity& process) {
      process.OnRegistrationRead(age.read_at, age.answering_since, lag);
    });
  }
  bool IsNeeded() const {
    return !this->record->removed || this->record->own_in_flight() > 0;
  }

 private:
  void OnConnected() override {
    if (this->owner)
      this->owner->dispatcher.OnWatched(*this->record, true);
    this->Change("connected", [](dispatch::ProcessContinuity& process) {
      process.OnConnected(runtime::BootNow());
    });
  }
  void OnClosed() override {
    const common::TimePoint now = runtime::BootNow();
    const common::TimePoint earliest =
        this->owner ? this->owner->dispatcher.EarliestArrival(now) : now;
    this->Change("closed", [&](dispatch::ProcessContinuity& process) {
      process.OnClosed(earliest, now);
    });
  }
  void OnSilent() override {
    this->Change("silent", [](dispatch::ProcessContinuity& process) {
      process.OnSilent(runtime::BootNow());
    });
  }
  void OnConnectFailed() override {
    if (this->owner)
      this->owner->dispatcher.OnWatched(*this->record, false);
    this->Change("connect_failed", [](dispatch::ProcessContinuity& process) {
      process.OnConnectFailed(runtime::BootNow());
    });
  }
  void OnUnwatched() override {
    this->Change("unwatched", [](dispatch::ProcessContinuity& process) {
      process.OnUnwatched();
    });
  }

  template <typename Function>
  void Change(const char* reason, Function change) {
    if (!this->owner)
      return;
    const bool was_certain = this->record->process().IsCertain();
    change(this->record->process());
    if (this->record->process().IsCertain() != was_certain)
      this->owner->LogCertainty(*this->record, reason);
  }

  // Null once stopped.
  EndpointWatches* owner;
  std::shared_ptr<EndpointRecord> record;
  forward::ConnectionWatch connection;
};

EndpointWatches::EndpointWatches(const Settings& settings,
                                 const PlatformView& view,
                                 Dispatcher& dispatcher,
                                 forward::ConnectionPool& connections,
                                 events::EventLog& log,
                                 common::MetricRegistry& counters)
    : settings(settings),
      view(view),
      dispatcher(dispatcher),
      connections(connections),
      log(log),
      uncertain(counters.GetCounter("endpoints_uncertain_total")) {}

EndpointWatches::~EndpointWatches() {
  this->Stop();
}

void EndpointWatches::Refresh() {
  this->dispatcher.ForEachEndpoint([this](const auto& endpoint) {
    if (!this->watches.contains(endpoint.get()))
      this->Start(endpoint);
  });
}

void EndpointWatches::Start(const std::shared_ptr<EndpointRecord>& endpoint) {
  auto watch = std::make_shared<Watch>(*this, endpoint);
  this->watches.emplace(endpoint.get(), watch);
  runtime::SpawnLocal([watch] { watch->Run(); });
}

void EndpointWatches::Tick() {
  const auto age = this->view.endpoints_age();
  const Duration lag =
      std::max(this->settings.registration_lag,
               kRegistrationIntervals * this->settings.endpoint_heartbeat);
  for (auto it = this->watches.begin(); it != this->watches.end();) {
    if (!it->second->IsNeeded()) {
      it->second->Stop();
      it = this->watches.erase(it);
      continue;
    }
    if (age)
      it->second->OnRegistrationRead(*age, lag);
    ++it;
  }
}

void EndpointWatches::Stop() {
  for (const auto& [endpoint, watch] : this->watches)
    watch->Stop();
  this->watches.clear();
}

void EndpointWatches::LogCertainty(const EndpointRecord& endpoint,
                                   const char* reason) {
  const bool is_certain = endpoint.process().IsCertain();
  if (!is_certain)
    this->uncertain.Add();
  LogLine(this->log,
          is_certain ? Event::kEndpointCertain : Event::kEndpointUncertain)
      .Add(Field::kEndpoint, endpoint.endpoint().id)
      .Add(Field::kReason, reason)
      .Add(Field::kSoftware, endpoint.endpoint().software)
      .Add(Field::kStartedAtMs, endpoint.endpoint().started_at_ms);
}

}  // namespace jujuberock::gateway
