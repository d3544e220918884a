#include "core/dispatch/stored_part.h"

#include <algorithm>

namespace jujuberock::dispatch {

namespace {

// Prefilling a part again takes engine time from other requests, so it weighs
// more than a delay of the request itself.
constexpr double kPrefillWeight = 3;
// A fetch may take this much longer than the weighted prefill, so that short
// parts are fetched at all.
constexpr double kSlackMs = 20;

}  // namespace

double TransferMs(const StoredPart& part, std::string_view engine_zone) {
  return part.zone == engine_zone ? part.transfer_ms
                                  : kCrossZoneTransferFactor * part.transfer_ms;
}

double FetchEndMs(const StoredPart& part,
                  std::string_view engine_zone,
                  double fetch_ms) {
  return std::max(fetch_ms, part.wait_ms) + TransferMs(part, engine_zone);
}

bool IsWorthFetching(const StoredPart& part,
                     int64_t tokens,
                     std::string_view engine_zone,
                     double fetch_ms,
                     const FetchLimits& limits) {
  if (!part.readable)
    return false;
  const double prefill_ms =
      limits.prefill_token_ms * static_cast<double>(tokens);
  const double max_fetch_ms =
      std::min(limits.max_wait_ms, kPrefillWeight * prefill_ms + kSlackMs);
  return part.wait_ms + TransferMs(part, engine_zone) <= max_fetch_ms &&
         FetchEndMs(part, engine_zone, fetch_ms) <= limits.max_end_ms;
}

}  // namespace jujuberock::dispatch
