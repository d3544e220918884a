#include "core/platform/era_token.h"

#include <algorithm>
#include <charconv>

namespace jujuberock::platform {

namespace {

constexpr std::string_view kPrefix = "era-";
constexpr char kSeparator = ':';

}  // namespace

std::string AddEra(uint64_t era, std::string_view token) {
  if (era == 0)
    return std::string(token);
  return std::string(kPrefix) + std::to_string(era) + kSeparator +
         std::string(token);
}

void TakeEra(Object& object, uint64_t newest_era) {
  const std::string& token = object.token;
  if (!token.starts_with(kPrefix))
    return;
  uint64_t era = 0;
  const char* const end = token.data() + token.size();
  const auto parsed = std::from_chars(token.data() + kPrefix.size(), end, era);
  if (parsed.ec != std::errc() || parsed.ptr == end ||
      *parsed.ptr != kSeparator)
    return;
  object.version =
      MakeVersion(std::min(era, newest_era), RevisionOf(object.version));
  object.token = std::string(parsed.ptr + 1, end);
}

}  // namespace jujuberock::platform
