#ifndef CORE_JOURNAL_SHARD_OWNER_H_
#define CORE_JOURNAL_SHARD_OWNER_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "core/common/time.h"
#include "core/journal/messages.h"
#include "core/journal/options.h"
#include "core/journal/record.h"
#include "core/platform/object.h"

namespace jujuberock::journal {

// Names the party that waits for a reply; chosen by the code around the owner.
using ReplyTo = uint64_t;

struct ReadAction {
  std::string name;
};

struct WriteAction {
  std::string name;
  platform::Version expected = 0;
  std::string body;
  std::string token;
};

struct PermitReplyAction {
  ReplyTo to = 0;
  PermitReply reply;
};

struct OutcomeReplyAction {
  ReplyTo to = 0;
  OutcomeReply reply;
};

struct OwnerActions {
  std::vector<ReadAction> reads;
  std::vector<WriteAction> writes;
  std::vector<std::string> deletes;
  std::vector<PermitReplyAction> permits;
  std::vector<OutcomeReplyAction> outcomes;
};

// The state of one shard on one host. It becomes owner when it is asked for a
// permit: it reads the head and writes it back with a higher term. All changes
// go through conditional writes of the head, one at a time; a reply that
// depends on a change leaves after the write is known to have taken effect.
class ShardOwner {
 public:
  using IsLive = std::function<bool(const HostId&)>;
  // Makes a token that no other write ever carries.
  using MakeToken = std::function<std::string()>;

  ShardOwner(const Options& options,
             ShardId shard,
             HostId host,
             IsLive is_live,
             MakeToken make_token);

  OwnerActions OnPermitRequest(const PermitRequest& request,
                               ReplyTo to,
                               common::TimePoint now,
                               common::UnixTime wall);
  OwnerActions OnOutcome(const OutcomeRequest& request,
                         ReplyTo to,
                         common::TimePoint now,
                         common::UnixTime wall);
  // `name` and `token` are those of the write.
  OwnerActions OnWriteReply(const std::string& name,
                            const std::string& token,
                            const platform::WriteResult& result,
                            common::TimePoint now,
                            common::UnixTime wall);
  // `object` is empty when the object does not exist; `ok` is false when the
  // platform did not answer.
  OwnerActions OnReadReply(const std::string& name,
                           bool ok,
                           const std::optional<platform::Object>& object,
                           common::TimePoint now,
                           common::UnixTime wall);
  OwnerActions OnTick(common::TimePoint now, common::UnixTime wall);

  // When OnTick() must be called next, if ever.
  std::optional<common::TimePoint> NextWake() const;
  bool active() const { return this->state == State::kActive; }
  Term term() const { return this->head.term; }
  // Nothing waits to be committed.
  bool settled() const;
  // Records in memory and records known only by their key's hash.
  size_t head_records() const { return this->records.size(); }
  size_t sealed_records() const { return this->sealed.size(); }

 private:
  enum class State { kIdle, kReadingHead, kTakingOver, kLoading, kActive };
  struct Waiting;
  struct PendingWrite;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_SHARD_OWNER_H_
