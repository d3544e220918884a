#ifndef CORE_ORDERS_ROLLOUT_SERVICE_H_
#define CORE_ORDERS_ROLLOUT_SERVICE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <boost/fiber/mutex.hpp>

#include "core/common/metrics.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/orders/version_rollout.h"
#include "core/platform/client.h"
#include "core/table/shared_view.h"

namespace jujuberock::orders {

// Runs a VersionRollout for each engine service against the platform and the
// engines. Only the preferred host of a service polls its engines, which bounds
// the cost per host.
class RolloutService {
 public:
  // Whether membership prefers this host as the holder of a service's orders.
  using IsPreferred = std::function<bool(std::string_view service)>;

  RolloutService(platform::Client& platform,
                 endpoint::EngineClient& engines,
                 table::SharedView& table,
                 IsPreferred is_preferred,
                 common::TimerService& timers,
                 common::MetricRegistry& counters,
                 std::string host,
                 RolloutOptions options);

  // Starts the periodic rounds.
  void Start();
  // Stops issuing orders. Orders that were sent remain in effect.
  void Stop();

  // Runs one round over all services. Called by the timer; suspends the calling
  // fiber. Rounds never overlap.
  void RunOnce(common::TimePoint now);

 private:
  struct Entry {
    std::unique_ptr<VersionRollout> rollout;
    // Addresses of the live endpoints, by name.
    std::map<std::string, runtime::Address> addresses;
    std::optional<common::TimePoint> polled_at;
  };

  void RefreshEntries();
  void Configure(Entry& entry,
                 const table::Service& service,
                 const table::Snapshot& snapshot);
  void RunService(const std::string& service,
                  Entry& entry,
                  common::TimePoint now);
  static bool IsPollDue(const Entry& entry, common::TimePoint now);
  void PollEndpoints(Entry& entry);
  void Perform(const std::string& service, Entry& entry, Actions actions);
  Actions PerformOne(const std::string& service,
                     Entry& entry,
                     const Action& action);
  Actions Read(const std::string& service, Entry& entry);
  Actions Write(const std::string& service,
                Entry& entry,
                const WriteOrderObject& write);
  Actions Send(Entry& entry, const SendOrder& order);

  platform::Client& platform;
  endpoint::EngineClient& engines;
  table::SharedView& table;
  IsPreferred is_preferred;
  common::TimerService& timers;
  common::Counter& orders_sent;
  common::Counter& orders_failed;
  common::Counter& order_claims;
  std::string host;
  RolloutOptions options;
  // Held for a whole round, which suspends its fiber; hence a fiber mutex.
  boost::fibers::mutex round_mutex;
  std::map<std::string, Entry> entries;
  common::TimerSubscription round_timer;
};

}  // namespace jujuberock::orders

#endif  // CORE_ORDERS_ROLLOUT_SERVICE_H_
