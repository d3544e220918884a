#ifndef CORE_GATEWAY_ROLLOUT_CONTROLLER_H_
#define CORE_GATEWAY_ROLLOUT_CONTROLLER_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/events/event_log.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/host_registry.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/settings.h"
#include "core/rollout/lease_record.h"
#include "core/rollout/order_history.h"
#include "core/rollout/order_lease.h"
#include "core/rollout/rollout_plan.h"

namespace jujuberock::gateway {

// Updates engines to the weight versions that the operator names. Only the host
// that holds the order lease sends orders; its lease record tells the other
// hosts which engines are being updated.
class RolloutController {
 public:
  RolloutController(const Settings& settings,
                    const PlatformView& view,
                    Dispatcher& dispatcher,
                    catalog::ObjectStore& store,
                    EndpointControl& control,
                    const HostRegistry& hosts,
                    rollout::OrderHistory& own_orders,
                    events::EventLog& log);

  // Name of the lease object, of kind ObjectKind::kHosts.
  static constexpr std::string_view kObjectName = "order-lease";

  // Called when any host has written the lease object.
  void OnLeaseObject(const catalog::StoredObject& object);
  // Runs until Stop(); call on a fiber of its own.
  void Run();
  void Stop() { this->stopping = true; }

 private:
  // A model with endpoints that are not yet at the announced version.
  struct PendingRollout {
    std::string model;
    uint64_t version = 0;
    // Endpoints that serve the model.
    std::vector<std::shared_ptr<dispatch::EndpointRecord>> endpoints;
    size_t outdated = 0;
  };

  void Step();
  // Returns the first model whose endpoints are not all at the announced
  // version.
  std::optional<PendingRollout> FindPendingRollout() const;
  void AcquireLease();
  void Release();
  // Replaces the last record that this host knows. Returns whether the write
  // took effect.
  bool WriteRecord(const rollout::LeaseRecord& record);
  void ReadLease();
  // Drops what is known of the lease if the store came back from a copy.
  void CheckEra();
  void Advance(const PendingRollout& pending);
  void UpdateRecord(const PendingRollout& pending, bool reservations_changed);
  void SendOrders(const PendingRollout& pending);
  // Checked immediately before an order is sent: its connection and the report
  // before it take time, and this host may have been suspended.
  bool MayOrder(const dispatch::EndpointRecord& endpoint);
  void SendOrderTo(const std::string& model,
                   uint64_t version,
                   std::shared_ptr<dispatch::EndpointRecord> endpoint);
  // Applies an engine's report. Returns whether the engine needs an order and
  // can execute it now.
  bool OnReport(const std::string& model,
                dispatch::EndpointRecord& endpoint,
                const EngineReport& report);
  void PollOrdered(const PendingRollout& pending);
  void ApplyReservations();
  rollout::RolloutPlan& PlanFor(const PendingRollout& pending);
  // Returns null if this host has no plan for the model. The pointer must not
  // be kept across a call that suspends the fiber.
  rollout::RolloutPlan* FindPlan(const std::string& model);

  const Settings& settings;
  const PlatformView& view;
  Dispatcher& dispatcher;
  catalog::ObjectStore& store;
  EndpointControl& control;
  const HostRegistry& hosts;
  rollout::OrderHistory& own_orders;
  events::EventLog& log;
  rollout::OrderLease lease;
  std::map<std::string, rollout::RolloutPlan> plans;
  // Endpoints with a control call in progress.
  std::set<std::string> calls_in_progress;
  common::TimePoint polled_at;
  // When the reservations changed last.
  common::TimePoint reserved_at;
  common::TimePoint next_acquire_at;
  common::TimePoint acquired_at;
  // Endpoints that the previous holder had reserved when it lost the lease.
  std::vector<std::string> previously_reserved;
  // What other holders ordered before the last write is a lease time old then.
  common::TimePoint earliest_order;
  bool lease_known = false;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ROLLOUT_CONTROLLER_H_
