#ifndef CORE_JOURNAL_RECORD_H_
#define CORE_JOURNAL_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/common/time.h"
#include "core/journal/messages.h"

namespace jujuberock::journal {

enum class RecordState {
  kGranted,   // the call may be sent, is being sent or was sent
  kUnknown,   // the call was sent and its host received no answer
  kDone,      // the call was answered
  kReleased,  // the call ended before its first byte and will never be sent
};

// Stored state of one key.
struct Record {
  CallKey key;
  std::string request_hash;
  common::UnixTime issued;
  RecordState state = RecordState::kGranted;
  // The host and call that were granted the permit.
  HostId host;
  CallId call_id;
  // Term in which the permit was granted.
  Term term = 0;
  SavedAnswer answer;
};

// A sealed segment: an immutable object that is deleted once all its records
// are older than the retention floor.
struct SegmentInfo {
  std::string name;
  common::UnixTime newest_issued;
  uint64_t records = 0;
};

// An object that lists sealed segments with the hashes of their keys, so that
// a takeover reads one object instead of many.
struct IndexInfo {
  std::string name;
  common::UnixTime newest_issued;
  uint64_t records = 0;
};

struct IndexedSegment {
  std::string name;
  // HashKey() of every key in the segment.
  std::vector<uint64_t> hashes;
};

// The mutable object of a shard, replaced by conditional writes.
struct Head {
  Term term = 0;
  HostId owner;
  // Calls issued before this time are refused, and only their records are
  // dropped. It is stored and never decreases, so that hosts with different
  // clocks agree on it.
  common::UnixTime floor;
  // Era of the platform's store in which this head was in force, and the issue
  // time before which calls may have run whose records the store has lost when
  // it came back from an older copy.
  uint64_t store_era = 0;
  common::UnixTime lost_until;
  // Number for the next segment or index of this term.
  uint64_t next_object = 0;
  std::vector<SegmentInfo> segments;  // segments not listed by an index
  std::vector<IndexInfo> indexes;
};

struct HeadContent {
  Head head;
  std::vector<Record> records;
};

uint64_t HashKey(const CallKey& key);
// The shard that holds the key.
ShardId ShardOf(const CallKey& key, uint32_t shards);

// One record as a JSON array.
std::string RenderRecord(const Record& record);
// Bodies of the stored objects. `records` holds rendered records separated by
// commas. Parsing throws common::Error kProtocolError for malformed text.
std::string RenderHead(const Head& head, std::string_view records);
HeadContent ParseHead(std::string_view body);
std::string RenderSegment(std::string_view records);
std::vector<Record> ParseSegment(std::string_view body);
std::string RenderIndex(const std::vector<IndexedSegment>& segments);
std::vector<IndexedSegment> ParseIndex(std::string_view body);

// Names of the stored objects. The name of a segment or index includes the term
// that wrote it, so a former owner can not modify those of its successors.
std::string HeadName(ShardId shard);
std::string SegmentName(ShardId shard, Term term, uint64_t number);
std::string IndexName(ShardId shard, Term term, uint64_t number);
// The shard of the object with this name, if it belongs to a shard.
std::optional<ShardId> ShardOfObject(std::string_view name);

// Name of the object that stores the number of shards for all hosts.
inline constexpr char kLayoutName[] = "layout";
std::string RenderLayout(uint32_t shards);
// Throws common::Error kProtocolError for malformed text.
uint32_t ParseLayout(std::string_view body);

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_RECORD_H_
