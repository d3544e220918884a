#ifndef CORE_LOAD_MODELLED_STORE_H_
#define CORE_LOAD_MODELLED_STORE_H_

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
  // Share of the link that the system may use, to account its use against.
  double budget_share = 0;
};

// One direction of a link: transfers one after the other.
class ModelledLink {
 public:
  // Use is accounted in periods of this length.
  static constexpr common::Duration kWindow = std::chrono::seconds(10);

  ModelledLink(EventQueue& queue, double bytes_per_s);

  void Transfer(uint64_t bytes, EventQueue::Action done);
  // Transfers from now on run at this share of the full speed.
  void SetSpeedShare(double share) { this->speed_share = share; }
  uint64_t total_bytes() const { return this->total; }

  // For each full window from `begin` to `end`, the time that transfers took as
  // a share of the window.
  std::vector<double> UseOfWindows(common::TimePoint begin,
                                   common::TimePoint end) const;

 private:
  void AccountBusy(common::TimePoint from, common::TimePoint to);

  EventQueue& queue;
  double bytes_per_s;
  double speed_share = 1;
  uint64_t total = 0;
  common::TimePoint free_at;
  // Seconds busy in each window.
  std::vector<double> busy;
};

// A cache store that evicts the least recently used blocks.
class ModelledStore {
 public:
  ModelledStore(std::string name,
                StoreParameters parameters,
                EventQueue& queue);

  // Calls back with whether the block was delivered.
  void Read(const routing::BlockKey& key, std::function<void(bool)> done);
  void Write(const routing::BlockKey& key);

  // A dead store answers nothing and comes back empty.
  void SetDead(bool dead);
  // A full store refuses to write.
  void SetFull(bool full) { this->full = full; }
  bool dead() const { return this->is_dead; }

  routing::LinkReport Report() const;
  const std::string& name() const { return this->store_name; }

  BlockCache cache;
  ModelledLink read_link;
  ModelledLink write_link;

 private:
  std::string store_name;
  StoreParameters parameters;
  EventQueue& queue;
  bool is_dead = false;
  bool full = false;
};

}  // namespace jujuberock::load

#endif  // CORE_LOAD_MODELLED_STORE_H_
