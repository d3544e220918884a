#ifndef CORE_GATEWAY_REQUEST_TASK_H_
#define CORE_GATEWAY_REQUEST_TASK_H_

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "core/catalog/config_view.h"
#include "core/dispatch/admission_policy.h"
#include "core/dispatch/resend_policy.h"
#include "core/events/event_log.h"
#include "core/forward/endpoint_send.h"
#include "core/forward/response_relay.h"
#include "core/forward/types.h"
#include "core/gateway/admission_gate.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/part_monitor.h"
#include "core/gateway/peer_loads.h"
#include "core/gateway/planned_stop.h"
#include "core/gateway/stream_registry.h"
#include "core/handover/peer_choice.h"
#include "core/handover/reply_writer.h"
#include "core/reuse/cache_store_index.h"
#include "core/reuse/salt.h"
#include "core/runtime/http_server.h"

namespace jujuberock::gateway {

// Objects that all requests of a host use.
struct RequestDependencies {
  const Settings& settings;
  const PlatformView& view;
  Dispatcher& dispatcher;
  reuse::CacheStoreIndex& cache_store_index;
  forward::ConnectionPool& connections;
  PlannedStop& planned_stop;
  StreamRegistry& stream_registry;
  const forward::Codec& codec;
  const catalog::ZoneRegions& regions;
  events::EventLog& log;
  common::Counter& answered;
  common::Counter& refused;
  // Requests that waited on this host, and those of them that found other
  // requests in front of them.
  common::Counter& queued;
  common::Counter& displaced;
  common::Counter& failed;
  // Requests that no endpoint took at once, while some were cold.
  common::Counter& turned_from_cold;
  common::Counter& turned_from_brittle;
  // Responses to other requests that came in place of the one due.
  common::Counter& stray_responses;
  common::DurationHistogram& first_byte;
  common::DurationHistogram& total;
  common::Counter& handovers_answered;
  common::Counter& handovers_refused;
  common::Counter& handovers_failed;
  // Connections to other hosts.
  forward::ConnectionPool& peer_connections;
  // Null when requests are not handed over to other hosts.
  handover::PeerChoice* peers = nullptr;
  // Null when load information is not exchanged with other hosts.
  PeerLoads* peer_loads = nullptr;
  // Number of the last request that was handed over.
  uint64_t last_handover = 0;
};

// Where a request comes from.
struct RequestOrigin {
  // The response to the host that has handed the request over; null if it comes
  // from a caller.
  handover::ReplyWriter* reply = nullptr;
  // Version of that host's configuration.
  uint64_t config_version = 0;
  // Sends that may run, as far as that host limits them.
  std::optional<int64_t> max_attempts = {};
};

// Handles one request of a caller until the end of the response. Runs on the
// fiber of the caller's connection.
class RequestTask final : private StoppableRequest {
 public:
  RequestTask(RequestDependencies& deps,
              forward::CallerRequest request,
              runtime::ResponseWriter& writer,
              const RequestOrigin& origin = {});
  ~RequestTask();

  // Handles the request. Throws common::Error if no response was sent, and also
  // if a started response had to be cut off.
  void Run();

 private:
  // Endpoints get a deadline this much earlier than the caller's, so that the
  // response can still reach the caller.
  static constexpr common::Duration kNetworkDelay =
      std::chrono::milliseconds(5);
  // Interval at which a request asks again for a retry from the budget.
  static constexpr common::Duration kRetryBudgetPoll =
      std::chrono::milliseconds(12);

  // State shared with callbacks that may outlive the task.
  struct CallbackState {
    bool caller_gone = false;
    forward::EndpointSend* send = nullptr;
    // Whether the send is canceled when the caller disconnects.
    bool cancel_when_gone = false;
    // Why the dispatcher has canceled the send, if it has.
    std::optional<MoveReason> move_reason;
  };

  void EndUnanswered() override;
  void LogCutOff() const override;

  enum class AttemptResult {
    kAnswered,
    kNotRun,   // nothing was sent, or the endpoint did not run the request
    kUnknown,  // the request may have run
  };

  // A send that the endpoint's load already accounts for.
  struct PlannedSend {
    dispatch::EndpointChoice choice;
    dispatch::SendTicket ticket;
    // Which process of the endpoint it is for.
    uint64_t process = 0;
  };

