#ifndef CORE_SERVE_DEPENDENCIES_H_
#define CORE_SERVE_DEPENDENCIES_H_

#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/journal/service.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/admission_gate.h"
#include "core/serve/burn_recorder.h"
#include "core/serve/detached_streams.h"
#include "core/serve/endpoint_monitor.h"
#include "core/serve/guarded.h"
#include "core/serve/in_flight_requests.h"
#include "core/serve/peer_sync.h"
#include "core/serve/request_ids.h"
#include "core/serve/settings.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// The components that request processing uses. Host::Impl owns all of them.
struct Dependencies {
  const Settings& settings;
  common::TimerService& timers;
  common::MetricRegistry& counters;
  const table::SharedView& view;
  EndpointMonitor& endpoint_monitor;
  GuardedRouter& router;
  GuardedBudget& budget;
  GuardedSuspects& suspects;
  GuardedPartSuspects& part_suspects;
  AdmissionGate& gate;
  InFlightRequests& in_flight;
  DetachedStreams& detached_streams;
  BurnRecorder& burn_recorder;
  RequestIds& request_ids;
  endpoint::EngineClient& engine_client;
  endpoint::PlainClient& plain_client;
  PeerSync& peer_sync;
  journal::Service& journal;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_DEPENDENCIES_H_
