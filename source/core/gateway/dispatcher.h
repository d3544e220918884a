#ifndef CORE_GATEWAY_DISPATCHER_H_
#define CORE_GATEWAY_DISPATCHER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/catalog/endpoint_notice.h"
#include "core/catalog/evacuations.h"
#include "core/common/metrics.h"
#include "core/common/name_table.h"
#include "core/common/random.h"
#include "core/common/stall_detector.h"
#include "core/dispatch/host_ranking.h"
#include "core/dispatch/retry_window.h"
#include "core/dispatch/service_pool.h"
#include "core/dispatch/silence_limit.h"
#include "core/events/event_log.h"
#include "core/forward/connection_pool.h"
#include "core/gateway/admission_gate.h"
#include "core/gateway/platform_view.h"
#include "core/gateway/settings.h"
#include "core/suspects/part_suspects.h"
#include "core/suspects/suspect_list.h"

namespace jujuberock::gateway {

// Why a send in progress is canceled, so that another endpoint can be tried.
enum class MoveReason {
  kOutdatedWeights,  // it has not begun, and newer weights are required now
  kNoResponse,       // it takes longer than usual
  kSilentEndpoint,   // the endpoint is ejected and sends nothing
  kStalled,          // no event arrives, although the endpoint may send bytes
};

inline constexpr common::NameTable<MoveReason, 4> kMoveReasonNames(
    {"outdated_weights", "no_response", "silent_endpoint", "stalled"});

// What is known of an endpoint that has closed the connection of a response.
enum class EndEvidence {
  kSameProcess,   // another connection to it has stayed open
  kProcessEnded,  // its other connections were closed, or it is gone
  kReachable,     // it accepts a new connection
  kRefused,       // nothing listens there any more
  kSilent,        // there is no answer
};

inline constexpr common::NameTable<EndEvidence, 5> kEndEvidenceNames(
    {"same_process", "process_ended", "reachable", "refused", "silent"});

// Whether the endpoint may still run. A cut link is silent and says nothing
// about the endpoint.
inline bool MayStillRun(EndEvidence evidence) {
  return evidence != EndEvidence::kProcessEnded &&
         evidence != EndEvidence::kRefused;
}

// A send in progress, as tracked by the silence check.
struct ActiveSend {
  std::shared_ptr<dispatch::EndpointRecord> endpoint;
  dispatch::ServicePool* pool = nullptr;
  common::TimePoint sent_at;
  // Time without a response after which another endpoint is tried; nullopt when
  // the request must not be sent again.
  std::optional<common::Duration> move_timeout;
  dispatch::StreamTargets targets;
  dispatch::AnswerKind answer_kind = dispatch::AnswerKind::kWhole;
  // The model and the version of its weights on the engine; empty for plain
  // services.
  std::string model = {};
  uint64_t version = 0;
  // The head of the response has arrived.
  bool started = false;
  // The first event of a stream has arrived, so its run has begun.
  bool has_first_event = false;
  // Returns when the last event of the stream arrived.
  std::function<common::TimePoint()> last_event_at = nullptr;
  // Cancels the send, so that the request can be sent to another endpoint.
  // Returns false if the send goes on, because no other endpoint can take the
  // request now.
  std::function<bool(MoveReason reason)> move = nullptr;
  // Whether nothing is read from the endpoint at the moment, because the caller
  // has not taken the last bytes yet.
  std::function<bool()> waits_for_caller = nullptr;

  // Whether the run must not begin any more, because a newer version of the
  // weights was announced too long ago.
  bool MustNotBegin(const PlatformView& view, common::TimePoint now) const;
  // Whether it is a started stream and no event has arrived for long. Time
  // before `resumed_at` does not count.
  bool IsStalled(common::TimePoint resumed_at, common::TimePoint now) const;
};

// A request that an endpoint was running when it broke its connection.
struct BrokenRun {
  suspects::Fingerprint request = 0;
  // Parts of its prompt that can have caused a crash.
  std::vector<suspects::PartInFlight> parts;
};

// Owns the state of all endpoints: service pools, retry budget, crash marks and
// sends in progress. Not thread-safe: all calls are made on one worker.
class Dispatcher {
 public:
  Dispatcher(const Settings& settings,
             const PlatformView& view,
             forward::ConnectionPool& connections,
             events::EventLog& log,
             common::MetricRegistry& counters);

