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

// The endpoints that are registered in the platform's store. During an outage
// of the store, the registration of a live endpoint can expire because its
// heartbeats do not get through. Removals seen right after an outage are
// therefore deferred, and dropped if the endpoint registers again in time.
class EndpointDirectory {
 public:
  // Live endpoints register again within this time after an outage.
  static constexpr common::Duration kReregistrationWindow =
      std::chrono::milliseconds(2000);
  // Registrations expire only after several missed heartbeats, so a removal
  // after a shorter failure is genuine.
  static constexpr common::Duration kMinOutage =
      std::chrono::milliseconds(1000);

  // Called when a read from the store failed.
  void OnStoreFailure(common::TimePoint now);
  // Called when a read from the store succeeded.
  void OnStoreAnswer(common::TimePoint now);

  // Applies a full listing; endpoints missing from it are removed.
  void ReplaceAll(std::vector<Endpoint> endpoints, common::TimePoint now);
  void Upsert(Endpoint endpoint);
  void Remove(std::string_view id, common::TimePoint now);
  // Removes endpoints whose deferred removal is due.
  void Expire(common::TimePoint now);

  const std::map<std::string, Endpoint, std::less<>>& endpoints() const {
    return this->entries;
  }
  // Incremented by every change to the endpoints.
  uint64_t generation() const { return this->change_count; }

 private:
  bool AreRemovalsDeferred(common::TimePoint now) const;

  std::map<std::string, Endpoint, std::less<>> entries;
  std::map<std::string, common::TimePoint, std::less<>> removal_due;
  std::optional<common::TimePoint> failing_since;
  std::optional<common::TimePoint> recovered_at;
  uint64_t change_count = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_ENDPOINT_DIRECTORY_H_
