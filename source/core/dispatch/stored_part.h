#ifndef CORE_DISPATCH_STORED_PART_H_
#define CORE_DISPATCH_STORED_PART_H_

#include <cstdint>
#include <string_view>

namespace jujuberock::dispatch {

// A part of a prompt as a cache store can give it to an engine.
struct StoredPart {
  // A store that answers has the whole part.
  bool readable = false;
  // Zone of that store.
  std::string_view zone;
  // Time until the store's link is free.
  double wait_ms = 0;
  // Time of the transfer inside one zone.
  double transfer_ms = 0;
};

// What a fetch may cost.
struct FetchLimits {
  double most_wait_ms = 0;
  // Time that an engine takes to read a token of a prompt.
  double read_token_ms = 0.02;
};

// Transfers between zones take this much longer.
inline constexpr double kOtherZoneTransfer = 2;

// Time that a transfer to an engine of this zone occupies the links.
double TransferMs(const StoredPart& part, std::string_view engine_zone);

// Fetching the part costs less than reading it, which takes engine time from
// other requests, and not too much of the request's own time.
bool IsWorthFetching(const StoredPart& part,
                     int64_t tokens,
                     std::string_view engine_zone,
                     const FetchLimits& limits);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_STORED_PART_H_
