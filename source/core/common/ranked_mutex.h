#ifndef CORE_COMMON_RANKED_MUTEX_H_
#define CORE_COMMON_RANKED_MUTEX_H_

#include <mutex>

namespace jujuberock::common {

// Lock order of the process: a thread acquires mutexes in ascending rank. A
// fiber that holds a ranked mutex must not suspend.
enum class LockRank {
  kConfig = 5,
  kServe = 10,
  kTable = 20,
  kMembership = 30,
  kAdmission = 40,
  kSuspects = 50,
  kRouting = 60,
  kJournal = 70,
  kOrders = 80,
  kReport = 90,
  kPeers = 100,
  kTimers = 110,
  kCounters = 120,
};

// A mutex that aborts the process when a thread acquires it while holding one
// of equal or higher rank. The check is compiled out when NDEBUG is defined.
class RankedMutex {
 public:
  explicit RankedMutex(LockRank rank) : rank(rank) {}
  RankedMutex(const RankedMutex&) = delete;
  RankedMutex& operator=(const RankedMutex&) = delete;

  // NOLINTNEXTLINE(readability-identifier-naming): name of BasicLockable.
  void lock();
  // NOLINTNEXTLINE(readability-identifier-naming): name of BasicLockable.
  void unlock();

 private:
  std::mutex mutex;
  LockRank rank;
};

using RankedLock = std::lock_guard<RankedMutex>;

}  // namespace jujuberock::common

#endif  // CORE_COMMON_RANKED_MUTEX_H_
