#include "core/serve/detached_streams.h"

#include <utility>
#include <vector>

#include "core/common/error.h"

namespace jujuberock::serve {

using common::RankedLock;
using runtime::Address;

namespace {

// A closed connection is noticed at the next token. After this time the stream
// has ended, or another host has read it to its end.
constexpr common::Duration kTakeoverRetention = std::chrono::minutes(2);

}  // namespace

DetachedStreams::DetachedStreams(runtime::WorkerPool& pool,
                                 common::TimerService& timers,
                                 endpoint::EngineClient& engine_client,
                                 common::MetricRegistry& counters,
                                 common::Duration grace_period)
    : timers(timers),
      engine_client(engine_client),
      grace_period(grace_period),
      canceled(counters.GetCounter("engine_cancels_total")),
      taken_over(counters.GetCounter("streams_taken_over_total")),
      fibers(pool) {}

void DetachedStreams::Cancel(const Address& engine, const std::string& stream) {
  this->canceled.Add();
  this->fibers.Spawn([this, engine, stream] {
    try {
      this->engine_client.Cancel(engine, stream);
    } catch (const common::Error&) {
      // The engine is gone, so its request has ended too.
    }
  });
}

void DetachedStreams::Detach(const Address& engine, const std::string& stream) {
  if (this->grace_period <= common::Duration::zero())
    return this->Cancel(engine, stream);
  RankedLock lock(this->mutex);
  if (this->early_takeovers.erase(stream) > 0)
    return;
  this->detached[stream] = {engine, this->timers.Now() + this->grace_period};
}

void DetachedStreams::TakeOver(const std::string& stream) {
  RankedLock lock(this->mutex);
  this->taken_over.Add();
  if (this->detached.erase(stream) == 0)
    this->early_takeovers[stream] = this->timers.Now() + kTakeoverRetention;
}

void DetachedStreams::OnTick(common::TimePoint now) {
  std::vector<std::pair<std::string, Address>> expired;
  {
    RankedLock lock(this->mutex);
    for (const auto& [stream, entry] : this->detached) {
      if (entry.cancel_at <= now)
        expired.emplace_back(stream, entry.engine);
    }
    for (const auto& [stream, engine] : expired)
      this->detached.erase(stream);
    std::erase_if(this->early_takeovers,
                  [now](const auto& entry) { return entry.second <= now; });
  }
  for (const auto& [stream, engine] : expired)
    this->Cancel(engine, stream);
}

}  // namespace jujuberock::serve
