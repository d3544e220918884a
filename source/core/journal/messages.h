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
// Raised by every takeover of a shard.
using Term = uint64_t;
// Unique for one Call object: host, process start and a counter. A permit is
// bound to it, so no other call can use the permit.
using CallId = std::string;

// The caller's key. Keys of different teams never match.
struct CallKey {
  std::string team;
  std::string key;

  auto operator<=>(const CallKey&) const = default;
};

// What is kept of an answer. The body is kept up to a limit; a longer one is
// described by its digest and length only.
struct SavedAnswer {
  int status = 0;
  std::string content_type;
  // Hash128Hex of the whole body.
  std::string digest;
  uint64_t body_bytes = 0;
  bool body_kept = false;
  std::string body;

  bool operator==(const SavedAnswer&) const = default;
};

// What a host knows about a call that it holds a permit for.
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

// Message `permit`: a host asks the owner of the key's shard.
struct PermitRequest {
  ShardId shard = 0;
  CallKey key;
  std::string request_hash;
  common::UnixTime issued;
  HostId host;
  CallId call_id;
  // How much longer the host waits; the owner drops the request after that.
  std::chrono::milliseconds patience{0};
  // Outcomes of the same shard that no owner has confirmed to this host.
  std::vector<OutcomeReport> outcomes;
};

enum class PermitVerdict {
  kGranted,      // the intent is committed: this call may be sent once
  kReplay,       // the call with this key is done; `answer` is its answer
  kInProgress,   // another call with this key holds the permit
  kUnknown,      // another call with this key may have run
  kKeyReused,    // the key belongs to another request
  kTooOld,       // issued before the start of the retention period
  kTooNew,       // issued too far in the future
  kReleased,     // this call has reported that it ended before its first byte
  kNotOwner,     // the asked host has no right to answer; ask again
  kUnavailable,  // the intent could not be recorded
};

struct PermitReply {
  PermitVerdict verdict = PermitVerdict::kUnavailable;
  Term term = 0;
  // The call that holds the key when it is not the asking one.
  CallId holder;
  // The host that owns the shard now, when the asked one knows it.
  HostId owner;
  SavedAnswer answer;  // when the verdict is a replay
};

// Message `outcome`: reports of one shard.
struct OutcomeRequest {
  ShardId shard = 0;
  std::vector<OutcomeReport> outcomes;
};

struct OutcomeReply {
  // The reports are committed (or were superseded); the host forgets them.
  bool accepted = false;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_MESSAGES_H_
