#ifndef CORE_STREAMS_ORIGIN_RECORD_H_
#define CORE_STREAMS_ORIGIN_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::streams {

// Identifies the attempt of a caller that began a stream: the hash of its id,
// since callers choose ids of any length.
using AttemptKey = uint64_t;
AttemptKey KeyOf(std::string_view attempt_id);

// What wrote the first event of a stream. Only endpoints of the same service
// and software version may go on with it.
struct StreamOrigin {
  std::string service;
  std::string software;

  friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

// The streams that a host has begun, by service and software version; stored as
// JSON in the host's own object.
using OriginRecord =
    std::map<std::string, std::map<std::string, std::vector<AttemptKey>>>;

std::string RenderOriginRecord(const OriginRecord& record);
// Returns nothing if the text is not a valid record.
std::optional<OriginRecord> ParseOriginRecord(std::string_view text);

}  // namespace jujuberock::streams

#endif  // CORE_STREAMS_ORIGIN_RECORD_H_
