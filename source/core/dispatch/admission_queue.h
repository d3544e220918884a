#ifndef CORE_DISPATCH_ADMISSION_QUEUE_H_
#define CORE_DISPATCH_ADMISSION_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// What the order of a waiting request depends on.
struct WaitingRequest {
  // 0 is the most urgent.
  int urgency = 0;
  // A group of callers that it belongs to gets less than its share.
  bool is_below_floor = false;
  // When it must have been sent so that its answer is in time.
  common::TimePoint latest_start;
  // Engine time that it needs.
  double work_ms = 0;
  // Whether endpoints could take it if they had room. Others wait for an
  // endpoint to come back, and nothing has to wait behind them.
  bool waits_for_room = true;
};

// The requests of one service that wait on this host, ordered by what a delay
// costs callers: groups below their floor first, then by urgency, then those
// that can still be in time, of these the one with the nearest deadline, and at
// equal deadlines the one that needs least engine time. Not thread-safe.
class AdmissionQueue {
 public:
  using Place = uint64_t;

  Place Add(const WaitingRequest& request);
  void Remove(Place place) { this->waiting.erase(place); }
  void SetWaitsForRoom(Place place, bool waits_for_room);

  // Whether a request that has just arrived must wait, since another one that
  // goes before it waits for room.
  bool MustWait(const WaitingRequest& arrived, common::TimePoint now) const;
  // The first `count` requests in order.
  std::vector<Place> First(size_t count, common::TimePoint now) const;
  size_t size() const { return this->waiting.size(); }

 private:
  std::map<Place, WaitingRequest> waiting;
  Place next_place = 1;
};

// Whether `a` is to be sent before `b`.
bool GoesBefore(const WaitingRequest& a,
                const WaitingRequest& b,
                common::TimePoint now);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ADMISSION_QUEUE_H_
