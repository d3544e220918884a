#include "core/gateway/rollout_controller.h"

#include <algorithm>
#include <utility>

#include "core/common/error.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {

namespace {

using catalog::ObjectKind;
using catalog::WriteState;
using common::Duration;
using common::TimePoint;
using dispatch::EndpointRecord;
using events::Event;
using events::Field;
using events::LogLine;
using rollout::LeaseRecord;

constexpr Duration kStepPeriod = std::chrono::milliseconds(50);
constexpr Duration kWritePeriod = std::chrono::milliseconds(200);
constexpr Duration kPollPeriod = std::chrono::milliseconds(120);
// Random delay, so that not all hosts try to acquire the lease at once.
constexpr Duration kMaxAcquireDelay = std::chrono::milliseconds(250);
constexpr Duration kAcquireRetryDelay = std::chrono::milliseconds(400);
// A reservation expires after this time unless the lease holder renews it.
constexpr Duration kReservationLifetime = std::chrono::milliseconds(1800);

std::shared_ptr<EndpointRecord> FindEndpoint(
    const std::vector<std::shared_ptr<EndpointRecord>>& endpoints,
    const std::string& id) {
  for (const auto& endpoint : endpoints) {
    if (endpoint->endpoint().id == id)
      return endpoint;
  }
  return nullptr;
}

}  // namespace

RolloutController::RolloutController(const Settings& settings,
                                     const PlatformView& view,
                                     Dispatcher& dispatcher,
                                     catalog::ObjectStore& store,
                                     EndpointControl& control,
                                     const HostRegistry& hosts,
                                     rollout::OrderHistory& own_orders,
                                     events::EventLog& log)
    : settings(settings),
      view(view),
      dispatcher(dispatcher),
      store(store),
      control(control),
      hosts(hosts),
      own_orders(own_orders),
      log(log),
      lease(settings.host_name, {settings.lease_time}) {}

void RolloutController::OnLeaseObject(const catalog::StoredObject& object) {
  this->CheckEra();
  const auto record = rollout::ParseLeaseRecord(object.content);
  if (!record)
    return;
  const bool held = this->lease.Holds(runtime::BootNow());
  this->lease.OnRecord(*record, object.revision, runtime::BootNow());
  this->lease_known = true;
  if (held && !this->lease.Holds(runtime::BootNow()))
    LogLine(this->log, Event::kHolderLost).Add(Field::kToken, record->token);
  this->ApplyReservations();
}

void RolloutController::ApplyReservations() {
  const LeaseRecord& record = this->lease.record();
  const TimePoint now = runtime::BootNow();
  const auto config = this->view.config();
  if (!config)
    return;
  for (const catalog::Service& service : config->config().services) {
    dispatch::ServicePool* pool = this->dispatcher.FindPool(service.name);
    if (!pool || !pool->is_engine())
      continue;
    const std::set<std::string> reserved(record.reserved.begin(),
                                         record.reserved.end());
    // The record is complete: what it does not list is not reserved any more.
    for (const auto& [id, endpoint] : pool->records()) {
      if (reserved.contains(id))
        endpoint->Reserve(record.model, record.version,
                          now + kReservationLifetime);
      else
        endpoint->ReleaseReservation();
    }
    for (const std::string& id : record.updated) {
      if (const auto endpoint = pool->Find(id))
        endpoint->SetVersion(record.model, record.version);
    }
  }
}

void RolloutController::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kStepPeriod);
    this->Step();
  }
  if (this->lease.Holds(runtime::BootNow()))
    this->Release();
}

void RolloutController::CheckEra() {
  const uint64_t era = this->store.era();
  if (era == this->lease.era())
    return;
  const TimePoint now = runtime::BootNow();
  const bool held = this->lease.Holds(now);
  this->lease.OnEra(era, now);
  this->lease_known = false;
  if (!held)
    return;
  this->next_acquire_at = now;
  LogLine(this->log, Event::kHolderLost)
      .Add(Field::kReason, "store_restored")
      .Add(Field::kStoreEra, era);
}

