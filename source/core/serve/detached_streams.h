#ifndef CORE_SERVE_DETACHED_STREAMS_H_
#define CORE_SERVE_DETACHED_STREAMS_H_

#include <map>
#include <string>

#include "core/common/counters.h"
#include "core/common/ranked_mutex.h"
#include "core/common/timer_service.h"
#include "core/endpoint/engine_client.h"
#include "core/serve/fiber_group.h"

namespace jujuberock::serve {

// Engine requests whose caller has gone away. Each is canceled after a grace
// period unless the caller resumes it. Thread-safe.
class DetachedStreams {
 public:
  DetachedStreams(runtime::WorkerPool& pool,
                  common::TimerService& timers,
                  endpoint::EngineClient& engines,
                  common::CounterRegistry& counters,
                  common::Duration grace);

  // Cancels the request at its engine, at once and in the background.
  void Cancel(const runtime::Address& engine, const std::string& stream);
  // Cancels the request after the grace period.
  void Detach(const runtime::Address& engine, const std::string& stream);
  // The caller is back, here or at another host: the request goes on. This
  // host may notice only later that its own connection to the caller ended.
  void TakeOver(const std::string& stream);
  void OnTick(common::TimePoint now);

 private:
  struct Detached {
    runtime::Address engine;
    common::TimePoint cancel_at;
  };

  common::TimerService& timers;
  endpoint::EngineClient& engines;
  common::Duration grace;
  common::Counter& canceled;
  common::Counter& taken_over;
  common::RankedMutex mutex{common::LockRank::kServe};
  std::map<std::string, Detached> detached;
  // Streams that went on over another connection before this host noticed the
  // end of the former one; forgotten at the time given.
  std::map<std::string, common::TimePoint> taken;
  // Last: its fibers use everything above.
  FiberGroup fibers;
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_DETACHED_STREAMS_H_
