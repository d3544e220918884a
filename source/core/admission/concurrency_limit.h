#ifndef CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::admission {

// Finds how many requests of a service a host should have running, so that
// requests wait in the Controller, which is fair among teams, and not in the
// endpoints' queues, which are not. Each first token moves the limit in
// proportion to how early or late it came, so that the limit rests where first
// tokens take the target on average.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class ConcurrencyLimit {
 public:
  // Share of the patience that may pass between dispatch and first token on
  // average; the rest is for the wait in the controller and for the spread. At
  // 0.4, goodput at normal load fell by 2.7 of 41.6 requests per second in the
  // overload experiment, since requests waited while endpoints were free.
  static constexpr double kTargetShare = 0.6;
  // Requests by which one first token at once would raise the limit.
  static constexpr double kGain = 0.2;
  static constexpr uint32_t kMinimum = 2;

  // The most is this host's share of the endpoints' slots.
  explicit ConcurrencyLimit(uint32_t most);

  void SetMost(uint32_t most);
  // A first token came `elapsed` after dispatch for a request with this
  // patience, while this many were running.
  void OnFirstToken(common::Duration elapsed,
                    common::Duration patience,
                    uint32_t running);

  uint32_t value() const { return static_cast<uint32_t>(this->limit); }

 private:
  uint32_t most;
  double limit;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_CONCURRENCY_LIMIT_H_
