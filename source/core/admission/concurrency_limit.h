#ifndef CORE_ADMISSION_CONCURRENCY_LIMIT_H_
#define CORE_ADMISSION_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "core/common/time.h"

namespace jujuberock::admission {

// Adaptive limit on the number of requests of a service that a host runs at
// once. It makes requests wait in the Controller, which is fair among teams,
// instead of in the endpoints' queues, which are not. Each first token adjusts
// the limit in proportion to how early or late it came, so that the limit
// settles where first tokens take the target time on average.
//
// Not thread-safe: the caller guards the object with a mutex of rank
// LockRank::kAdmission.
class ConcurrencyLimit {
 public:
  // Target for the average time between dispatch and first token, as a share of
  // the patience; the rest allows for the wait in the controller and for
  // variance. At 0.4, goodput at normal load fell by 2.7 of 41.6 requests per
  // second in the overload experiment, since requests waited while endpoints
  // were idle.
  static constexpr double kTargetShare = 0.6;
  // Increase of the limit for a first token that takes no time at all.
  static constexpr double kGain = 0.2;
  static constexpr uint32_t kMinimum = 2;

  // `max_limit` is this host's share of the endpoints' slots.
  explicit ConcurrencyLimit(uint32_t max_limit);

  void SetMax(uint32_t max_limit);
  // Records that a first token came `elapsed` after dispatch for a request with
  // this patience, while `running` requests were running.
  void OnFirstToken(common::Duration elapsed,
                    common::Duration patience,
                    uint32_t running);

  uint32_t value() const { return static_cast<uint32_t>(this->limit); }

 private:
  uint32_t max_limit;
  double limit;
};

}  // namespace jujuberock::admission

#endif  // CORE_ADMISSION_CONCURRENCY_LIMIT_H_
