#ifndef CORE_SERVE_PARTS_H_
#define CORE_SERVE_PARTS_H_

#include "core/common/counters.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/journal/service.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/admission_gate.h"
#include "core/serve/burn_log.h"
#include "core/serve/decisions.h"
#include "core/serve/detached_streams.h"
#include "core/serve/fleet.h"
#include "core/serve/in_flight.h"
#include "core/serve/request_ids.h"
#include "core/serve/settings.h"
#include "core/serve/zone_sharing.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// What the steps of a request use. The host owns all of it.
struct Parts {
  const Settings& settings;
  common::TimerService& timers;
  common::CounterRegistry& counters;
  const table::SharedView& view;
  Fleet& fleet;
  GuardedRouter& router;
  GuardedBudget& budget;
  GuardedSuspects& suspects;
  AdmissionGate& gate;
  InFlight& in_flight;
  DetachedStreams& detached;
  BurnLog& burn;
  RequestIds& ids;
  endpoint::EngineClient& engines;
  endpoint::PlainClient& plains;
  ZoneSharing& sharing;
  journal::Service& journal;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_PARTS_H_
