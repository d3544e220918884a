#include "core/serve/detached_streams.h"

#include <utility>
#include <vector>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::RankedLock;
using runtime::Address;

namespace {

// A connection that ended is noticed at the next token; after this time the
// stream has ended by itself or been read to the end elsewhere.
constexpr common::Duration kTakenMemory = std::chrono::minutes(2);

}  // namespace

DetachedStreams::DetachedStreams(runtime::WorkerPool& pool,
                                 common::TimerService& timers,
                                 endpoint::EngineClient& engines,
                                 common::CounterRegistry& counters,
                                 common::Duration grace)
    : timers(timers),
      engines(engines),
      grace(grace),
      canceled(counters.GetCounter("engine_cancels_total")),
      taken_over(counters.GetCounter("streams_taken_over_total")),
      fibers(pool) {}

void DetachedStreams::Cancel(const Address& engine, const std::string& stream) {
  this->canceled.Add();
  this->fibers.Spawn([this, engine, stream] {
    try {
      this->engines.Cancel(engine, stream);
    } catch (const common::Error&) {
      // The engine is gone, and the request with it.
    }
  });
}

void DetachedStreams::Detach(const Address& engine, const std::string& stream) {
  if (this->grace <= common::Duration::zero())
    return this->Cancel(engine, stream);
  RankedLock lock(this->mutex);
  if (this->taken.erase(stream) > 0)
    return;
  this->detached[stream] = {engine, this->timers.Now() + this->grace};
}

void DetachedStreams::TakeOver(const std::string& stream) {
  RankedLock lock(this->mutex);
  this->taken_over.Add();
  if (this->detached.erase(stream) == 0)
    this->taken[stream] = this->timers.Now() + kTakenMemory;
}

void DetachedStreams::OnTick(common::TimePoint now) {
  std::vector<std::pair<std::string, Address>> due;
  {
    RankedLock lock(this->mutex);
    for (const auto& [stream, entry] : this->detached) {
      if (entry.cancel_at <= now)
        due.emplace_back(stream, entry.engine);
    }
    for (const auto& [stream, engine] : due)
      this->detached.erase(stream);
    std::erase_if(this->taken,
                  [now](const auto& entry) { return entry.second <= now; });
  }
  for (const auto& [stream, engine] : due)
    this->Cancel(engine, stream);
}

}  // namespace jujuberock::serve