  // Sends the request until an endpoint has answered it.
  void RunUntilAnswered();
  void Route();
  void CheckKey(const catalog::ConfigView& config);
  void CheckCrashMarks();
  // Throws if a part of the prompt crashes endpoints, unless the request may
  // test that. Checked before each send, because other hosts may have found out
  // in the meantime.
  void CheckParts();
  // Makes a request that CheckParts() has let pass for a test the trial of its
  // part, or refuses it.
  void BeginPartTrial();
  [[noreturn]] void RefuseForPart();
  void PickService();
  // Finds out which software version the stream goes on at, if the request
  // takes one up. Refuses it if that is not known, or no endpoint has that
  // version.
  void FindOrigin();
  // Whether the request is for a stream that may go on at another endpoint.
  bool IsResumable() const;
  // The attempt that began the stream.
  const std::string& FirstAttempt() const;
  // The software version that the next send needs; nothing for any.
  std::optional<std::string> RequiredSoftware() const;
  // Records at which software version the next send may begin the stream.
  void BindSoftware(const dispatch::EndpointChoice& choice);
  // Fixes the software version of the stream, whose first event has arrived.
  void FixSoftware();
  // Throws forward::SendError if another process of the endpoint than the one
  // that was chosen may have answered, so that its version is not known.
  void CheckProcess(const dispatch::EndpointRecord& endpoint) const;
  // Refuses the request if the host stops and would have to cut it.
  void CheckPlannedStop();
  void WatchCaller();

  enum class HandoverResult {
    kAnswered,
    kNotRun,   // nothing was sent, or the host did not run the request
    kUnknown,  // the request may have run
  };

  // Whether another host should serve the request, because this one does not
  // reach the endpoints. One that was handed over already stays here.
  bool MustHandOver() const;
  // Hands the request over to other hosts until one has answered it. Returns
  // false if none can. Throws if it is refused or fails.
  bool HandOver();
  HandoverResult Ask(const handover::PeerHost& host);
  HandoverResult Exchange(const handover::PeerHost& host,
                          forward::EndpointSend& send,
                          const forward::CallerRequest& request,
                          const forward::SendParameters& parameters);
  HandoverResult OnReply(const handover::PeerHost& host,
                         forward::EndpointSend& send,
                         forward::ResponseHead& head);
  HandoverResult OnHandoverError(const handover::PeerHost& host,
                                 const forward::EndpointSend& send,
                                 const forward::SendError& error);
  // Records that the endpoint that has answered at the other host is leaving.
  void LearnFrom(const handover::Reply& reply,
                 const forward::ResponseHead& head);
  void RecordHandedOverByte();
  // Another host has counted the request for the retry budget.
  void CountElsewhere();
  // Sends of the request that may run.
  int64_t MaxAttempts() const;

  // Refuses a request that was handed over if this host does not reach the
  // endpoints either.
  void CheckReach();
  // Returns the send that a move has prepared, or waits until the request may
  // be sent; nothing if it must be handed over. Throws if it is refused.
  std::optional<PlannedSend> NextSend();
  // Adds the send to the load of its endpoint.
  PlannedSend Plan(const dispatch::EndpointChoice& choice);
  // Returns nothing if the request must be handed over.
  std::optional<dispatch::EndpointChoice> AwaitEndpoint();
  std::optional<dispatch::EndpointChoice> Choose(common::TimePoint now);
  // The request's timing, as far as it does not depend on the wait in progress.
  dispatch::AdmissionRequest Admission(common::TimePoint now) const;
  // The groups of callers whose share of admissions the request counts for.
  std::vector<std::string> FloorGroups();
  // What its order among the waiting requests depends on.
  dispatch::WaitingRequest AsWaiting(common::TimePoint now);
  void LogQueued(const std::optional<dispatch::EndpointChoice>& choice,
                 const dispatch::WaitingRequest& waiting,
                 bool is_displaced) const;
  dispatch::SendRequirements Requirements() const;
  // The regions that may see the request.
  catalog::Homes Homes() const;
  // Adds the version that is required now and the numbers of endpoints that may
  // and may not take the request.
  void AddExclusions(events::LogLine& line, common::TimePoint now) const;
  // Counts a request that no endpoint takes now, if some of them are cold.
  void CountTurnedFromCold(common::TimePoint now);
  // The same for endpoints that are brittle.
  void CountTurnedFromBrittle(common::TimePoint now);
  [[noreturn]] void Refuse(common::ResultCode code,
                           const char* reason,
                           std::optional<common::Duration> retry_after);
  // Ends a request that no host would serve.
  [[noreturn]] void Reject(common::ResultCode code, const char* reason);

