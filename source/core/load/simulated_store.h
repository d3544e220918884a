#ifndef CORE_LOAD_SIMULATED_STORE_H_
#define CORE_LOAD_SIMULATED_STORE_H_

#include <functional>
#include <string>
#include <vector>

#include "core/load/block_cache.h"
#include "core/load/event_queue.h"

namespace jujuberock::load {

struct StoreParameters {
  uint64_t block_bytes = 0;
  size_t capacity_blocks = 0;
  // In each direction.
  double link_bytes_per_s = 0;
  // Share of the link that the system may use; link use is reported relative to
  // it.
  double budget_share = 0;
};

// One direction of a link. Transfers are sequential.
class SimulatedLink {
 public:
  // Length of the windows over which utilization is measured.
  static constexpr common::Duration kWindow = std::chrono::seconds(10);

  SimulatedLink(EventQueue& queue, double bytes_per_s);

  void Transfer(uint64_t bytes, EventQueue::Action done);
  // Sets the speed of later transfers, as a share of the full speed.
  void SetSpeedShare(double share) { this->speed_share = share; }
  uint64_t total_bytes() const { return this->total; }

  // Returns the share of each full window from `begin` to `end` that was taken
  // up by transfers.
  std::vector<double> UtilizationByWindow(common::TimePoint begin,
                                          common::TimePoint end) const;

 private:
  void AddBusyTime(common::TimePoint from, common::TimePoint to);

  EventQueue& queue;
  double bytes_per_s;
  double speed_share = 1;
  uint64_t total = 0;
  common::TimePoint free_at;
  // Busy seconds in each window.
  std::vector<double> busy_seconds;
};

// A simulated cache store that evicts the least recently used blocks.
class SimulatedStore {
 public:
  SimulatedStore(std::string name,
                 StoreParameters parameters,
                 EventQueue& queue);

  // Calls `done` with whether the block was delivered.
  void Read(const routing::BlockKey& key, std::function<void(bool)> done);
  void Write(const routing::BlockKey& key);

  // A dead store does not answer and is empty when it returns.
  void SetDead(bool dead);
  // A full store rejects writes.
  void SetFull(bool full) { this->full = full; }
  bool dead() const { return this->is_dead; }

  routing::LinkReport Report() const;
  const std::string& name() const { return this->store_name; }

  BlockCache cache;
  SimulatedLink read_link;
  SimulatedLink write_link;

 private:
  std::string store_name;
  StoreParameters parameters;
  EventQueue& queue;
  bool is_dead = false;
  bool full = false;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_SIMULATED_STORE_H_
