#ifndef CORE_SERVE_FLEET_H_
#define CORE_SERVE_FLEET_H_

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/cache_store/client.h"
#include "core/common/counters.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/endpoint/plain_client.h"
#include "core/load_exchange/exchange.h"
#include "core/runtime/worker_pool.h"
#include "core/serve/decisions.h"
#include "core/serve/fiber_group.h"
#include "core/serve/settings.h"
#include "core/table/shared_view.h"

namespace jujuberock::serve {

// What one host knows about the state of endpoints and stores: it polls them
// and keeps the router informed. Thread-safe.
class Fleet {
 public:
  Fleet(runtime::WorkerPool& pool,
        common::TimerService& timers,
        const table::SharedView& view,
        GuardedRouter& router,
        endpoint::EngineClient& engines,
        endpoint::PlainClient& plains,
        cache_store::Client& stores,
        common::CounterRegistry& counters,
        const Settings& settings);

  // Sends a `load_reports` message to the other hosts of the zone.
  using SendToZone = std::function<void(const std::string& bytes)>;

  // An engine told whether it leaves.
  using OnLeavingReport =
      std::function<void(const std::string& endpoint, bool leaving)>;

  // Both run on fibers and may suspend.
  void Start(SendToZone send, OnLeavingReport on_leaving);
  // Ends all polls, before what the two functions use is destroyed.
  void Stop() { this->fibers.Stop(); }
  // Live hosts of this zone, this one included.
  void SetZoneHosts(std::vector<std::string> hosts);
  // Takes a `load_reports` message of another host of the zone. Throws
  // common::Error kProtocolError when it is malformed.
  void OnLoadReports(std::string_view bytes);
  // Brings the endpoints and stores in line with the table.
  void OnConfig();

  // The endpoint gave no answer on a new connection. It gets no work until it
  // answers a poll again.
  void ReportDown(std::string_view endpoint);
  // Whether any host of the zone sees the endpoint as leaving.
  void SetLeavingInZone(std::string_view endpoint, bool leaving);

  std::optional<runtime::Address> AddressOf(std::string_view endpoint) const;

  // Requests that the service's live endpoints run at once; nothing while no
  // endpoint has reported.
  std::optional<uint32_t> SlotsOf(std::string_view service);
  // Names of the endpoints that are down or leaving.
  std::vector<std::string> Down();
  std::vector<std::string> Leaving();

 private:
  struct Member {
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
    // What the router was told last.
    std::optional<routing::EndpointState> told;
  };

  void Tell(Member& member);
  void PollZone(common::TimePoint now);
  void PollOthers();
  void StartPoll(const std::string& name, Member& member);
  void SendReports(common::TimePoint now);
  void OnReport(const std::string& name,
                const routing::LoadReport& report,
                const std::optional<load_exchange::EventRun>& run);
  bool IsOwnEngine(const Member& member) const;
  void PollEndpoint(const std::string& name,
                    const runtime::Address& address,
                    bool plain);
  void PollEngine(const std::string& name, const runtime::Address& address);
  void OnPollAnswered(const std::string& name);
  void Note(const std::string& name, const routing::LoadReport& report);
  void OnPollFailed(const std::string& name);
  void PollStores();
  void PollStore(const std::string& name, const runtime::Address& address);
  std::vector<std::string> NamesWhere(bool (*condition)(const Member&));

  common::TimerService& timers;
  const table::SharedView& view;
  GuardedRouter& router;
  endpoint::EngineClient& engines;
  endpoint::PlainClient& plains;
  cache_store::Client& stores;
  const Settings& settings;
  common::Counter& polls;
  common::Counter& poll_failures;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, Member, std::less<>> members;
  std::map<std::string, runtime::Address> known_stores;
  load_exchange::Exchange exchange;
  common::TimePoint reports_due;
  SendToZone send_to_zone;
  OnLeavingReport on_leaving_report;
  // Where the round of polls goes on.
  std::string next_poll;
  // Last: its fibers use everything above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_FLEET_H_
