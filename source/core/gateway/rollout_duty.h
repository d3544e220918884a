#ifndef CORE_GATEWAY_ROLLOUT_DUTY_H_
#define CORE_GATEWAY_ROLLOUT_DUTY_H_

#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/object_store.h"
#include "core/events/event_log.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/endpoint_control.h"
#include "core/gateway/settings.h"
#include "core/gateway/view_keeper.h"
#include "core/rollout/lease_record.h"
#include "core/rollout/order_lease.h"
#include "core/rollout/rollout_plan.h"

namespace jujuberock::gateway {

// Brings engines to the versions that the operator names, on the one host that
// holds the lease of the orders, and tells the other hosts which engines are
// changing.
class RolloutDuty {
 public:
  RolloutDuty(const Settings& settings,
              const ViewKeeper& view,
              Dispatcher& dispatcher,
              catalog::ObjectStore& store,
              EndpointControl& control,
              events::EventLog& log);

  // Name of the lease among the objects of the hosts' own kind.
  static constexpr std::string_view kObjectName = "order-lease";

  // The lease's object was written, by any host.
  void OnLeaseObject(const catalog::StoredObject& object);
  // Runs until Stop(); on a fiber of its own.
  void Run();
  void Stop() { this->stopping = true; }

 private:
  struct Work {
    std::string model;
    uint64_t version = 0;
    // Endpoints that serve the model.
    std::vector<std::shared_ptr<dispatch::EndpointRecord>> endpoints;
    size_t outdated = 0;
  };

  void Step();
  // The first model whose endpoints are not all at the named version.
  std::optional<Work> FindWork() const;
  void TakeLease();
  void Release();
  // Writes the record over the last one that this host knows; returns whether
  // it took effect.
  bool WriteRecord(const rollout::LeaseRecord& record);
  void ReadLease();
  void Advance(const Work& work);
  void UpdateRecord(const Work& work, bool reservations_changed);
  void GiveOrders(const Work& work);
  void GiveOrder(const std::string& model,
                 uint64_t version,
                 std::shared_ptr<dispatch::EndpointRecord> endpoint);
  void PollOrdered(const Work& work);
  void ApplyReservations();
  rollout::RolloutPlan& PlanOf(const Work& work);
  // Null when this host has no plan for the model. Not to be kept over a call.
  rollout::RolloutPlan* FindPlan(const std::string& model);

  const Settings& settings;
  const ViewKeeper& view;
  Dispatcher& dispatcher;
  catalog::ObjectStore& store;
  EndpointControl& control;
  events::EventLog& log;
  rollout::OrderLease lease;
  std::map<std::string, rollout::RolloutPlan> plans;
  // Endpoints with a call under way.
  std::set<std::string> calling;
  common::TimePoint polled_at;
  common::TimePoint written_at;
  common::TimePoint next_take;
  common::TimePoint taken_at;
  // What the former holder had reserved when it lost the lease.
  std::vector<std::string> former_reserved;
  bool lease_known = false;
  bool stopping = false;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_ROLLOUT_DUTY_H_
