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
  // HashRequest() of everything that makes the call the same one.
  std::string request_hash;
  common::UnixTime issued;
  // Without a permit by then the call is refused as not run.
  common::TimePoint deadline;
};

// Identity of a request: method, target, body and issue time. The issue time
// is part of it because retention counts from it.
std::string HashRequest(std::string_view method,
                        std::string_view target,
                        std::string_view body,
                        common::UnixTime issued);

// Builds a saved answer with digest and length of `body`.
SavedAnswer MakeAnswer(int status, std::string content_type, std::string body);

// What the caller is told. `answer` is set when the code is kOk; its body is
// the whole body of the endpoint's answer.
struct CallResult {
  common::ResultCode code = common::ResultCode::kInternal;
  common::Outcome outcome = common::Outcome::kUnknown;
  // The answer was saved earlier; it is not from this exchange.
  bool replayed = false;
  SavedAnswer answer;
};

// What the status call of a plain service told.
enum class ServiceState { kDone, kAbsent, kRunning, kNoAnswer };

// What a Call wants done next.
struct CallActions {
  bool ask_owner = false;
  // Not before this time.
  common::TimePoint ask_at;
  bool forward = false;
  // Query the service's status call for the holder of the key.
  bool query_status = false;
  std::optional<OutcomeReport> report;
  std::optional<CallResult> answer;
};

// One non-idempotent call on the host that received it. It forwards at most
// once, whatever it is told and however often.
class Call {
 public:
  // `may_have_run` tells that this host knows of an earlier call with the same
  // key whose outcome is unknown.
  Call(CallRequest request,
       ShardId shard,
       CallId id,
       bool has_status_call,
       bool may_have_run,
       common::Duration ask_retry);

  CallActions Start(common::TimePoint now);
  // A reply to any of the asks of this call, in any order, any number of times.
  CallActions OnPermitReply(const PermitReply& reply, common::TimePoint now);
  // The ask was lost, refused or not answered in time.
  CallActions OnAskFailed(common::TimePoint now);
  // To be called just before the first byte goes to the endpoint. When it
  // returns false nothing may be written.
  [[nodiscard]] bool OnFirstByteWritten();
  // `answer` has the whole body; the report carries at most `kept_bytes`.
  CallActions OnAnswer(const SavedAnswer& answer, size_t kept_bytes);
  // The exchange ended without an answer. `code` is told to the caller when
  // no byte was written.
  CallActions OnConnectionLost(common::ResultCode code);
  CallActions OnDeadline();
  CallActions OnServiceState(ServiceState state,
                             const SavedAnswer& answer,
                             size_t kept_bytes);

  const CallRequest& request() const { return this->call; }
  const CallId& id() const { return this->call_id; }
  ShardId shard() const { return this->key_shard; }
  // No caller waits any more and nothing will be sent.
  bool ended() const { return this->state == State::kEnded; }

 private:
  enum class State { kAsking, kPermitted, kSent, kQuerying, kEnded };

  CallActions End(common::ResultCode code, common::Outcome outcome);
  CallActions EndNotRun(common::ResultCode code);
  CallActions AskAgain(common::TimePoint now);
  CallActions EndByReplay(const SavedAnswer& answer);
  CallActions EndUnknown();
  OutcomeReport Report(CallOutcome outcome) const;

  CallRequest call;
  ShardId key_shard;
  CallId call_id;
  bool has_status_call;
  bool may_have_run;
  common::Duration ask_retry;
  // An owner may have committed an intent for this call.
  bool asked = false;
  // Asks that brought no decision; each doubles the pause before the next.
  uint32_t retries = 0;
  State state = State::kAsking;
  // Holder of the key while its state is queried.
  CallId holder;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_CALL_H_
