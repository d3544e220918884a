#include "core/gateway/rollout_duty.h"

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
using events::Line;
using rollout::LeaseRecord;

constexpr Duration kStepPeriod = std::chrono::milliseconds(50);
constexpr Duration kWritePeriod = std::chrono::milliseconds(200);
constexpr Duration kPollPeriod = std::chrono::milliseconds(120);
// Hosts do not all try at once.
constexpr Duration kMostTakeDelay = std::chrono::milliseconds(250);
constexpr Duration kTakePause = std::chrono::milliseconds(400);
// A reservation that its holder does not renew ends by itself.
constexpr Duration kReservationTime = std::chrono::milliseconds(1800);

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

RolloutDuty::RolloutDuty(const Settings& settings,
                         const ViewKeeper& view,
                         Dispatcher& dispatcher,
                         catalog::ObjectStore& store,
                         EndpointControl& control,
                         events::EventLog& log)
    : settings(settings),
      view(view),
      dispatcher(dispatcher),
      store(store),
      control(control),
      log(log),
      lease(settings.host_name, {settings.lease_time}) {}

void RolloutDuty::OnLeaseObject(const catalog::StoredObject& object) {
  const auto record = rollout::ParseLeaseRecord(object.content);
  if (!record)
    return;
  const bool held = this->lease.Holds(runtime::BootNow());
  this->lease.OnRecord(*record, object.revision, runtime::BootNow());
  this->lease_known = true;
  if (held && !this->lease.Holds(runtime::BootNow()))
    Line(this->log, Event::kHolderLost).Add(Field::kToken, record->token);
  this->ApplyReservations();
}

void RolloutDuty::ApplyReservations() {
  const LeaseRecord& record = this->lease.record();
  const TimePoint now = runtime::BootNow();
  const auto config = this->view.config();
  if (!config)
    return;
  for (const catalog::Service& service : config->config().services) {
    dispatch::ServicePool* pool = this->dispatcher.PoolOf(service.name);
    if (!pool || !pool->is_engine())
      continue;
    for (const std::string& id : record.reserved) {
      if (const auto endpoint = pool->Find(id))
        endpoint->reserved_until = now + kReservationTime;
    }
    for (const std::string& id : record.upcoming) {
      if (const auto endpoint = pool->Find(id))
        endpoint->short_runs_until = now + kReservationTime;
    }
    for (const std::string& id : record.updated) {
      const auto endpoint = pool->Find(id);
      if (!endpoint || endpoint->VersionOf(record.model) >= record.version)
        continue;
      endpoint->SetVersion(record.model, record.version);
      endpoint->reserved_until = now;
      endpoint->short_runs_until = now;
    }
  }
}

void RolloutDuty::Run() {
  while (!this->stopping) {
    runtime::SleepFor(kStepPeriod);
    this->Step();
  }
  if (this->lease.Holds(runtime::BootNow()))
    this->Release();
}

void RolloutDuty::Step() {
  const TimePoint now = runtime::BootNow();
  const auto work = this->FindWork();
  if (!work) {
    if (this->lease.Holds(now))
      this->Release();
    this->next_take = TimePoint();
    return;
  }
  if (this->lease.Holds(now)) {
    this->Advance(*work);
    return;
  }
  if (this->next_take == TimePoint()) {
    const double share = this->dispatcher.random().Unit();
    this->next_take =
        now + common::FromSeconds(share * common::ToSeconds(kMostTakeDelay));
  }
  if (now < this->next_take || !this->lease.MayTake(now))
    return;
  this->next_take = now + kTakePause;
  this->TakeLease();
}