  AttemptResult Attempt(PlannedSend planned);
  // Tracks the send until it is unregistered, so that it can be moved.
  void RegisterSend(const dispatch::EndpointChoice& choice);
  // Cancels the send in progress so that the request can go on elsewhere.
  // Returns false, and lets it go on, if that is not certain.
  bool Move(MoveReason reason);
  // Prepares the next send while one is in progress. Returns false if the
  // request can't be sent again at the moment. With `needs_ready`, only an
  // endpoint that is sure to take it will do, since the send in progress may
  // still be answered.
  bool ReserveNextSend(bool needs_ready);
  // Counts a send that has ended.
  void CountSend(const forward::EndpointSend& send, AttemptResult result);
  void LogSent(const dispatch::EndpointChoice& choice, common::TimePoint now);
  // Adds the weight version of the engine and, while a newer one is announced,
  // what the host knows about that announcement.
  void AddVersions(events::LogLine& line,
                   const dispatch::EndpointRecord& engine,
                   common::TimePoint now) const;
  AttemptResult HandleResponse(forward::EndpointSend& send,
                               const forward::ResponseHead& head,
                               dispatch::SendTicket& ticket);
  // The endpoint has not run the request.
  void OnTurnedAway(const forward::EndpointSend& send,
                    const forward::ResponseHead& head,
                    dispatch::EndpointRecord& record);
  // Whether the body of the response is a series of events.
  bool IsStream(const forward::ResponseHead& head) const;
  // Passes the response on to the caller. Throws forward::SendError.
  void RelayResponse(forward::EndpointSend& send,
                     const forward::ResponseHead& head,
                     dispatch::SendTicket& ticket);
  void LogAnswered(const forward::EndpointSend& send,
                   const forward::ResponseHead& head,
                   const dispatch::EndpointRecord& endpoint);
  // Logs the error if the caller gets no answer, or only the beginning of one.
  void LogUnanswered(const common::Error& error) const;
  void LogUnanswered(std::string_view ended_by, std::string_view detail) const;
  void LogCut(const forward::SendError& error,
              const forward::EndpointSend& send,
              const dispatch::EndpointRecord& endpoint);
  // Logs the responses to other requests that the send has met.
  void LogStrayResponses(const forward::EndpointSend& send,
                         const dispatch::EndpointRecord& endpoint) const;
  // Adds the connection that the send has used.
  void AddConnection(events::LogLine& line,
                     const forward::EndpointSend& send) const;
  // Adds how the response of the send was framed and where it ended.
  void AddTransfer(events::LogLine& line,
                   const forward::EndpointSend& send) const;
  AttemptResult OnSendError(const forward::SendError& error,
                            const forward::EndpointSend& send,
                            dispatch::SendTicket& ticket);
  // Records the prompt in the pool and tells the other hosts about it.
  void RecordPrompt(const dispatch::EndpointChoice& choice,
                    const dispatch::SendTicket& ticket);
  void RecordLoad(const dispatch::LoadReport& load,
                  dispatch::EndpointRecord& record,
                  common::TimePoint now);
  void RecordHead(const forward::ResponseHead& head,
                  dispatch::EndpointRecord& record);
  dispatch::AnswerKind ExpectedAnswer() const;
  dispatch::StreamTargets Targets() const;
  // Records how long the request took, for those that arrive in a stop.
  void RecordDuration();
  void RecordFirstByte(dispatch::SendTicket& ticket);
  // Records how much later than predicted the first token of a fetch arrived.
  void RecordFetch(common::Duration excess);

