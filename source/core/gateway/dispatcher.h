#ifndef CORE_GATEWAY_DISPATCHER_H_
#define CORE_GATEWAY_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/counters.h"
#include "core/common/random.h"
#include "core/dispatch/retry_window.h"
#include "core/dispatch/service_pool.h"
#include "core/events/event_log.h"
#include "core/forward/connection_pool.h"
#include "core/gateway/settings.h"
#include "core/gateway/view_keeper.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::gateway {

// A send that waits for an endpoint, as the silence check sees it.
struct ActiveSend {
  std::shared_ptr<dispatch::EndpointRecord> endpoint;
  dispatch::ServicePool* pool = nullptr;
  common::TimePoint sent_at;
  // Time without an answer after which another endpoint is tried; nothing
  // when the request must not be sent again.
  std::optional<common::Duration> move_after;
  bool started = false;
  // Ends the send, so that the request can go elsewhere.
  std::function<void()> move = nullptr;
};

// Owns the books of all endpoints: pools, retry budget, crash marks and the
// sends in progress. Called on one worker only.
class Dispatcher {
 public:
  Dispatcher(const Settings& settings,
             const ViewKeeper& view,
             forward::ConnectionPool& connections,
             events::EventLog& log,
             common::CounterRegistry& counters);

  // Brings the pools in line with the view.
  void Refresh();
  // The pool of a service, or null when the configuration has no such service.
  dispatch::ServicePool* PoolOf(std::string_view service);
  dispatch::RetryWindow& retries() { return this->retry_window; }
  suspects::SuspectList& suspects() { return this->suspect_list; }
  common::Random& random() { return this->random_source; }
  void SetHostCount(size_t hosts);

  // Another host gave an engine a prompt to read.
  void OnPeerPrompt(uint64_t endpoint_hash, const dispatch::PeerPrompt& prompt);

  // Another host could not reach an engine.
  void OnPeerLost(uint64_t endpoint_hash);
  // Called with the endpoints that this host can not reach.
  void OnLost(std::function<void(const std::string& id)> callback) {
    this->endpoint_lost = std::move(callback);
  }

  using SendHandle = uint64_t;
  SendHandle Register(ActiveSend send);
  void MarkStarted(SendHandle handle);
  void Unregister(SendHandle handle);

  // Books the end of a send.
  void OnOutcome(dispatch::ServicePool& pool,
                 dispatch::EndpointRecord& endpoint,
                 dispatch::SendOutcome outcome);
  // A request broke off at the endpoint. Checks whether the endpoint crashed
  // and, if so, marks the requests that broke off there.
  void OnBroken(const std::shared_ptr<dispatch::EndpointRecord>& endpoint,
                suspects::Fingerprint fingerprint);
  // Called with new crash marks of this host.
  void OnCrashMarks(std::function<void()> callback) {
    this->crash_marks_changed = std::move(callback);
  }

  // Finds silent endpoints and sends that hang; called every kCheckPeriod.
  void CheckSilence();
  static constexpr common::Duration kCheckPeriod =
      std::chrono::milliseconds(100);

 private:
  struct Broken {
    std::shared_ptr<dispatch::EndpointRecord> endpoint;
    std::vector<suspects::Fingerprint> fingerprints;
  };

  void IndexEndpoints();
  void CheckEndpoint(dispatch::ServicePool& pool,
                     dispatch::EndpointRecord& record,
                     common::TimePoint now);
  void MoveSends(common::TimePoint now);
  void CheckCrash(const std::string& id);

  const Settings& settings;
  const ViewKeeper& view;
  forward::ConnectionPool& connections;
  events::EventLog& log;
  common::Counter& ejections;
  common::Counter& moved_sends;
  std::map<std::string, std::unique_ptr<dispatch::ServicePool>, std::less<>>
      pools;
  struct Engine {
    std::weak_ptr<dispatch::EndpointRecord> record;
    dispatch::ServicePool* pool = nullptr;
  };

  // By the hash of their id.
  std::unordered_map<uint64_t, Engine> engines_by_hash;
  dispatch::RetryWindow retry_window;
  suspects::SuspectList suspect_list;
  common::Random random_source;
  size_t hosts;
  std::map<SendHandle, ActiveSend> active;
  SendHandle next_handle = 1;
  std::map<std::string, Broken> broken;
  std::function<void()> crash_marks_changed;
  std::function<void(const std::string& id)> endpoint_lost;
  common::TimePoint last_check;
  // Silence before this moment says nothing: this host was suspended.
  common::TimePoint silence_floor;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_DISPATCHER_H_
