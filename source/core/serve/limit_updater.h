#ifndef CORE_SERVE_LIMIT_UPDATER_H_
#define CORE_SERVE_LIMIT_UPDATER_H_

#include "core/common/timer_service.h"
#include "core/serve/admission_gate.h"
#include "core/serve/endpoint_monitor.h"
#include "core/serve/guarded.h"
#include "core/serve/peer_sync.h"
#include "core/serve/settings.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// Sets the limits of admission control and the retry budget from the table rows
// in force, the hosts that share them and the endpoints' capacity.
class LimitUpdater {
 public:
  LimitUpdater(const common::TimerService& timers,
               const table::SharedView& view,
               EndpointMonitor& endpoint_monitor,
               AdmissionGate& gate,
               GuardedBudget& budget,
               GuardedRouter& router,
               PeerSync& peer_sync,
               const Settings& settings)
      : timers(timers),
        view(view),
        endpoint_monitor(endpoint_monitor),
        gate(gate),
        budget(budget),
        router(router),
        peer_sync(peer_sync),
        settings(settings) {}

  // Call on every change of the table and at least once a second, since hour
  // bands begin and endpoint capacity changes without a change of the table.
  void Update();

 private:
  void UpdateService(const table::Snapshot& rows,
                     const table::Service& service);
  void UpdateTeam(const table::Snapshot& rows, const table::Team& team);

  const common::TimerService& timers;
  const table::SharedView& view;
  EndpointMonitor& endpoint_monitor;
  AdmissionGate& gate;
  GuardedBudget& budget;
  GuardedRouter& router;
  PeerSync& peer_sync;
  const Settings& settings;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_LIMIT_UPDATER_H_