void RolloutController::Step() {
  this->CheckEra();
  const TimePoint now = runtime::BootNow();
  const auto pending = this->FindPendingRollout();
  if (!pending) {
    if (this->lease.Holds(now))
      this->Release();
    this->next_acquire_at = TimePoint();
    return;
  }
  if (this->lease.Holds(now)) {
    this->Advance(*pending);
    return;
  }
  if (this->next_acquire_at == TimePoint()) {
    const double share = this->dispatcher.random().NextDouble();
    this->next_acquire_at =
        now + common::FromSeconds(share * common::ToSeconds(kMaxAcquireDelay));
  }
  if (this->view.are_hosts_known() && this->hosts.HaveAllNoticedEra())
    this->lease.OnFormerHoldersStopped(this->hosts.LastPeerOrder(), now);
  if (now < this->next_acquire_at || !this->lease.MayAcquire(now))
    return;
  this->next_acquire_at = now + kAcquireRetryDelay;
  this->AcquireLease();
}

std::optional<RolloutController::PendingRollout>
RolloutController::FindPendingRollout() const {
  const auto config = this->view.config();
  if (!config)
    return std::nullopt;
  for (const auto& [model, requirements] : this->view.versions()) {
    PendingRollout pending{model, requirements.newest(), {}, 0};
    for (const catalog::Service& service : config->config().services) {
      dispatch::ServicePool* pool = this->dispatcher.FindPool(service.name);
      if (!pool || !pool->is_engine())
        continue;
      for (const auto& [id, endpoint] : pool->records()) {
        const uint64_t version = endpoint->VersionOf(model);
        if (version == 0 || endpoint->endpoint().leaving)
          continue;
        pending.endpoints.push_back(endpoint);
        if (version < requirements.newest())
          ++pending.outdated;
      }
    }
    if (pending.outdated > 0)
      return pending;
  }
  return std::nullopt;
}

void RolloutController::ReadLease() {
  try {
    const auto object = this->store.Read(ObjectKind::kHosts, kObjectName);
    this->CheckEra();
    this->lease_known = true;
    if (object)
      this->OnLeaseObject(*object);
    else
      this->lease.OnNoRecord(runtime::BootNow());
  } catch (const common::Error&) {
    // The store does not respond. Without it no host can acquire the lease.
    this->lease_known = false;
  }
}

void RolloutController::AcquireLease() {
  if (!this->lease_known)
    this->ReadLease();
  if (!this->lease_known || !this->lease.MayAcquire(runtime::BootNow()))
    return;
  const LeaseRecord previous = this->lease.record();
  const bool had_other_holder = this->lease.expected_revision() &&
                                previous.holder != this->settings.host_name;
  const TimePoint changed_at = this->lease.changed_at();
  if (!this->WriteRecord(this->lease.RecordToAcquire()))
    return;
  this->plans.clear();
  this->previously_reserved.clear();
  this->earliest_order = TimePoint();
  if (had_other_holder) {
    this->previously_reserved = previous.reserved;
    this->earliest_order = changed_at + this->settings.lease_time;
  }
  this->acquired_at = runtime::BootNow();
  LogLine(this->log, Event::kHolderGained)
      .Add(Field::kToken, this->lease.token());
}

bool RolloutController::WriteRecord(const LeaseRecord& record) {
  const TimePoint sent_at = runtime::BootNow();
  const std::string content = rollout::RenderLeaseRecord(record);
  const auto expected = this->lease.expected_revision();
  const catalog::WriteReply reply =
      expected ? this->store.Replace(ObjectKind::kHosts, kObjectName, *expected,
                                     content)
               : this->store.Create(ObjectKind::kHosts, kObjectName, content);
  std::optional<catalog::StoredObject> current = reply.current;
  if (reply.state == WriteState::kRefused)
    return false;
  // A revision of the former era may have been given out again, so the record
  // that was replaced may be another one.
  if (this->store.era() != this->lease.era()) {
    this->CheckEra();
    return false;
  }
  if (reply.state == WriteState::kMissing) {
    this->lease.OnNoRecord(runtime::BootNow());
    return false;
  }
  if (!current) {
    try {
      current = this->store.Read(ObjectKind::kHosts, kObjectName);
    } catch (const common::Error&) {
      // It is unknown whether the write took effect. The next write will show.
      return false;
    }
    if (this->store.era() != this->lease.era()) {
      this->CheckEra();
      return false;
    }
  }
  if (!current)
    return false;
  const auto in_force = rollout::ParseLeaseRecord(current->content);
  if (in_force && *in_force == record) {
    this->lease.OnWritten(record, current->revision, sent_at,
                          runtime::BootNow());
    return true;
  }
  this->OnLeaseObject(*current);
  return false;
}

