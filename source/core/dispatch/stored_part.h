#ifndef CORE_DISPATCH_STORED_PART_H_
#define CORE_DISPATCH_STORED_PART_H_

#include <cstdint>
#include <limits>
#include <string_view>

namespace jujuberock::dispatch {

// Availability and cost of fetching one prompt part from a cache store.
struct StoredPart {
  // Whether a store that answers holds the complete part.
  bool readable = false;
  // Availability zone of that store.
  std::string_view zone;
  // Time until the store's link is free.
  double wait_ms = 0;
  // Duration of the transfer within one zone.
  double transfer_ms = 0;
};

// Limits and rates that decide whether a fetch is worth its cost.
struct FetchLimits {
  // Time that a single fetch may take.
  double max_wait_ms = 0;
  // Time that an engine takes to prefill one token.
  double prefill_token_ms = 0.02;
  // Time until all fetches of a prompt must have ended, because later ones are
  // discarded.
  double max_end_ms = std::numeric_limits<double>::infinity();
};

// Transfers between zones take this many times as long.
inline constexpr double kCrossZoneTransferFactor = 2;

// Time that a transfer to an engine in `engine_zone` occupies the links.
double TransferMs(const StoredPart& part, std::string_view engine_zone);

// Time from the send until the part has been fetched, after the fetches of the
// parts before it, which take `fetch_ms`.
double FetchEndMs(const StoredPart& part,
                  std::string_view engine_zone,
                  double fetch_ms);

// Returns whether fetching the part costs less than prefilling it, which takes
// engine time from other requests, and whether it ends before it is discarded,
// after the fetches of the parts before it. A chain of fetches that are each
// short enough may come too late.
bool IsWorthFetching(const StoredPart& part,
                     int64_t tokens,
                     std::string_view engine_zone,
                     double fetch_ms,
                     const FetchLimits& limits);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_STORED_PART_H_
