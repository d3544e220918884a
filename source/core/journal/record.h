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
  kGranted,   // the named call may be sent, is being sent or was sent
  kUnknown,   // it was sent and its host saw no answer
  kDone,      // it was answered
  kReleased,  // it ended before its first byte and will never be sent
};

// What a shard keeps about one key.
struct Record {
  CallKey key;
  std::string request_hash;
  common::UnixTime issued;
  RecordState state = RecordState::kGranted;
  // The host that was granted the permit, and its call.
  HostId host;
  CallId call_id;
  // Term of the grant.
  Term term = 0;
  SavedAnswer answer;
};

// A sealed segment: an object that is never changed, only deleted once every
// record in it is older than the retention floor.
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

// The changing object of a shard.
struct Head {
  Term term = 0;
  HostId owner;
  // Calls issued before it are refused, and only their records are dropped. It
  // is stored and never falls, so hosts with differing clocks agree.
  common::UnixTime floor;
  // Number of the next segment or index of this term.
  uint64_t next_object = 0;
  std::vector<SegmentInfo> segments;  // those that no index lists
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
// The bodies of a head and of a segment; `records` are rendered records joined
// by commas. Parsing throws common::Error kProtocolError for malformed text.
std::string RenderHead(const Head& head, std::string_view records);
HeadContent ParseHead(std::string_view body);
std::string RenderSegment(std::string_view records);
std::vector<Record> ParseSegment(std::string_view body);
std::string RenderIndex(const std::vector<IndexedSegment>& segments);
std::vector<IndexedSegment> ParseIndex(std::string_view body);

// Names of the objects. The name of a segment or index carries the term that
// wrote it, so a former owner can never touch those of its successors.
std::string HeadName(ShardId shard);
std::string SegmentName(ShardId shard, Term term, uint64_t number);
std::string IndexName(ShardId shard, Term term, uint64_t number);
// The shard that an object of these names belongs to.
std::optional<ShardId> ShardOfObject(std::string_view name);

// The object that fixes the number of shards for all hosts.
inline constexpr char kLayoutName[] = "layout";
std::string RenderLayout(uint32_t shards);
// Throws common::Error kProtocolError for malformed text.
uint32_t ParseLayout(std::string_view body);

}  // namespace jujuberock::journal

#endif  // CORE_JOURNAL_RECORD_H_
