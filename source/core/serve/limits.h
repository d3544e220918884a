#ifndef CORE_SERVE_LIMITS_H_
#define CORE_SERVE_LIMITS_H_

#include "core/common/timer_service.h"
#include "core/serve/admission_gate.h"
#include "core/serve/decisions.h"
#include "core/serve/fleet.h"
#include "core/serve/settings.h"
#include "core/serve/zone_sharing.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// Brings admission control and the retry budget in line with the rows in
// force, the hosts that share them and the endpoints' capacity.
class Limits {
 public:
  Limits(const common::TimerService& timers,
         const table::SharedView& view,
         Fleet& fleet,
         AdmissionGate& gate,
         GuardedBudget& budget,
         GuardedRouter& router,
         ZoneSharing& sharing,
         const Settings& settings)
      : timers(timers),
        view(view),
        fleet(fleet),
        gate(gate),
        budget(budget),
        router(router),
        sharing(sharing),
        settings(settings) {}

  // Call on every change of the table and at least once a second, since bands
  // begin and endpoints report without a change of the table.
  void Update();

 private:
  void UpdateService(const table::Snapshot& rows,
                     const table::Service& service);
  void UpdateTeam(const table::Snapshot& rows, const table::Team& team);

  const common::TimerService& timers;
  const table::SharedView& view;
  Fleet& fleet;
  AdmissionGate& gate;
  GuardedBudget& budget;
  GuardedRouter& router;
  ZoneSharing& sharing;
  const Settings& settings;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_LIMITS_H_