  // Updates the pools from the platform view.
  void Refresh();
  // Returns the pool of a service, or null if there is none.
  dispatch::ServicePool* FindPool(std::string_view service);
  // Calls `function` with the record of each registered endpoint.
  template <typename Function>
  void ForEachEndpoint(Function function) const {
    for (const auto& [name, pool] : this->pools) {
      for (const auto& [id, record] : pool->records())
        function(record);
    }
  }
  // Earliest time at which a message that is read now can have arrived.
  common::TimePoint EarliestArrival(common::TimePoint now) const {
    return this->stall_detector.EarliestArrival(now);
  }
  // Returns the queue of the requests that wait for the endpoints of a service.
  AdmissionGate& GateOf(std::string_view service);
  dispatch::RetryWindow& retries() { return this->retry_window; }
  suspects::SuspectList& suspects() { return this->suspect_list; }
  suspects::PartSuspects& part_suspects() { return this->part_suspect_list; }
  // Adds the marks of another host.
  void MergeMarks(const std::vector<suspects::CrashMark>& marks,
                  const std::vector<suspects::PartMark>& part_marks);
  common::Random& random() { return this->random_source; }
  // Sets the names of the known hosts and that of this host.
  void SetHosts(const std::set<std::string>& names, std::string_view own);
  const dispatch::HostRanking& host_ranking() const { return this->ranking; }

  // Called when another host has sent a prompt to an engine.
  void OnPeerPrompt(uint64_t endpoint_hash, const dispatch::PeerPrompt& prompt);

  // Called when an engine has reported its load to another host.
  void OnPeerLoad(uint64_t endpoint_hash, const dispatch::LoadReport& load);
  // Called when a zone is no longer evacuated.
  void OnZoneReturned(const catalog::Evacuations::Change& change);

  // Called when another host could not reach an engine.
  void OnPeerUnreachable(uint64_t endpoint_hash);
  // Sets the callback for endpoints that this host cannot reach.
  void OnUnreachable(std::function<void(const std::string& id)> callback) {
    this->on_endpoint_unreachable = std::move(callback);
  }

  // Called with what an endpoint says about itself in a response.
  void OnNotice(dispatch::EndpointRecord& endpoint,
                const catalog::EndpointNotice& notice);
  void OnNotice(const catalog::Endpoint& endpoint,
                const catalog::EndpointNotice& notice);
  // Sets the callback for endpoints that say that they are leaving.
  void OnLeaving(std::function<void(const catalog::Endpoint&)> callback) {
    this->on_endpoint_leaving = std::move(callback);
  }

  using SendHandle = uint64_t;
  SendHandle Register(ActiveSend send);
  void MarkStarted(SendHandle handle);
  void MarkFirstEvent(SendHandle handle);
  void Unregister(SendHandle handle);

  // Records the outcome of a send and logs changes of the endpoint's health.
  void OnOutcome(dispatch::ServicePool& pool,
                 dispatch::EndpointRecord& endpoint,
                 dispatch::SendOutcome outcome);
  // What became of an endpoint that has just closed the connection of a
  // response, which was sent to this process of it. Waits for `watch_time` or
  // longer, since a process may close its connections some time before it ends.
  // Suspends the calling fiber.
  EndEvidence CheckAfterEnd(dispatch::EndpointRecord& endpoint,
                            uint64_t process,
                            common::Duration watch_time);
  // Called when an endpoint has broken the connection of a request. Checks
  // whether the endpoint crashed and, if so, marks the requests that it was
  // running.
  void OnBroken(const std::shared_ptr<dispatch::EndpointRecord>& endpoint,
                const BrokenRun& run);
  // Sets the callback for new crash marks of this host.
  void OnCrashMarksChanged(std::function<void()> callback) {
    this->on_crash_marks_changed = std::move(callback);
  }

