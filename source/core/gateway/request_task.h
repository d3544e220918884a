#ifndef CORE_GATEWAY_REQUEST_TASK_H_
#define CORE_GATEWAY_REQUEST_TASK_H_

#include <memory>
#include <optional>
#include <set>
#include <string>

#include "core/catalog/config_view.h"
#include "core/dispatch/admission_policy.h"
#include "core/events/event_log.h"
#include "core/forward/endpoint_send.h"
#include "core/forward/event_splitter.h"
#include "core/forward/types.h"
#include "core/gateway/dispatcher.h"
#include "core/gateway/peer_loads.h"
#include "core/reuse/salt.h"
#include "core/reuse/store_book.h"
#include "core/runtime/http_server.h"

namespace jujuberock::gateway {

// What all requests of a host share.
struct RequestParts {
  const Settings& settings;
  const ViewKeeper& view;
  Dispatcher& dispatcher;
  reuse::StoreBook& stores;
  forward::ConnectionPool& connections;
  const forward::Codec& codec;
  events::EventLog& log;
  common::Counter& answered;
  common::Counter& refused;
  common::Counter& failed;
  common::DurationHistogram& first_byte;
  common::DurationHistogram& total;
  // Null when hosts tell each other nothing.
  PeerLoads* peer_loads = nullptr;
};

// One request of a caller, from its head to the end of its answer. Runs on the
// fiber of the caller's connection.
class RequestTask {
 public:
  RequestTask(RequestParts& parts,
              forward::CallerRequest request,
              runtime::ResponseWriter& writer);
  ~RequestTask();

  // Answers the request. Throws common::Error when nothing was answered, also
  // when a begun answer had to be broken off.
  void Run();

 private:
  // What the task shares with callbacks that may outlive it.
  struct Shared {
    bool caller_gone = false;
    bool moved = false;
    forward::EndpointSend* send = nullptr;
    // The endpoint must not go on when the caller has left.
    bool cancel_when_gone = false;
  };

  enum class AttemptEnd {
    kAnswered,
    kNotRun,   // the endpoint did not run it, or nothing was sent
    kUnknown,  // it may have run
  };

  void Route();
  void CheckKey(const catalog::ConfigView& config);
  void CheckSuspect();
  void PickService();
  void WatchCaller();

  // Waits until the request may be sent; throws when it is refused.
  dispatch::Choice AwaitEndpoint();
  dispatch::SendNeeds Needs() const;
  [[noreturn]] void Refuse(common::ResultCode code,
                           const char* reason,
                           std::optional<common::Duration> retry_after);

  AttemptEnd Attempt(const dispatch::Choice& choice);
  AttemptEnd TakeAnswer(forward::EndpointSend& send,
                        const forward::AnswerHead& head,
                        dispatch::SendTicket& ticket);
  AttemptEnd TakeWhole(forward::EndpointSend& send,
                       const forward::AnswerHead& head,
                       dispatch::SendTicket& ticket);
  AttemptEnd Relay(forward::EndpointSend& send,
                   const forward::AnswerHead& head,
                   dispatch::SendTicket& ticket);
  AttemptEnd OnSendError(const forward::SendError& error,
                         const forward::EndpointSend& send,
                         dispatch::SendTicket& ticket);
  // Books the prompt in the demand of all hosts.
  void TellPeers(const dispatch::Choice& choice,
                 const dispatch::SendTicket& ticket);
  void NoteHead(const forward::AnswerHead& head,
                dispatch::EndpointRecord& record);
  void NotePause();
  void NoteFirstByte(dispatch::SendTicket& ticket);
  // The first token came so much later than expected.
  void NoteFetch(common::Duration excess);

  bool MayRepeat() const;
  bool MaySendAgain(AttemptEnd end);
  [[noreturn]] void GiveUp();
  forward::SendOrder OrderFor(const dispatch::Choice& choice);
  std::optional<common::Duration> MoveAfter(
      const dispatch::Choice& choice) const;
  common::Duration Remaining(common::TimePoint now) const;
  // The salt of parts that this version of the weights makes.
  std::string SaltFor(uint64_t version) const;
  void AddReuse(const dispatch::Choice& choice, forward::SendOrder& order);
  // `choice`: null before an engine is chosen.
  reuse::FetchTerms TermsFor(const dispatch::Choice* choice) const;

  RequestParts& parts;
  forward::CallerRequest request;
  runtime::ResponseWriter& writer;
  std::shared_ptr<const catalog::ConfigView> config;
  const catalog::Route* route = nullptr;
  const catalog::Team* team = nullptr;
  std::string service;
  dispatch::ServicePool* pool = nullptr;
  suspects::Fingerprint fingerprint = 0;
  bool isolate = false;
  // Without a version, and as the key of the books of engines.
  reuse::Salt salt;
  std::string cache_key;
  int urgency = 5;
  common::TimePoint received_at;
  common::TimePoint deadline;
  common::Duration held{0};
  std::shared_ptr<Shared> shared;
  std::set<std::string> tried;
  int64_t sends = 0;
  int64_t failed_connects = 0;
  // What this send reads from stores, and the first token as predicted.
  reuse::ReusePlan reuse;
  common::Duration predicted{0};
  common::TimePoint first_byte_at;
  common::TimePoint last_event_at;
  common::Duration longest_pause{0};
  uint64_t events_sent = 0;
  bool may_have_run = false;
  bool timed_out = false;
  bool answer_started = false;
  forward::EventSplitter splitter;
};

}  // namespace jujuberock::gateway

#endif  // CORE_GATEWAY_REQUEST_TASK_H_