std::optional<RolloutDuty::Work> RolloutDuty::FindWork() const {
  const auto config = this->view.config();
  if (!config)
    return std::nullopt;
  for (const auto& [model, named] : this->view.versions()) {
    Work work{model, named.newest(), {}, 0};
    for (const catalog::Service& service : config->config().services) {
      dispatch::ServicePool* pool = this->dispatcher.PoolOf(service.name);
      if (!pool || !pool->is_engine())
        continue;
      for (const auto& [id, endpoint] : pool->records()) {
        const uint64_t version = endpoint->VersionOf(model);
        if (version == 0 || endpoint->endpoint().leaving)
          continue;
        work.endpoints.push_back(endpoint);
        if (version < named.newest())
          ++work.outdated;
      }
    }
    if (work.outdated > 0)
      return work;
  }
  return std::nullopt;
}

void RolloutDuty::ReadLease() {
  try {
    const auto object = this->store.Read(ObjectKind::kHosts, kObjectName);
    this->lease_known = true;
    if (object)
      this->OnLeaseObject(*object);
    else
      this->lease.OnNoRecord(runtime::BootNow());
  } catch (const common::Error&) {
    // The store does not answer; without it nobody can hold the lease.
    this->lease_known = false;
  }
}

void RolloutDuty::TakeLease() {
  if (!this->lease_known)
    this->ReadLease();
  if (!this->lease_known || !this->lease.MayTake(runtime::BootNow()))
    return;
  const LeaseRecord former = this->lease.record();
  if (!this->WriteRecord(this->lease.Taking()))
    return;
  this->plans.clear();
  this->former_reserved.clear();
  if (former.holder != this->settings.host_name)
    this->former_reserved = former.reserved;
  this->taken_at = runtime::BootNow();
  Line(this->log, Event::kHolderGained).Add(Field::kToken, this->lease.token());
}