  // The watched connection to an endpoint was opened, or could not be.
  void OnWatched(const dispatch::EndpointRecord& endpoint, bool is_reached);
  // Tries endpoints that this host does not reach, and logs changes of whether
  // it reaches them; called every kCheckPeriod.
  void CheckReach();
  // Decides on prompt parts that crash endpoints; called every kCheckPeriod.
  void CheckSuspects();
  // Records which endpoints are cold and logs changes of that; called every
  // kCheckPeriod.
  void CheckColdEndpoints();
  // Detects silent endpoints and moves hanging sends where that is possible;
  // called every kCheckPeriod.
  void CheckSilence();
  static constexpr common::Duration kCheckPeriod =
      std::chrono::milliseconds(100);

 private:
  struct BrokenRequests {
    std::shared_ptr<dispatch::EndpointRecord> endpoint;
    std::vector<suspects::Fingerprint> fingerprints;
    std::vector<suspects::PartInFlight> parts;
    // When the first connection broke.
    common::TimePoint broken_at;
  };

  void LogCold(const dispatch::ServicePool& pool,
               dispatch::EndpointRecord& record,
               common::TimePoint now);
  // Takes over whether the endpoint says that it is brittle.
  void OnBrittle(dispatch::EndpointRecord& endpoint,
                 std::optional<int64_t> limit,
                 common::TimePoint now);
  void LogReach(const std::string& service,
                const dispatch::ServicePool& pool,
                common::TimePoint now);
  void Probe(const std::shared_ptr<dispatch::EndpointRecord>& endpoint);
  void IndexEndpoints();
  using SendsByEndpoint =
      std::unordered_map<const dispatch::EndpointRecord*,
                         std::vector<dispatch::SendProgress>>;
  // Leaves out sends that wait for their callers, but not their endpoints.
  SendsByEndpoint SendsInProgress() const;
  void CheckEndpointSilence(dispatch::ServicePool& pool,
                            dispatch::EndpointRecord& record,
                            const std::vector<dispatch::SendProgress>& sends,
                            common::TimePoint now);
  void MoveSends(common::TimePoint now);
  // Returns nullopt if the send goes on.
  std::optional<MoveReason> ReasonToMove(const ActiveSend& send,
                                         common::TimePoint now) const;
  void CheckCrash(const std::string& id);

  const Settings& settings;
  const PlatformView& view;
  forward::ConnectionPool& connections;
  events::EventLog& log;
  common::Counter& ejections;
  common::Counter& moved_sends;
  common::Counter& reach_losses;
  dispatch::HostRanking ranking;
  std::map<std::string, std::unique_ptr<dispatch::ServicePool>, std::less<>>
      pools;
  std::map<std::string, AdmissionGate, std::less<>> gates;
  struct Engine {
    std::weak_ptr<dispatch::EndpointRecord> record;
    dispatch::ServicePool* pool = nullptr;
  };

  // By hash of the endpoint id, as used in messages between hosts.
  std::unordered_map<uint64_t, Engine> engines_by_hash;
  // Services whose endpoints this host does not reach, and since when.
  std::map<std::string, common::TimePoint> impaired_since;
  common::TimePoint probed_at;
  dispatch::RetryWindow retry_window;
  suspects::SuspectList suspect_list;
  suspects::PartSuspects part_suspect_list;
  size_t blocked_parts = 0;
  common::Random random_source;
  size_t host_count;
  std::map<SendHandle, ActiveSend> active;
  SendHandle next_handle = 1;
  std::map<std::string, BrokenRequests> broken_by_endpoint;
  std::function<void(const catalog::Endpoint&)> on_endpoint_leaving;
  std::function<void()> on_crash_marks_changed;
  std::function<void(const std::string& id)> on_endpoint_unreachable;
  // Silence before the end of a stall of this host is ignored.
  common::StallDetector stall_detector;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_DISPATCHER_H_
