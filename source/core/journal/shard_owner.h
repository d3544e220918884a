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

// Identifies the requester that waits for a reply; assigned by the caller.
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

// State machine of one shard on one host. On the first permit request or
// outcome it takes over the shard: it reads the head and writes it back with a
// higher term. All changes are committed by conditional writes of the head, one
// at a time. A reply that depends on a change is sent only after the write is
// known to have taken effect.
class ShardOwner {
 public:
  using IsLive = std::function<bool(const HostId&)>;
  // Returns a token that is unique among all writes.
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
  // `name` and `token` identify the write.
  OwnerActions OnWriteReply(const std::string& name,
                            const std::string& token,
                            const platform::WriteResult& result,
                            common::TimePoint now,
                            common::UnixTime wall);
  // `ok` is false if the platform did not answer. `object` is empty if the
  // object does not exist.
  OwnerActions OnReadReply(const std::string& name,
                           bool ok,
                           const std::optional<platform::Object>& object,
                           common::TimePoint now,
                           common::UnixTime wall);
  OwnerActions OnTick(common::TimePoint now, common::UnixTime wall);

  // Time at which OnTick() must be called next, if any.
  std::optional<common::TimePoint> NextWakeup() const;
  bool active() const { return this->state == State::kActive; }
  Term term() const { return this->head.term; }
  // Commits pending outcomes without waiting for an intent.
  OwnerActions Flush(common::TimePoint now, common::UnixTime wall);
  // No write or change is pending.
  bool drained() const;
  // Number of records held in memory, and of sealed records, of which only the
  // key hashes are in memory.
  size_t head_records() const { return this->records.size(); }
  size_t sealed_records() const;

 private:
  enum class State { kIdle, kReadingHead, kTakingOver, kLoading, kActive };

  struct PendingPermit {
    PermitRequest request;
    ReplyTo to = 0;
    common::TimePoint deadline;
    // Sealed segments already found not to hold the key.
    std::unordered_set<std::string> searched_segments;
  };
  struct PendingOutcomeRequest {
    OutcomeRequest request;
    ReplyTo to = 0;
  };
  struct Entry {
    Record record;
    std::string text;
    // Number of the last change to the record.
    uint64_t change = 0;
    // Included in the segment that is being written.
    bool sealing = false;
  };
  // A conditional write whose effect is not known yet. Retries use the same
  // body and token, so that it does not matter which copy takes effect.
  struct PendingWrite {
    WriteAction write;
    bool reading = false;
    std::optional<common::TimePoint> retry_at;
    // New version of the object, set once the write took effect.
    platform::Version version = 0;
    // Owner named in the head that superseded this write, if any.
    HostId new_owner;
    // Changes up to this number are included (head).
    uint64_t change = 0;
    std::vector<std::string> deletes;
    // The new segment or index, and for a segment the entries that it seals.
    SegmentInfo segment;
    std::vector<uint64_t> entries;
    bool is_index = false;
  };
  enum class WriteResolution { kUnresolved, kApplied, kSuperseded };
  struct LoadProgress {
    size_t next = 0;
    size_t in_flight = 0;
    size_t remaining = 0;
    std::map<std::string, common::TimePoint> retries;
  };
  struct SegmentLookup {
    std::vector<PendingPermit> pending_permits;
    std::optional<common::TimePoint> retry_at;
  };
  // Sorted hashes of the keys in one segment, or in all segments of an index,
  // with the position of each key's segment. Takes ten bytes per record.
  struct SealedGroup {
    std::vector<std::string> segments;
    std::vector<uint64_t> hashes;
    std::vector<uint16_t> positions;
  };
  struct KeyHasher {
    size_t operator()(const CallKey& key) const { return HashKey(key); }
  };

  // Ownership.
  void AcquireOwnership(common::TimePoint now);
  void OnHeadRead(bool ok,
                  const std::optional<platform::Object>& object,
                  common::TimePoint now);
  void TakeOver(const std::optional<platform::Object>& object);
  void OnTakenOver(common::TimePoint now, common::UnixTime wall);
  // Checks the era in which the head was written. In a new one, records of
  // calls that have run may be lost.
  void CheckEra(uint64_t era, common::UnixTime wall);
  void InsertEntry(Entry entry);
  void LoadMore();
  void OnSealedLoaded(const std::string& name,
                      bool ok,
                      const std::optional<platform::Object>& object,
                      common::TimePoint now,
                      common::UnixTime wall);
  void Activate(common::TimePoint now, common::UnixTime wall);
  // Refuses all pending requests because this host is no longer the owner.
  void LoseOwnership(const HostId& new_owner, common::TimePoint now);
  void ResetShard();
  void Reply(ReplyTo to, PermitDecision decision);
  void RefuseOverdue(common::TimePoint now);

