#ifndef CORE_ROLLOUT_LEASE_RECORD_H_
#define CORE_ROLLOUT_LEASE_RECORD_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::rollout {

// The object that makes one host the holder of all orders to endpoints. The
// other hosts read from it which endpoints take nothing new for a while.
struct LeaseRecord {
  // Empty after a release.
  std::string holder;
  // Fencing token of the holder's orders; rises with each change of holder.
  uint64_t token = 0;
  // Rises with each renewal, so that every renewal shows as a change.
  uint64_t renewals = 0;
  // Whether orders were given under this token.
  bool ordered = false;
  std::string model;
  uint64_t version = 0;
  // Endpoints that get an order next, or carry one out.
  std::vector<std::string> reserved;
  // Endpoints that are reserved soon: long runs should not begin there.
  std::vector<std::string> upcoming;
  // Endpoints that have the version already.
  std::vector<std::string> updated;

  friend bool operator==(const LeaseRecord&, const LeaseRecord&) = default;
};

std::string RenderLeaseRecord(const LeaseRecord& record);
// Nothing when the text is no record.
std::optional<LeaseRecord> ParseLeaseRecord(std::string_view text);

}  // namespace jujuberock::rollout

#endif  // CORE_ROLLOUT_LEASE_RECORD_H_