  bool IsRepeatable() const;
  dispatch::ResendRequest AsResend(common::TimePoint now) const;
  bool MaySendAgain();
  std::optional<dispatch::GiveUpReason> ReasonToGiveUp();
  [[noreturn]] void FailRequest();
  // Ends the request after its caller has disconnected. The caller gets an
  // answer if it has closed only its sending side.
  [[noreturn]] void EndForCaller();
  // Ends the request because the grace period of a planned stop ends.
  [[noreturn]] void EndForStop();
  // Throws if the caller has disconnected or the host ends.
  void CheckMayGoOn();
  forward::SendParameters MakeSendParameters(
      const dispatch::EndpointChoice& choice);
  std::optional<common::Duration> MoveTimeout(
      const dispatch::EndpointChoice& choice) const;
  // The deadline, or the end of a planned stop if that is earlier.
  common::TimePoint EffectiveDeadline() const;
  // Whether the end of a planned stop has come before the deadline.
  bool IsPastStop(common::TimePoint now) const;
  // Time until the effective deadline.
  common::Duration Remaining(common::TimePoint now) const;
  // Returns the salt of prompt parts that this weight version computes.
  std::string SaltFor(uint64_t version) const;
  void AddReuse(const dispatch::EndpointChoice& choice,
                forward::SendParameters& parameters);
  // `choice` is null before an engine is chosen.
  reuse::FetchConditions FetchConditionsFor(
      const dispatch::EndpointChoice* choice) const;

  RequestDependencies& deps;
  forward::CallerRequest request;
  runtime::ResponseWriter& writer;
  RequestOrigin origin;
  std::shared_ptr<const catalog::ConfigView> config;
  const catalog::Route* route = nullptr;
  const catalog::Team* team = nullptr;
  std::string service;
  dispatch::ServicePool* pool = nullptr;
  suspects::Fingerprint fingerprint = 0;
  // Software version that wrote the stream's events so far; nothing before the
  // first one.
  std::optional<std::string> stream_software;
  // Software version of the endpoint that the request was sent to last, and
  // whether hosts may know another one of an earlier send.
  std::optional<std::string> sent_software;
  bool was_rebound = false;
  // Which process of the endpoint the send in progress is for.
  uint64_t sent_process = 0;
  // The weight version that the send in progress expects.
  uint64_t sent_version = 0;
  bool isolate = false;
  PartMonitor part_monitor;
  // The part for which the request is refused, if any, and whether the request
  // is sent all the same, to test that.
  std::optional<std::string> blocked_part;
  bool is_part_trial = false;
  bool was_turned_from_cold = false;
  bool was_turned_from_brittle = false;
  // The salt without a weight version, and its rendered form, which is the key
  // of the engines' part caches.
  reuse::Salt salt;
  std::string cache_key;
  int urgency = 5;
  common::TimePoint received_at;
  common::TimePoint deadline;
  common::Duration held{0};
  std::vector<std::string> floor_groups;
  std::shared_ptr<CallbackState> callback_state;
  std::set<std::string> tried;
  // The send in progress, if there is one.
  Dispatcher::SendHandle active_send = 0;
  // The send that follows the one in progress when that is canceled.
  std::optional<PlannedSend> reserved;
  // Whether this host has given up the last run, although its endpoint might
  // have answered or has answered with a failure.
  bool run_was_given_up = false;
  // Sends that reached an endpoint, and those of them that may have run.
  int64_t sends = 0;
  int64_t runs = 0;
  int64_t misdirected_sends = 0;
  int64_t slow_connects = 0;
  int64_t quick_failures = 0;
  // Connections that could not be opened.
  int64_t failed_connects = 0;
  // Not before this time may other hosts be asked, after none could serve it.
  common::TimePoint handover_again_at;
  // Whether a retry was taken from the budget for the next send.
  bool holds_retry = false;
  // The parts that this send reads from and saves to cache stores, and the
  // predicted time to the first token.
  reuse::ReusePlan reuse;
  common::Duration predicted{0};
  common::TimePoint first_byte_at;
  bool timed_out = false;
  // What became of the endpoint after it had closed the connection of its
  // response, which has no other end.
  std::optional<EndEvidence> end_evidence;
  // Whether the caller got the whole of a successful answer.
  bool succeeded = false;
  // Whether EndUnanswered() was called before the answer started.
  bool ended_by_stop = false;
  std::optional<dispatch::GiveUpReason> give_up_reason;
  forward::ResponseRelay relay;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_REQUEST_TASK_H_
