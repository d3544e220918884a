#include "platform/notice.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "platform/wire_names.h"

namespace jujuberock::platform_adapter {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr int kMisdirected = 421;
// Longer times are cut to this, so that they can be computed with.
constexpr double kMaxSeconds = 24 * 60 * 60;
constexpr int64_t kMaxBrittleLimit = 1'000'000;

// Dates, the other form of the field, are not used by endpoints.
std::optional<common::Duration> ParseSeconds(std::string_view text) {
  double seconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, seconds);
  if (parsed.ec != std::errc() || parsed.ptr != end ||
      !std::isfinite(seconds) || seconds < 0)
    return std::nullopt;
  return common::FromSeconds(std::min(seconds, kMaxSeconds));
}

// A limit that is not a number counts as the lowest one, since the endpoint
// does say that it is brittle.
int64_t ParseLimit(std::string_view text) {
  int64_t limit = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, limit);
  if (parsed.ec == std::errc::result_out_of_range && !text.starts_with('-'))
    return kMaxBrittleLimit;
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return 0;
  return std::clamp<int64_t>(limit, 0, kMaxBrittleLimit);
}

}  // namespace

catalog::EndpointNotice DecodeNotice(int status,
                                     const runtime::HttpHeaders& headers) {
  catalog::EndpointNotice notice;
  notice.is_of_other = status == kMisdirected;
  if (notice.is_of_other)
    return notice;
  notice.is_leaving = headers.Find(wire::kServerLeaving) == "1";
  const auto retry_after = headers.Find(wire::kRetryAfter);
  if (status == kServiceUnavailable && retry_after)
    notice.retry_after = ParseSeconds(*retry_after);
  if (const auto limit = headers.Find(wire::kServerBrittle))
    notice.brittle_limit = ParseLimit(*limit);
  return notice;
}

}  // namespace jujuberock::platform_adapter
