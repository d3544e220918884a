#ifndef CORE_CATALOG_ENDPOINT_DIRECTORY_H_
#define CORE_CATALOG_ENDPOINT_DIRECTORY_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
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
//
// What an instance of an endpoint, its id with its start time, has once said
// holds until the instance ends: one that is leaving stays so, whatever an
// older copy of the store says. An instance that was removed before the store
// came back from a copy is held back until the store has had the time to find
// out that it sends no heartbeats.
class EndpointDirectory {
 public:
  explicit EndpointDirectory(
      common::Duration heartbeat = std::chrono::milliseconds(1200))
      : heartbeat(heartbeat) {}

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
  // Applies the first listing after the store came back from an older copy.
  void ReplaceWithCopy(std::vector<Endpoint> endpoints, common::TimePoint now);
  void Upsert(Endpoint endpoint);
  void Remove(std::string_view id, common::TimePoint now);
  // The instance says that it is leaving, outside its registration.
  void MarkLeaving(std::string_view id, uint64_t started_at_ms);
  // Removes endpoints whose deferred removal is due, and admits those that were
  // held back for long enough.
  void Expire(common::TimePoint now);

  const std::map<std::string, Endpoint, std::less<>>& endpoints() const {
    return this->entries;
  }
  // Instances that are registered, but held back.
  size_t held_back() const { return this->held.size(); }
  // Incremented by every change to the endpoints.
  uint64_t generation() const { return this->change_count; }

 private:
  // The last instance of an endpoint that left or was removed.
  struct Departure {
    uint64_t started_at_ms = 0;
    bool is_leaving = false;
  };
  struct HeldEndpoint {
    Endpoint endpoint;
    common::TimePoint due;
  };
  // Departures that are remembered; the oldest is forgotten first.
  static constexpr size_t kMaxDepartures = 4096;
  // A registration without heartbeats is removed after three intervals. One
  // more lets the removal arrive.
  static constexpr int kHeldIntervals = 4;

  bool AreRemovalsDeferred(common::TimePoint now) const;
  // Whether an entry of an older copy describes an instance that is gone.
  bool IsOutdated(const Endpoint& endpoint) const;
  void RecordDeparture(std::string_view id, const Departure& departure);
  void Erase(std::string_view id);
  void RemoveMissing(const std::set<std::string>& present,
                     common::TimePoint now);

  common::Duration heartbeat;
  std::map<std::string, Endpoint, std::less<>> entries;
  std::map<std::string, common::TimePoint, std::less<>> removal_due;
  std::map<std::string, HeldEndpoint, std::less<>> held;
  std::map<std::string, Departure, std::less<>> departures;
  // Ids of `departures` in the order in which they were added.
  std::deque<std::string> departure_order;
  std::optional<common::TimePoint> failing_since;
  std::optional<common::TimePoint> recovered_at;
  uint64_t change_count = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_ENDPOINT_DIRECTORY_H_
