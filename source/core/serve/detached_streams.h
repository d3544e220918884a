#ifndef CORE_SERVE_DETACHED_STREAMS_H_
#define CORE_SERVE_DETACHED_STREAMS_H_

#include <map>
#include <string>

#include "core/common/metrics.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/serve/fiber_group.h"

namespace jujuberock::serve {

// Engine requests whose caller has disconnected. Each is canceled after a grace
// period unless the caller resumes it. Thread-safe.
class DetachedStreams {
 public:
  DetachedStreams(runtime::WorkerPool& pool,
                  common::TimerService& timers,
                  endpoint::EngineClient& engine_client,
                  common::MetricRegistry& counters,
                  common::Duration grace_period);

  // Cancels the request at its engine right away, in the background.
  void Cancel(const runtime::Address& engine, const std::string& stream);
  // Cancels the request after the grace period.
  void Detach(const runtime::Address& engine, const std::string& stream);
  // The caller resumed the stream at this host or at another one, so it must
  // not be canceled. This call may come before this host notices that its own
  // connection to the caller has closed.
  void TakeOver(const std::string& stream);
  void OnTick(common::TimePoint now);

 private:
  struct Detached {
    runtime::Address engine;
    common::TimePoint cancel_at;
  };

  common::TimerService& timers;
  endpoint::EngineClient& engine_client;
  common::Duration grace_period;
  common::Counter& canceled;
  common::Counter& taken_over;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, Detached> detached;
  // Streams that were resumed over another connection before this host noticed
  // the end of the previous one, with the time at which the entry is dropped.
  std::map<std::string, common::TimePoint> early_takeovers;
  // Declared last: its fibers use the members above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_DETACHED_STREAMS_H_
