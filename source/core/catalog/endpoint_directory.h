#ifndef CORE_CATALOG_ENDPOINT_DIRECTORY_H_
#define CORE_CATALOG_ENDPOINT_DIRECTORY_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/types.h"
#include "core/common/time.h"

namespace jujuberock::catalog {

// The endpoints that have registered themselves. Entries may lapse while the
// platform's store is out of reach, although the endpoint is alive; removals
// that are seen right after an outage therefore take effect only when the
// entry has not come back in time.
class EndpointDirectory {
 public:
  // Time after an outage within which living endpoints register again.
  static constexpr common::Duration kReturnTime =
      std::chrono::milliseconds(2000);
  // Entries lapse only after several missed heartbeats, so removals after a
  // shorter failure are real.
  static constexpr common::Duration kShortestOutage =
      std::chrono::milliseconds(1000);

  // The store did not answer.
  void OnStoreFailure(common::TimePoint now);
  // The store answered.
  void OnStoreAnswer(common::TimePoint now);

  // All entries; what is missing was removed.
  void ReplaceAll(std::vector<Endpoint> endpoints, common::TimePoint now);
  void Upsert(Endpoint endpoint);
  void Remove(std::string_view id, common::TimePoint now);
  // Ends the tentative stay of entries that have not come back.
  void Expire(common::TimePoint now);

  const std::map<std::string, Endpoint, std::less<>>& endpoints() const {
    return this->entries;
  }
  // Rises with every change that Expire(), Upsert() and so on make.
  uint64_t generation() const { return this->changes; }

 private:
  bool RemovalsAreTentative(common::TimePoint now) const;

  std::map<std::string, Endpoint, std::less<>> entries;
  std::map<std::string, common::TimePoint, std::less<>> leave_at;
  std::optional<common::TimePoint> failing_since;
  std::optional<common::TimePoint> returned_at;
  uint64_t changes = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_ENDPOINT_DIRECTORY_H_
