#ifndef CORE_JOURNAL_MESSAGES_H_
#define CORE_JOURNAL_MESSAGES_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::journal {

using HostId = std::string;
using ShardId = uint32_t;
// Incremented by every takeover of a shard.
using Term = uint64_t;
// Unique ID of a Call object: host, process incarnation and a counter. A permit
// is bound to it, so no other call can use the permit.
using CallId = std::string;

// The caller's idempotency key, scoped to its team.
struct CallKey {
  std::string team;
  std::string key;

  auto operator<=>(const CallKey&) const = default;
};

// Stored form of an answer. A body above the size limit is represented by its
// digest and length only.
struct SavedAnswer {
  int status = 0;
  std::string content_type;
  // Hash128Hex of the complete body.
  std::string digest;
  uint64_t body_bytes = 0;
  bool body_kept = false;
  std::string body;

  bool operator==(const SavedAnswer&) const = default;
};

// Outcome of a call, as reported by the host that requested its permit.
enum class CallOutcome {
  kNotRun,   // the call ended before the first byte and will never be sent
  kUnknown,  // the first byte was written and no answer came
  kDone,
};

struct OutcomeReport {
  ShardId shard = 0;
  CallKey key;
  CallId call_id;
  CallOutcome outcome = CallOutcome::kUnknown;
  SavedAnswer answer;  // when done
};

// Message `permit`: a host requests a permit from the owner of the key's shard.
struct PermitRequest {
  ShardId shard = 0;
  CallKey key;
  std::string request_hash;
  common::UnixTime issued;
  HostId host;
  CallId call_id;
  // Remaining time that the host waits; the owner refuses the request after it.
  std::chrono::milliseconds timeout{0};
  // Outcomes of calls of the same shard that no owner has confirmed yet.
  std::vector<OutcomeReport> outcomes;
};

enum class PermitDecision {
  kGranted,      // the intent is committed: this call may be sent once
  kReplay,       // the call with this key has finished with `answer`
  kInProgress,   // another call with this key holds the permit
  kUnknown,      // another call with this key may have run
  kKeyReused,    // the key belongs to another request
  kTooOld,       // issued before the start of the retention period
  kTooNew,       // issued too far in the future
  kReleased,     // this call was reported as ended before its first byte
  kNotOwner,     // the receiving host does not own the shard; retry
  kUnavailable,  // the intent could not be recorded
};

struct PermitReply {
  PermitDecision decision = PermitDecision::kUnavailable;
  Term term = 0;
  // The call that holds the key, if it is not the requesting one.
  CallId holder;
  // The current owner of the shard, if the receiving host knows it.
  HostId owner;
  SavedAnswer answer;  // when the decision is kReplay
};

// Message `outcome`: outcome reports for one shard.
struct OutcomeRequest {
  ShardId shard = 0;
  std::vector<OutcomeReport> outcomes;
};

struct OutcomeReply {
  // The reports are committed or superseded, so the sender can discard them.
  bool accepted = false;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_MESSAGES_H_
