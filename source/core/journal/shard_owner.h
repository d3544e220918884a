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
  // Commits outstanding outcomes without waiting for an intent.
  OwnerActions Flush(common::TimePoint now, common::UnixTime wall);
  // Nothing waits to be committed.
  bool settled() const;
  // Records in memory and records known only by their key's hash.
  size_t head_records() const { return this->records.size(); }
  size_t sealed_records() const;

 private:
  enum class State { kIdle, kReadingHead, kTakingOver, kLoading, kActive };

  struct Waiting {
    PermitRequest request;
    ReplyTo to = 0;
    common::TimePoint give_up;
    // Sealed segments known not to hold the key.
    std::unordered_set<std::string> searched;
  };
  struct WaitingOutcome {
    OutcomeRequest request;
    ReplyTo to = 0;
  };
  struct Entry {
    Record record;
    std::string text;
    // Number of the last change to it.
    uint64_t change = 0;
    // Part of the segment that is being written.
    bool sealing = false;
  };
  // A conditional write whose effect is not known yet. It is sent again with
  // the same body and token, so that it does not matter which copy lands.
  struct PendingWrite {
    WriteAction write;
    bool reading = false;
    std::optional<common::TimePoint> retry_at;
    // Set once it took effect.
    platform::Version version = 0;
    // Owner named by the object that superseded it, if any.
    HostId new_owner;
    // Changes up to this number are part of it (head).
    uint64_t change = 0;
    std::vector<std::string> deletes;
    // What is being sealed (segment), or listed (index).
    SegmentInfo segment;
    std::vector<uint64_t> entries;
    bool is_index = false;
  };
  enum class Settled { kNo, kTookEffect, kSuperseded };
  struct Load {
    size_t next = 0;
    size_t in_flight = 0;
    size_t left = 0;
    std::map<std::string, common::TimePoint> retries;
  };
  struct Lookup {
    std::vector<Waiting> waiting;
    std::optional<common::TimePoint> retry_at;
  };
  // The sorted hashes of the keys in one segment or in all those of an index,
  // with the position of each key's segment: ten bytes a record.
  struct SealedGroup {
    std::vector<std::string> segments;
    std::vector<uint64_t> hashes;
    std::vector<uint16_t> positions;
  };
  struct KeyHasher {
    size_t operator()(const CallKey& key) const { return HashKey(key); }
  };

  // Ownership.
  void Acquire(common::TimePoint now);
  void OnHeadRead(bool ok,
                  const std::optional<platform::Object>& object,
                  common::TimePoint now);
  void TakeOver(const std::optional<platform::Object>& object);
  void OnTakenOver(common::TimePoint now, common::UnixTime wall);
  void Insert(Entry entry);
  void LoadMore();
  void OnSealedLoaded(const std::string& name,
                      bool ok,
                      const std::optional<platform::Object>& object,
                      common::TimePoint now,
                      common::UnixTime wall);
  void Activate(common::TimePoint now, common::UnixTime wall);
  // Answers everybody who waits that this host is not the owner.
  void Lose(const HostId& new_owner, common::TimePoint now);
  void ForgetShard();
  void Reply(ReplyTo to, PermitVerdict verdict);
  void RefuseLate(common::TimePoint now);

  // Decisions about one key.
  void Decide(Waiting waiting, common::TimePoint now, common::UnixTime wall);
  void DecideByRecord(const Waiting& waiting,
                      const Entry& entry,
                      common::UnixTime wall);
  PermitVerdict VerdictForOther(const Record& record,
                                common::UnixTime wall) const;
  // Reads a segment that may hold the key; false when there is none left.
  bool SearchSealed(Waiting& waiting);
  void OnLookupRead(const std::string& name,
                    bool ok,
                    const std::optional<platform::Object>& object,
                    common::TimePoint now,
                    common::UnixTime wall);
  void AddIntent(const Waiting& waiting, common::TimePoint now);
  void ApplyOutcomes(const std::vector<OutcomeReport>& reports,
                     common::TimePoint now);
  void ApplyOutcome(const OutcomeReport& report, common::TimePoint now);
  void ReplyWhenCommitted(const std::vector<OutcomeReport>& reports,
                          ReplyTo to,
                          common::TimePoint now);
  bool IsSealed(const CallKey& key) const;
  void Touch(Entry& entry);
  bool IsKnownReleased(const CallId& call_id) const;
  void RememberReleased(const CallId& call_id);
  // Drops an intent that no write has carried.
  void Withdraw(uint64_t number);

  // Writes.
  void Pump(common::TimePoint now, common::UnixTime wall);
  std::optional<common::TimePoint> WriteDue() const;
  void StartHeadWrite();
  void DropExpired(common::UnixTime wall);
  void SealIfLarge();
  void IndexIfMany();
  void OnSealed(const PendingWrite& pending);
  void OnIndexed(const PendingWrite& pending);
  static SealedGroup MakeGroup(std::vector<IndexedSegment> segments);
  bool IsIndex(const std::string& name) const;
  // Segments that hold a key with this hash, unless in `searched`.
  std::vector<std::string> SegmentsWith(
      uint64_t hash,
      const std::unordered_set<std::string>& searched) const;
  bool IsListed(const std::string& segment) const;
  size_t HeadBytes() const;
  void Send(PendingWrite& pending);
  Settled Settle(PendingWrite& pending,
                 const platform::WriteResult& result,
                 common::TimePoint now);
  Settled SettleByRead(PendingWrite& pending,
                       bool ok,
                       const std::optional<platform::Object>& object,
                       common::TimePoint now);
  Settled SettleByObject(PendingWrite& pending, const platform::Object& object);
  void OnHeadSettled(Settled settled,
                     common::TimePoint now,
                     common::UnixTime wall);
  void OnSealSettled(Settled settled, common::TimePoint now);
  void Retry(PendingWrite& pending, common::TimePoint now);
  void ReleaseReplies();
  void EraseEntry(uint64_t number);
  OwnerActions Take();

  const Options& options;
  ShardId shard;
  HostId host;
  IsLive is_live;
  MakeToken make_token;

  State state = State::kIdle;
  platform::Version version = 0;
  Head head;
  std::optional<common::TimePoint> head_read_retry;
  common::TimePoint not_before;
  HostId last_known_owner;
  // Objects that the former owner may have written without listing them.
  std::vector<std::string> strays;
  // Objects that the next head write no longer lists.
  std::vector<std::string> expired;
  Load load;
  std::vector<Waiting> waiting;
  std::vector<WaitingOutcome> waiting_outcomes;

  // Records of the head in the order of their intents.
  std::map<uint64_t, Entry> records;
  std::unordered_map<CallKey, uint64_t, KeyHasher> by_key;
  uint64_t next_entry = 0;
  size_t record_bytes = 0;
  // By the name of the segment or index.
  std::map<std::string, SealedGroup> sealed;
  std::map<std::string, Lookup> lookups;
  // Calls that reported kNotRun before any intent of theirs arrived here.
  std::deque<CallId> released_calls;

  uint64_t last_change = 0;
  // Changes that some write has carried; it may still take effect.
  uint64_t sent_change = 0;
  uint64_t committed_change = 0;
  std::optional<common::TimePoint> first_intent;
  std::optional<common::TimePoint> first_outcome;
  // When the writes so far are paid for, one for each spacing.
  common::TimePoint write_budget_end;
  std::optional<PendingWrite> head_write;
  std::optional<PendingWrite> seal_write;
  std::multimap<uint64_t, PermitReplyAction> deferred_permits;
  std::multimap<uint64_t, OutcomeReplyAction> deferred_outcomes;
  OwnerActions actions;
};

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_SHARD_OWNER_H_
