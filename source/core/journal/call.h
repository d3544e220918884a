#ifndef CORE_JOURNAL_CALL_H_
#define CORE_JOURNAL_CALL_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/common/result_code.h"
#include "core/common/time.h"
#include "core/journal/messages.h"

namespace jujuberock::journal {

// One non-idempotent call as its caller sent it.
struct CallRequest {
  CallKey key;
  // HashRequest() of the fields that identify the request.
  std::string request_hash;
  common::UnixTime issued;
  // If no permit has been granted by then, the call ends as not run.
  common::TimePoint deadline;
};

// Identity of a request: method, target, body and issue time. The issue time
// is included because the retention period starts at it.
std::string HashRequest(std::string_view method,
                        std::string_view target,
                        std::string_view body,
                        common::UnixTime issued);

// Builds an answer with the digest and length of `body`.
SavedAnswer MakeAnswer(int status, std::string content_type, std::string body);

// Result returned to the caller. `answer` is set when the code is kOk and then
// holds the complete body of the endpoint's answer.
struct CallResult {
  common::ResultCode code = common::ResultCode::kInternal;
  common::Outcome outcome = common::Outcome::kUnknown;
  // The answer was stored by an earlier exchange.
  bool replayed = false;
  SavedAnswer answer;
};

// State of a call as reported by the status call of a plain service.
enum class ServiceCallState { kDone, kAbsent, kRunning, kNoAnswer };

// Actions that a Call requests from its host.
struct CallActions {
  bool request_permit = false;
  // Earliest time for the permit request.
  common::TimePoint request_at;
  bool forward = false;
  // Use the service's status call to query the state of the key's holder.
  bool query_status = false;
  std::optional<OutcomeReport> report;
  std::optional<CallResult> answer;
};

// State machine of one non-idempotent call on the host that received it. It
// forwards the call at most once, regardless of the order and number of the
// replies it receives.
class Call {
 public:
  // `may_have_run` is set if this host knows of an earlier call with the same
  // key whose outcome is unknown.
  Call(CallRequest request,
       ShardId shard,
       CallId id,
       bool has_status_call,
       bool may_have_run,
       common::Duration permit_retry);

  CallActions Start(common::TimePoint now);
  // Handles a reply to any permit request of this call. Replies may arrive out
  // of order and more than once.
  CallActions OnPermitReply(const PermitReply& reply, common::TimePoint now);
  // The permit request was lost, refused or not answered in time.
  CallActions OnPermitRequestFailed(common::TimePoint now);
  // Must be called just before the first byte is written to the endpoint. If
  // it returns false, nothing may be written.
  [[nodiscard]] bool OnFirstByteWritten();
  // `answer` holds the complete body; the report omits a body larger than
  // `max_body_bytes`.
  CallActions OnAnswer(const SavedAnswer& answer, size_t max_body_bytes);
  // The exchange ended without an answer. `code` is returned to the caller if
  // no byte was written.
  CallActions OnConnectionLost(common::ResultCode code);
  CallActions OnDeadline();
  CallActions OnServiceCallState(ServiceCallState state,
                                 const SavedAnswer& answer,
                                 size_t max_body_bytes);

  const CallRequest& request() const { return this->call; }
  const CallId& id() const { return this->call_id; }
  ShardId shard() const { return this->key_shard; }
  // The caller has its result, and nothing more will be sent.
  bool ended() const { return this->state == State::kEnded; }

 private:
  enum class State { kRequestingPermit, kPermitted, kSent, kQuerying, kEnded };

  CallActions End(common::ResultCode code, common::Outcome outcome);
  CallActions EndNotRun(common::ResultCode code);
  CallActions RetryPermitRequest(common::TimePoint now);
  CallActions EndByReplay(const SavedAnswer& answer);
  CallActions EndUnknown();
  OutcomeReport Report(CallOutcome outcome) const;

  CallRequest call;
  ShardId key_shard;
  CallId call_id;
  bool has_status_call;
  bool may_have_run;
  common::Duration permit_retry;
  // A permit was requested, so an owner may have committed an intent.
  bool permit_requested = false;
  // Permit requests without a decision; each doubles the retry delay.
  uint32_t retries = 0;
  State state = State::kRequestingPermit;
  // The call that holds the key, while its state is queried.
  CallId holder;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_CALL_H_