void RolloutController::Release() {
  LeaseRecord record = this->lease.record();
  record.holder.clear();
  ++record.renewals;
  record.reserved.clear();
  if (this->WriteRecord(record))
    LogLine(this->log, Event::kHolderLost).Add(Field::kReason, "released");
  this->lease.OnLost();
  this->plans.clear();
}

rollout::RolloutPlan* RolloutController::FindPlan(const std::string& model) {
  const auto found = this->plans.find(model);
  return found == this->plans.end() ? nullptr : &found->second;
}

rollout::RolloutPlan& RolloutController::PlanFor(
    const PendingRollout& pending) {
  const auto [entry, is_new] =
      this->plans.try_emplace(pending.model, rollout::RolloutPlanOptions());
  auto& plan = entry->second;
  // Two holders never send orders to the same endpoint within one lease time.
  // What the previous holder ordered after its last write it had reserved
  // there; what it ordered before is no longer in the record.
  if (is_new) {
    plan.Defer(this->previously_reserved,
               this->acquired_at + this->settings.lease_time);
    plan.DeferAll(this->earliest_order);
  }
  plan.SetTarget(pending.version);
  return plan;
}

void RolloutController::Advance(const PendingRollout& pending) {
  const TimePoint now = runtime::BootNow();
  std::vector<rollout::PlannedEndpoint> endpoints;
  for (const auto& endpoint : pending.endpoints) {
    endpoints.push_back({endpoint->endpoint().id,
                         endpoint->VersionOf(pending.model),
                         endpoint->own_in_flight() + endpoint->PeerRuns(now)});
  }
  // Changes of reservations are rate-limited, because all hosts read every
  // write.
  bool changed = false;
  if (now - this->reserved_at >= kWritePeriod)
    changed = this->PlanFor(pending).Reserve(endpoints, now);
  if (changed)
    this->reserved_at = now;
  if (changed || this->lease.MustRenew(now))
    this->UpdateRecord(pending, changed);
  if (!this->lease.Holds(runtime::BootNow()))
    return;
  this->SendOrders(pending);
  if (now - this->polled_at >= kPollPeriod) {
    this->polled_at = now;
    this->PollOrdered(pending);
  }
}

void RolloutController::UpdateRecord(const PendingRollout& pending,
                                     bool reservations_changed) {
  LeaseRecord record = this->lease.record();
  record.holder = this->settings.host_name;
  ++record.renewals;
  record.ordered = true;
  record.model = pending.model;
  record.version = pending.version;
  record.reserved = this->PlanFor(pending).Reserved();
  record.updated.clear();
  for (const auto& endpoint : pending.endpoints) {
    if (endpoint->VersionOf(pending.model) >= pending.version)
      record.updated.push_back(endpoint->endpoint().id);
  }
  const bool is_stored = this->WriteRecord(record);
  // Releasing the lease in the meantime deletes the plans.
  rollout::RolloutPlan* plan = this->FindPlan(pending.model);
  if (is_stored && plan)
    plan->OnStored(record.reserved, runtime::BootNow());
  if (is_stored || reservations_changed)
    this->ApplyReservations();
}

void RolloutController::SendOrders(const PendingRollout& pending) {
  for (const std::string& id : this->PlanFor(pending).Due(runtime::BootNow())) {
    auto endpoint = FindEndpoint(pending.endpoints, id);
    if (!endpoint || runtime::BootNow() < endpoint->backoff_until ||
        !this->calls_in_progress.insert(id).second)
      continue;
    runtime::SpawnLocal([this, model = pending.model, version = pending.version,
                         endpoint = std::move(endpoint)] {
      const std::string id = endpoint->endpoint().id;
      this->SendOrderTo(model, version, endpoint);
      this->calls_in_progress.erase(id);
    });
  }
}