  // Decisions on single keys.
  void DecidePermit(PendingPermit pending,
                    common::TimePoint now,
                    common::UnixTime wall);
  void DecideByRecord(const PendingPermit& pending,
                      const Entry& entry,
                      common::UnixTime wall);
  PermitDecision DecisionForOtherCall(const Record& record,
                                      common::UnixTime wall) const;
  // Reads the next segment that may hold the key. Returns false if there is
  // none left.
  bool SearchSealed(PendingPermit& pending);
  void OnLookupRead(const std::string& name,
                    bool ok,
                    const std::optional<platform::Object>& object,
                    common::TimePoint now,
                    common::UnixTime wall);
  void AddIntent(const PendingPermit& pending, common::TimePoint now);
  void ApplyOutcomes(const std::vector<OutcomeReport>& reports,
                     common::TimePoint now);
  void ApplyOutcome(const OutcomeReport& report, common::TimePoint now);
  void ReplyWhenCommitted(const std::vector<OutcomeReport>& reports,
                          ReplyTo to,
                          common::TimePoint now);
  bool IsSealed(const CallKey& key) const;
  void MarkChanged(Entry& entry);
  bool IsKnownReleased(const CallId& call_id) const;
  void RememberReleased(const CallId& call_id);
  // Removes an intent that no write has included yet.
  void WithdrawIntent(uint64_t number);

  // Writes.
  void WriteIfDue(common::TimePoint now, common::UnixTime wall);
  std::optional<common::TimePoint> NextWriteAt() const;
  void StartHeadWrite();
  void DropExpired(common::UnixTime wall);
  void SealIfLarge();
  void IndexIfMany();
  void OnSegmentSealed(const PendingWrite& pending);
  void OnIndexWritten(const PendingWrite& pending);
  static SealedGroup MakeGroup(std::vector<IndexedSegment> segments);
  bool IsIndex(const std::string& name) const;
  // Segments that hold a key with this hash, except those in
  // `searched_segments`.
  std::vector<std::string> FindSegmentsByHash(
      uint64_t hash,
      const std::unordered_set<std::string>& searched_segments) const;
  bool IsListed(const std::string& segment) const;
  size_t HeadBytes() const;
  void Send(PendingWrite& pending);
  WriteResolution ResolveByResult(PendingWrite& pending,
                                  const platform::WriteResult& result,
                                  common::TimePoint now);
  WriteResolution ResolveByRead(PendingWrite& pending,
                                bool ok,
                                const std::optional<platform::Object>& object,
                                common::TimePoint now);
  WriteResolution ResolveByObject(PendingWrite& pending,
                                  const platform::Object& object);
  void OnHeadWriteResolved(WriteResolution resolution,
                           common::TimePoint now,
                           common::UnixTime wall);
  void OnSealWriteResolved(WriteResolution resolution, common::TimePoint now);
  void Retry(PendingWrite& pending, common::TimePoint now);
  void SendDeferredReplies();
  void EraseEntry(uint64_t number);
  OwnerActions TakeActions();

  const Options& options;
  ShardId shard;
  HostId host;
  IsLive is_live;
  MakeToken make_token;

  State state = State::kIdle;
  platform::Version version = 0;
  Head head;
  std::optional<common::TimePoint> head_read_retry;
  common::TimePoint earliest_acquire;
  HostId last_known_owner;
  // Objects that the previous owner may have written without listing them.
  std::vector<std::string> orphans;
  // Expired objects, deleted once a head that no longer lists them is written.
  std::vector<std::string> expired_objects;
  LoadProgress load_progress;
  std::vector<PendingPermit> pending_permits;
  std::vector<PendingOutcomeRequest> pending_outcomes;

  // Records of the head by entry number, in the order of their intents.
  std::map<uint64_t, Entry> records;
  std::unordered_map<CallKey, uint64_t, KeyHasher> by_key;
  uint64_t next_entry = 0;
  size_t record_bytes = 0;
  // Key hashes by the name of the segment or index.
  std::map<std::string, SealedGroup> sealed;
  std::map<std::string, SegmentLookup> lookups;
  // Calls reported as kNotRun for which this owner holds no intent.
  std::deque<CallId> released_calls;

  uint64_t last_change = 0;
  // Last change included in a write; that write may still take effect.
  uint64_t sent_change = 0;
  uint64_t committed_change = 0;
  std::optional<common::TimePoint> first_intent_at;
  std::optional<common::TimePoint> first_outcome_at;
  // Rate limit: the time by which the writes so far are spread out at one per
  // WriteSpacing().
  common::TimePoint write_budget_end;
  std::optional<PendingWrite> head_write;
  std::optional<PendingWrite> seal_write;
  std::multimap<uint64_t, PermitReplyAction> deferred_permits;
  std::multimap<uint64_t, OutcomeReplyAction> deferred_outcomes;
  OwnerActions actions;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_SHARD_OWNER_H_
