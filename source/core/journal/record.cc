#include "core/journal/record.h"

#include <openssl/evp.h>

#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <system_error>

#include "core/common/error.h"
#include "core/common/hash.h"
#include "core/common/json_decode.h"
#include "core/common/json_number.h"

namespace jujuberock::journal {

namespace {

using nlohmann::json;

// Version of the storage format; objects of another version are rejected.
constexpr int kFormatVersion = 1;

// Answer bodies may hold any bytes, which JSON strings can not.
std::string ToBase64(std::string_view bytes) {
  std::string text((bytes.size() + 2) / 3 * 4 + 1, '\0');
  const int length =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                      reinterpret_cast<const unsigned char*>(bytes.data()),
                      static_cast<int>(bytes.size()));
  text.resize(static_cast<size_t>(length));
  return text;
}

[[noreturn]] void ThrowMalformedBase64() {
  throw common::Error(common::ResultCode::kProtocolError,
                      "journal: malformed base64 in a stored object");
}

std::string FromBase64(const std::string& text, uint64_t size) {
  std::string bytes(text.size(), '\0');
  const int length =
      EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  if (length < 0 || static_cast<uint64_t>(length) < size)
    ThrowMalformedBase64();
  bytes.resize(size);
  return bytes;
}

int64_t ToMillis(common::UnixTime time) {
  return time.time_since_epoch().count();
}

common::UnixTime FromMillis(const json& value) {
  return common::UnixTime(std::chrono::milliseconds(value.get<int64_t>()));
}

// Replaces invalid UTF-8: callers choose the key and endpoints choose the
// content type, so neither is guaranteed to be valid.
std::string Dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

Record RecordFromJson(const json& value) {
  Record record;
  record.key = {value.at(0).get<std::string>(), value.at(1).get<std::string>()};
  record.request_hash = value.at(2).get<std::string>();
  record.issued = FromMillis(value.at(3));
  const int state = value.at(4).get<int>();
  if (state < 0 || state > static_cast<int>(RecordState::kReleased))
    throw common::Error(common::ResultCode::kProtocolError,
                        "journal: a stored record has an unknown state");
  record.state = static_cast<RecordState>(state);
  record.host = value.at(5).get<std::string>();
  record.call_id = value.at(6).get<std::string>();
  record.term = common::GetUnsigned(value.at(7));
  if (value.size() <= 8)
    return record;
  SavedAnswer& answer = record.answer;
  answer.status = value.at(8).get<int>();
  answer.content_type = value.at(9).get<std::string>();
  answer.digest = value.at(10).get<std::string>();
  answer.body_bytes = common::GetUnsigned(value.at(11));
  answer.body_kept = !value.at(12).is_null();
  if (answer.body_kept)
    answer.body =
        FromBase64(value.at(12).get<std::string>(), answer.body_bytes);
  return record;
}

std::vector<Record> RecordsFromJson(const json& values) {
  std::vector<Record> records;
  records.reserve(values.size());
  for (const json& value : values)
    records.push_back(RecordFromJson(value));
  return records;
}

template <typename Parse>
auto ParseObject(std::string_view body, Parse parse) {
  return common::DecodeJson(
      "journal: malformed stored object", body, [&](const json& value) {
        if (value.at("format").get<int>() != kFormatVersion)
          throw common::Error(
              common::ResultCode::kProtocolError,
              "journal: a stored object has an unsupported format version");
        return parse(value);
      });
}

std::string TwoDigits(ShardId shard) {
  const std::string digits = std::to_string(shard);
  return digits.size() < 2 ? "0" + digits : digits;
}

}  // namespace

uint64_t HashKey(const CallKey& key) {
  return common::Hash64(key.key, common::Hash64(key.team));
}

ShardId ShardOf(const CallKey& key, uint32_t shards) {
  return static_cast<ShardId>(HashKey(key) % shards);
}

std::string RenderRecord(const Record& record) {
  json value = {record.key.team,
                record.key.key,
                record.request_hash,
                ToMillis(record.issued),
                static_cast<int>(record.state),
                record.host,
                record.call_id,
                record.term};
  if (record.state == RecordState::kDone) {
    const SavedAnswer& answer = record.answer;
    value.push_back(answer.status);
    value.push_back(answer.content_type);
    value.push_back(answer.digest);
    value.push_back(answer.body_bytes);
    value.push_back(answer.body_kept ? json(ToBase64(answer.body)) : json());
  }
  return Dump(value);
}