bool RolloutDuty::WriteRecord(const LeaseRecord& record) {
  const TimePoint sent_at = runtime::BootNow();
  this->written_at = sent_at;
  const std::string content = rollout::RenderLeaseRecord(record);
  const auto expected = this->lease.expected_revision();
  const catalog::WriteReply reply =
      expected ? this->store.Replace(ObjectKind::kHosts, kObjectName, *expected,
                                     content)
               : this->store.Create(ObjectKind::kHosts, kObjectName, content);
  std::optional<catalog::StoredObject> current = reply.current;
  if (reply.state == WriteState::kRefused)
    return false;
  if (!current) {
    try {
      current = this->store.Read(ObjectKind::kHosts, kObjectName);
    } catch (const common::Error&) {
      // Unknown whether it took effect; the next write finds out.
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

void RolloutDuty::Release() {
  LeaseRecord record = this->lease.record();
  record.holder.clear();
  ++record.renewals;
  record.reserved.clear();
  if (this->WriteRecord(record))
    Line(this->log, Event::kHolderLost).Add(Field::kReason, "released");
  this->lease.OnLost();
  this->plans.clear();
}

rollout::RolloutPlan* RolloutDuty::FindPlan(const std::string& model) {
  const auto found = this->plans.find(model);
  return found == this->plans.end() ? nullptr : &found->second;
}

rollout::RolloutPlan& RolloutDuty::PlanOf(const Work& work) {
  const auto [entry, is_new] =
      this->plans.try_emplace(work.model, rollout::RolloutPlanOptions());
  auto& plan = entry->second;
  // Two holders must not give orders to one endpoint within a lease.
  if (is_new)
    plan.Defer(this->former_reserved,
               this->taken_at + this->settings.lease_time);
  plan.SetTarget(work.version);
  return plan;
}

void RolloutDuty::Advance(const Work& work) {
  std::vector<rollout::PlannedEndpoint> endpoints;
  for (const auto& endpoint : work.endpoints) {
    endpoints.push_back({endpoint->endpoint().id,
                         endpoint->VersionOf(work.model),
                         endpoint->own_in_flight()});
  }
  const TimePoint now = runtime::BootNow();
  // Changes of the reservations wait for each other: all hosts read each write.
  bool changed = false;
  if (now - this->written_at >= kWritePeriod)
    changed = this->PlanOf(work).Reserve(endpoints, now);
  if (changed || this->lease.MustRenew(now))
    this->UpdateRecord(work, changed);
  if (!this->lease.Holds(runtime::BootNow()))
    return;
  this->GiveOrders(work);
  if (now - this->polled_at >= kPollPeriod) {
    this->polled_at = now;
    this->PollOrdered(work);
  }
}

void RolloutDuty::UpdateRecord(const Work& work, bool reservations_changed) {
  LeaseRecord record = this->lease.record();
  record.holder = this->settings.host_name;
  ++record.renewals;
  record.ordered = true;
  record.model = work.model;
  record.version = work.version;
  record.reserved = this->PlanOf(work).Reserved();
  record.upcoming = this->PlanOf(work).Upcoming();
  record.updated.clear();
  for (const auto& endpoint : work.endpoints) {
    if (endpoint->VersionOf(work.model) >= work.version)
      record.updated.push_back(endpoint->endpoint().id);
  }
  if (this->WriteRecord(record) || reservations_changed)
    this->ApplyReservations();
}

void RolloutDuty::GiveOrders(const Work& work) {
  for (const std::string& id : this->PlanOf(work).Due(runtime::BootNow())) {
    auto endpoint = FindEndpoint(work.endpoints, id);
    if (!endpoint || !this->calling.insert(id).second)
      continue;
    runtime::SpawnHere([this, model = work.model, version = work.version,
                        endpoint = std::move(endpoint)] {
      const std::string id = endpoint->endpoint().id;
      this->GiveOrder(model, version, endpoint);
      this->calling.erase(id);
    });
  }
}

void RolloutDuty::GiveOrder(const std::string& model,
                            uint64_t version,
                            std::shared_ptr<EndpointRecord> endpoint) {
  const std::string id = endpoint->endpoint().id;
  const auto report = this->control.Report(endpoint->endpoint());
  // Looked up after each call: the lease may be released meanwhile, and the
  // plans with it.
  rollout::RolloutPlan* plan = this->FindPlan(model);
  if (!plan)
    return;
  if (!report || report->busy) {
    plan->OnOrderFailed(id, runtime::BootNow());
    return;
  }
  // Checked last: the report took time, and this host may have been suspended.
  if (!this->lease.Holds(runtime::BootNow()))
    return;
  VersionOrder order{model, version, this->settings.host_name,
                     this->lease.token(), report->sequence};
  const OrderReply reply = this->control.Order(endpoint->endpoint(), order);
  Line(this->log, Event::kWeightsOrdered)
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
    case OrderReply::kUnknown:
      plan->OnOrdered(id, runtime::BootNow());
      return;
    case OrderReply::kInForce:
      endpoint->SetVersion(model, version);
      plan->OnUpdated(id);
      return;
    case OrderReply::kRefused:
    case OrderReply::kStale:
      plan->OnOrderFailed(id, runtime::BootNow());
      return;
  }
}

void RolloutDuty::PollOrdered(const Work& work) {
  for (const std::string& id : this->PlanOf(work).Ordered()) {
    auto endpoint = FindEndpoint(work.endpoints, id);
    if (!endpoint || !this->calling.insert(id).second)
      continue;
    runtime::SpawnHere(
        [this, model = work.model, endpoint = std::move(endpoint)] {
          const std::string id = endpoint->endpoint().id;
          const auto report = this->control.Report(endpoint->endpoint());
          this->calling.erase(id);
          if (!report)
            return;
          for (const catalog::ModelVersion& entry : report->models)
            endpoint->SetVersion(entry.model, entry.version);
          const auto plan = this->plans.find(model);
          if (plan == this->plans.end() ||
              endpoint->VersionOf(model) < plan->second.target())
            return;
          plan->second.OnUpdated(id);
          Line(this->log, Event::kWeightsInForce)
              .Add(Field::kEndpoint, id)
              .Add(Field::kVersion, endpoint->VersionOf(model))
              .Add(Field::kInFlight, endpoint->own_in_flight());
          endpoint->reserved_until = runtime::BootNow();
          endpoint->short_runs_until = runtime::BootNow();
        });
  }
}

}  // namespace jujuberock::gateway
