#ifndef CORE_SERVE_ENDPOINT_MONITOR_H_
#define CORE_SERVE_ENDPOINT_MONITOR_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/cache_store/client.h"
#include "core/common/metrics.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/load_exchange/exchange.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/fiber_group.h"
#include "core/serve/guarded.h"
#include "core/serve/settings.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// Polls the endpoints and cache stores, keeps what this host knows about their
// state and passes it to the router. Thread-safe.
class EndpointMonitor {
 public:
  EndpointMonitor(runtime::WorkerPool& pool,
                  common::TimerService& timers,
                  const table::SharedView& view,
                  GuardedRouter& router,
                  endpoint::EngineClient& engine_client,
                  endpoint::PlainClient& plain_client,
                  cache_store::Client& store_client,
                  common::MetricRegistry& counters,
                  const Settings& settings);

  // Sends a `load_reports` message to the other hosts of the zone.
  using SendToZone = std::function<void(const std::string& bytes)>;

  // Called when an engine has reported whether it is leaving.
  using OnLeavingReport =
      std::function<void(const std::string& endpoint, bool leaving)>;

  // Both callbacks run on fibers and may suspend.
  void Start(SendToZone send, OnLeavingReport on_leaving);
  // Ends all polls. Call it before anything that the callbacks use is
  // destroyed.
  void Stop() { this->fibers.Stop(); }
  // Sets the live hosts of this zone, including this one.
  void SetZoneHosts(std::vector<std::string> hosts);
  // Handles a `load_reports` message from another host of the zone. Throws
  // common::Error kProtocolError when it is malformed.
  void OnLoadReports(std::string_view bytes);
  // Adds, updates and removes endpoints and stores according to the table.
  void ApplyTable();

  // Marks an endpoint that did not answer on a new connection as down. It gets
  // no requests until it answers a poll.
  void ReportDown(std::string_view endpoint);
  // Sets whether any host of the zone reports the endpoint as leaving.
  void SetLeavingInZone(std::string_view endpoint, bool leaving);

  std::optional<runtime::Address> AddressOf(std::string_view endpoint) const;

  // Number of requests that the service's live endpoints can run concurrently.
  // Returns nothing while none has reported its slots.
  std::optional<uint32_t> SlotsOf(std::string_view service);
  // Names of the endpoints that are down or leaving.
  std::vector<std::string> DownEndpoints();
  std::vector<std::string> LeavingEndpoints();

 private:
  struct EndpointEntry {
    routing::EndpointInfo info;
    runtime::Address address;
    bool plain = false;
    bool leaving_in_table = false;
    bool leaving_by_report = false;
    bool leaving_in_zone = false;
    bool down = false;
    int failed_polls = 0;
    uint32_t slots = 0;
    bool polling = false;
    // State that the router was last notified of.
    std::optional<routing::EndpointState> notified_state;
  };

  void NotifyRouter(EndpointEntry& entry);
  void PollZoneEngines(common::TimePoint now);
  void PollRoundRobin();
  void StartPoll(const std::string& name, EndpointEntry& entry);
  void SendReports(common::TimePoint now);
  void OnReport(const std::string& name,
                const routing::LoadReport& report,
                const std::optional<load_exchange::EventBatch>& batch);
  bool IsZoneEngine(const EndpointEntry& entry) const;
  void PollEndpoint(const std::string& name,
                    const runtime::Address& address,
                    bool plain);
  void PollEngine(const std::string& name, const runtime::Address& address);
  void OnPollAnswered(const std::string& name);
  void ApplyReport(const std::string& name, const routing::LoadReport& report);
  void OnPollFailed(const std::string& name);
  void PollStores();
  void PollStore(const std::string& name, const runtime::Address& address);
  std::vector<std::string> NamesWhere(bool (*condition)(const EndpointEntry&));

  common::TimerService& timers;
  const table::SharedView& view;
  GuardedRouter& router;
  endpoint::EngineClient& engine_client;
  endpoint::PlainClient& plain_client;
  cache_store::Client& store_client;
  const Settings& settings;
  common::Counter& polls;
  common::Counter& poll_failures;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, EndpointEntry, std::less<>> known_endpoints;
  std::map<std::string, runtime::Address> known_stores;
  load_exchange::Exchange exchange;
  common::TimePoint reports_due;
  SendToZone send_to_zone;
  OnLeavingReport on_leaving_report;
  // Endpoint at which the next round-robin poll starts.
  std::string next_endpoint;
  // Declared last: its fibers use the members above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_ENDPOINT_MONITOR_H_
