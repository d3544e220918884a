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

}  // namespace

catalog::EndpointNotice DecodeNotice(int status,
                                     const runtime::HttpHeaders& headers) {
  catalog::EndpointNotice notice;
  if (status == kMisdirected)
    return notice;
  notice.is_leaving = headers.Find(wire::kServerLeaving) == "1";
  const auto retry_after = headers.Find(wire::kRetryAfter);
  if (status == kServiceUnavailable && retry_after)
    notice.retry_after = ParseSeconds(*retry_after);
  return notice;
}

}  // namespace jujuberock::platform_adapter