bool RolloutController::OnReport(const std::string& model,
                                 EndpointRecord& endpoint,
                                 const EngineReport& report) {
  for (const catalog::ModelVersion& entry : report.models)
    endpoint.SetVersion(entry.model, entry.version);
  rollout::RolloutPlan* plan = this->FindPlan(model);
  if (!plan)
    return false;
  const std::string& id = endpoint.endpoint().id;
  if (endpoint.VersionOf(model) < plan->target()) {
    plan->OnReport(id, report.busy, runtime::BootNow());
    return !report.busy;
  }
  plan->OnUpdated(id, runtime::BootNow());
  LogLine(this->log, Event::kWeightsInForce)
      .Add(Field::kEndpoint, id)
      .Add(Field::kVersion, endpoint.VersionOf(model))
      .Add(Field::kInFlight, endpoint.own_in_flight());
  return false;
}

bool RolloutController::MayOrder(const EndpointRecord& endpoint) {
  this->CheckEra();
  const TimePoint now = runtime::BootNow();
  return this->lease.Holds(now) && now >= endpoint.backoff_until;
}

void RolloutController::SendOrderTo(const std::string& model,
                                    uint64_t version,
                                    std::shared_ptr<EndpointRecord> endpoint) {
  const std::string id = endpoint->endpoint().id;
  const auto report = this->control.Report(endpoint->endpoint());
  // The plan is looked up again after each call, because releasing the lease in
  // the meantime deletes the plans.
  rollout::RolloutPlan* plan = this->FindPlan(model);
  if (!plan)
    return;
  if (!report) {
    plan->OnOrderFailed(id, runtime::BootNow());
    return;
  }
  if (!this->OnReport(model, *endpoint, *report) || plan->target() != version)
    return;
  if (!this->MayOrder(*endpoint))
    return;
  VersionOrder order{model, version, this->settings.host_name,
                     this->lease.token(), report->sequence};
  const OrderReply reply =
      this->control.Order(endpoint->endpoint(), order, [this, &endpoint] {
        if (!this->MayOrder(*endpoint))
          return false;
        this->own_orders.last_order_at = runtime::BootNow();
        return true;
      });
  if (reply == OrderReply::kNotSent)
    return;
  LogLine(this->log, Event::kWeightsOrdered)
      .Add(Field::kEndpoint, id)
      .Add(Field::kModel, model)
      .Add(Field::kVersion, version)
      .Add(Field::kToken, order.token)
      .Add(Field::kInFlight, endpoint->own_in_flight())
      .Add(Field::kStatus, static_cast<int>(reply));
  plan = this->FindPlan(model);
  if (!plan)
    return;
  switch (reply) {
    case OrderReply::kAccepted:
      plan->OnOrdered(id, runtime::BootNow());
      return;
    case OrderReply::kUnknown:
      plan->OnOrderUnanswered(id, runtime::BootNow());
      return;
    case OrderReply::kInForce:
      endpoint->SetVersion(model, version);
      if (plan->target() == version)
        plan->OnUpdated(id, runtime::BootNow());
      return;
    case OrderReply::kNotSent:
      return;
    case OrderReply::kRefused:
    case OrderReply::kStale:
      plan->OnOrderFailed(id, runtime::BootNow());
      return;
  }
}

void RolloutController::PollOrdered(const PendingRollout& pending) {
  for (const std::string& id : this->PlanFor(pending).Ordered()) {
    auto endpoint = FindEndpoint(pending.endpoints, id);
    if (!endpoint || runtime::BootNow() < endpoint->backoff_until ||
        !this->calls_in_progress.insert(id).second)
      continue;
    runtime::SpawnLocal(
        [this, model = pending.model, endpoint = std::move(endpoint)] {
          const std::string id = endpoint->endpoint().id;
          const auto report = this->control.Report(endpoint->endpoint());
          this->calls_in_progress.erase(id);
          if (report)
            this->OnReport(model, *endpoint, *report);
        });
  }
}

}  // namespace jujuberock::gateway
