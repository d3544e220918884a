#include "core/load/simulated_store.h"

#include <algorithm>

namespace jujuberock::load {

namespace {

// Round trip until a failed read is reported.
constexpr common::Duration kFailedReadDelay = std::chrono::milliseconds(1);

constexpr size_t kStoreLogSize = 4096;

}  // namespace

SimulatedLink::SimulatedLink(EventQueue& queue, double bytes_per_s)
    : queue(queue), bytes_per_s(bytes_per_s) {}

void SimulatedLink::Transfer(uint64_t bytes, EventQueue::Action done) {
  const common::TimePoint begin = std::max(this->queue.now(), this->free_at);
  const double seconds =
      static_cast<double>(bytes) / (this->bytes_per_s * this->speed_share);
  this->free_at = begin + common::FromSeconds(seconds);
  this->AddBusyTime(begin, this->free_at);
  this->queue.At(this->free_at, [this, bytes, done = std::move(done)] {
    this->total += bytes;
    done();
  });
}

std::vector<double> SimulatedLink::UtilizationByWindow(
    common::TimePoint begin,
    common::TimePoint end) const {
  std::vector<double> use;
  const auto first =
      (begin.time_since_epoch() + kWindow - common::Duration(1)) / kWindow;
  const auto last = end.time_since_epoch() / kWindow;
  for (auto w = first; w < last; ++w) {
    const auto index = static_cast<size_t>(w);
    const double seconds =
        index < this->busy_seconds.size() ? this->busy_seconds[index] : 0;
    use.push_back(seconds / common::ToSeconds(kWindow));
  }
  return use;
}

void SimulatedLink::AddBusyTime(common::TimePoint from, common::TimePoint to) {
  while (from < to) {
    const auto window = from.time_since_epoch() / kWindow;
    const auto index = static_cast<size_t>(window);
    const common::TimePoint end(kWindow * (window + 1));
    const common::TimePoint until = std::min(to, end);
    if (this->busy_seconds.size() <= index)
      this->busy_seconds.resize(index + 1, 0);
    this->busy_seconds[index] += common::ToSeconds(until - from);
    from = until;
  }
}

SimulatedStore::SimulatedStore(std::string name,
                               StoreParameters parameters,
                               EventQueue& queue)
    : cache(parameters.capacity_blocks, kStoreLogSize),
      read_link(queue, parameters.link_bytes_per_s),
      write_link(queue, parameters.link_bytes_per_s),
      store_name(std::move(name)),
      parameters(parameters),
      queue(queue) {}

void SimulatedStore::Read(const routing::BlockKey& key,
                          std::function<void(bool)> done) {
  if (this->is_dead || !this->cache.Contains(key)) {
    this->queue.After(kFailedReadDelay,
                      [done = std::move(done)] { done(false); });
    return;
  }
  this->read_link.Transfer(
      this->parameters.block_bytes, [this, key, done = std::move(done)] {
        const bool held = !this->is_dead && this->cache.Contains(key);
        if (held)
          this->cache.Insert({&key, 1}, this->queue.now());
        done(held);
      });
}

void SimulatedStore::Write(const routing::BlockKey& key) {
  if (this->is_dead || this->full)
    return;
  this->write_link.Transfer(this->parameters.block_bytes, [this, key] {
    if (!this->is_dead && !this->full)
      this->cache.Insert({&key, 1}, this->queue.now());
  });
}

void SimulatedStore::SetDead(bool dead) {
  this->is_dead = dead;
  this->cache.Clear();
}

routing::LinkReport SimulatedStore::Report() const {
  routing::LinkReport report;
  report.capacity_bytes = this->cache.capacity() * this->parameters.block_bytes;
  report.used_bytes = this->cache.size() * this->parameters.block_bytes;
  report.link_bytes_per_s = this->parameters.link_bytes_per_s;
  report.sent_bytes = this->read_link.total_bytes();
  report.received_bytes = this->write_link.total_bytes();
  return report;
}

}  // namespace jujuberock::load