std::string RenderHead(const Head& head, std::string_view records) {
  json segments = json::array();
  for (const SegmentInfo& segment : head.segments)
    segments.push_back(
        {segment.name, ToMillis(segment.newest_issued), segment.records});
  json indexes = json::array();
  for (const IndexInfo& index : head.indexes)
    indexes.push_back(
        {index.name, ToMillis(index.newest_issued), index.records});
  const json value = {{"format", kFormatVersion},
                      {"term", head.term},
                      {"owner", head.owner},
                      {"floor", ToMillis(head.floor)},
                      {"store_era", head.store_era},
                      {"lost_until", ToMillis(head.lost_until)},
                      {"next_object", head.next_object},
                      {"segments", std::move(segments)},
                      {"indexes", std::move(indexes)}};
  std::string body = Dump(value);
  body.back() = ',';
  body += "\"records\":[";
  body += records;
  body += "]}";
  return body;
}

HeadContent ParseHead(std::string_view body) {
  return ParseObject(body, [](const json& value) {
    HeadContent content;
    Head& head = content.head;
    head.term = common::GetUnsigned(value.at("term"));
    head.owner = value.at("owner").get<std::string>();
    head.floor = FromMillis(value.at("floor"));
    head.store_era = common::GetUnsignedOrZero(value, "store_era");
    if (value.contains("lost_until"))
      head.lost_until = FromMillis(value["lost_until"]);
    head.next_object = common::GetUnsigned(value.at("next_object"));
    for (const json& index : value.at("indexes"))
      head.indexes.push_back({index.at(0).get<std::string>(),
                              FromMillis(index.at(1)),
                              common::GetUnsigned(index.at(2))});
    for (const json& segment : value.at("segments"))
      head.segments.push_back({segment.at(0).get<std::string>(),
                               FromMillis(segment.at(1)),
                               common::GetUnsigned(segment.at(2))});
    content.records = RecordsFromJson(value.at("records"));
    return content;
  });
}

std::string RenderSegment(std::string_view records) {
  return "{\"format\":" + std::to_string(kFormatVersion) + ",\"records\":[" +
         std::string(records) + "]}";
}

std::vector<Record> ParseSegment(std::string_view body) {
  return ParseObject(body, [](const json& value) {
    return RecordsFromJson(value.at("records"));
  });
}

std::string RenderIndex(const std::vector<IndexedSegment>& segments) {
  json list = json::array();
  for (const IndexedSegment& segment : segments) {
    std::string bytes;
    bytes.reserve(segment.hashes.size() * sizeof(uint64_t));
    for (uint64_t hash : segment.hashes) {
      for (size_t i = 0; i < sizeof(uint64_t); ++i)
        bytes += static_cast<char>(hash >> (8 * i) & 0xff);
    }
    list.push_back({segment.name, segment.hashes.size(), ToBase64(bytes)});
  }
  return Dump({{"format", kFormatVersion}, {"segments", std::move(list)}});
}

std::vector<IndexedSegment> ParseIndex(std::string_view body) {
  return ParseObject(body, [](const json& value) {
    std::vector<IndexedSegment> segments;
    for (const json& item : value.at("segments")) {
      IndexedSegment segment;
      segment.name = item.at(0).get<std::string>();
      const size_t count = common::GetUnsigned(item.at(1));
      const auto text = item.at(2).get<std::string>();
      // Checked first, since the number of bytes may overflow.
      if (count > text.size())
        ThrowMalformedBase64();
      const std::string bytes = FromBase64(text, count * sizeof(uint64_t));
      segment.hashes.resize(count);
      for (size_t i = 0; i < bytes.size(); ++i)
        segment.hashes[i / sizeof(uint64_t)] |=
            uint64_t{static_cast<unsigned char>(bytes[i])}
            << (8 * (i % sizeof(uint64_t)));
      segments.push_back(std::move(segment));
    }
    return segments;
  });
}

std::string HeadName(ShardId shard) {
  return "shard-" + TwoDigits(shard);
}

std::string SegmentName(ShardId shard, Term term, uint64_t number) {
  return HeadName(shard) + ".t" + std::to_string(term) + ".s" +
         std::to_string(number);
}

std::string IndexName(ShardId shard, Term term, uint64_t number) {
  return HeadName(shard) + ".t" + std::to_string(term) + ".i" +
         std::to_string(number);
}

std::optional<ShardId> ShardOfObject(std::string_view name) {
  constexpr std::string_view kPrefix = "shard-";
  if (!name.starts_with(kPrefix))
    return std::nullopt;
  name.remove_prefix(kPrefix.size());
  ShardId shard = 0;
  const auto parsed =
      std::from_chars(name.data(), name.data() + name.size(), shard);
  if (parsed.ec != std::errc())
    return std::nullopt;
  return shard;
}

std::string RenderLayout(uint32_t shards) {
  return json{{"format", kFormatVersion}, {"shards", shards}}.dump();
}

uint32_t ParseLayout(std::string_view body) {
  return ParseObject(body, [](const json& value) {
    return static_cast<uint32_t>(common::GetUnsigned(
        value.at("shards"), std::numeric_limits<uint32_t>::max()));
  });
}

}  // namespace jujuberock::journal
