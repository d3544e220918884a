#ifndef CORE_ROLLOUT_LEASE_RECORD_H_
#define CORE_ROLLOUT_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::rollout {

// Stored record of the lease that lets one host, the holder, send orders to
// endpoints. The other hosts read from it which endpoints currently take no new
// requests.
struct LeaseRecord {
  // Host that holds the lease; empty after it was released.
  std::string holder;
  // Fencing token of the holder's orders; increases whenever the lease is
  // taken.
  uint64_t token = 0;
  // Increases with each renewal, so that every renewal changes the record.
  uint64_t renewals = 0;
  // Whether orders were sent with this token.
  bool ordered = false;
  std::string model;
  uint64_t version = 0;
  // Endpoints that are about to get an order or are executing one.
  std::vector<std::string> reserved;
  // Endpoints that already have the version.
  std::vector<std::string> updated;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string RenderLeaseRecord(const LeaseRecord& record);
// Returns nothing if the text is not a valid record.
std::optional<LeaseRecord> ParseLeaseRecord(std::string_view text);

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_LEASE_RECORD_H_
