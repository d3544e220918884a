#ifndef CORE_COMMON_RANKED_MUTEX_H_
#define CORE_COMMON_RANKED_MUTEX_H_

#include <mutex>

namespace jujuberock::common {

// The lock order of the process: a thread takes mutexes in ascending rank.
// Code that holds a ranked mutex must not suspend its fiber.
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

// A mutex that aborts when a thread takes it while holding one of equal or
// higher rank. The check is compiled out when NDEBUG is defined.
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
