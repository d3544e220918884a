#include "core/dispatch/stored_part.h"

#include <algorithm>

namespace jujuberock::dispatch {

namespace {

// Reading a part again takes engine time from others, which weighs as much as
// the waiting of the request itself.
constexpr double kReadWeight = 3;
constexpr double kSlackMs = 20;

}  // namespace

double TransferMs(const StoredPart& part, std::string_view engine_zone) {
  return part.zone == engine_zone ? part.transfer_ms
                                  : kOtherZoneTransfer * part.transfer_ms;
}

bool IsWorthFetching(const StoredPart& part,
                     int64_t tokens,
                     std::string_view engine_zone,
                     const FetchLimits& limits) {
  if (!part.readable)
    return false;
  const double read_ms = limits.read_token_ms * static_cast<double>(tokens);
  const double allowed_ms =
      std::min(limits.most_wait_ms, kReadWeight * read_ms + kSlackMs);
  return part.wait_ms + TransferMs(part, engine_zone) <= allowed_ms;
}

}  // namespace jujuberock::dispatch
