#ifndef CORE_STREAMS_ORIGIN_TABLE_H_
#define CORE_STREAMS_ORIGIN_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "core/common/time.h"
#include "core/streams/origin_record.h"

namespace jujuberock::streams {

// Which software version writes each stream that this host has begun, or that
// it was told of. An entry is kept until nobody takes the stream up any more.
// The number of entries is bounded. Not thread-safe.
class OriginTable {
 public:
  static constexpr size_t kDefaultCapacity = 16384;

  explicit OriginTable(size_t capacity = kDefaultCapacity)
      : capacity(capacity) {}

  // Records the origin of a stream, or replaces it. Nobody takes the stream up
  // after `expires_at`. If the table is full, the entry that expires first is
  // dropped.
  void Bind(AttemptKey attempt,
            const StreamOrigin& origin,
            common::TimePoint expires_at);
  // Makes the entry expire at `expires_at`, if that is earlier.
  void Shorten(AttemptKey attempt, common::TimePoint expires_at);
  std::optional<StreamOrigin> Find(AttemptKey attempt) const;
  void Expire(common::TimePoint now);

  // Increases whenever an origin is recorded or replaced.
  uint64_t sequence() const { return this->last_sequence; }
  // The sequence number of the entry; 0 if there is none.
  uint64_t SequenceOf(AttemptKey attempt) const;
  // Returns the entries of these services.
  OriginRecord RecordOf(const std::set<std::string>& services) const;
  size_t size() const { return this->entries.size(); }

 private:
  struct Entry {
    StreamOrigin origin;
    common::TimePoint expires_at;
    uint64_t sequence = 0;
  };

  void DropFirstToExpire();

  size_t capacity;
  std::unordered_map<AttemptKey, Entry> entries;
  uint64_t last_sequence = 0;
};

}  // namespace jujuberock::streams

#endif  // CORE_STREAMS_ORIGIN_TABLE_H_
