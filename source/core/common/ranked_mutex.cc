#include "core/common/ranked_mutex.h"

#include <glog/logging.h>

#include <algorithm>
#include <vector>

namespace jujuberock::common {

#ifndef NDEBUG
namespace {
thread_local std::vector<LockRank> held_ranks;
}  // namespace
#endif

void RankedMutex::lock() {
#ifndef NDEBUG
  CHECK(held_ranks.empty() || held_ranks.back() < this->rank)
      << "lock order violation: rank " << static_cast<int>(this->rank)
      << " acquired while holding rank " << static_cast<int>(held_ranks.back());
#endif
  this->mutex.lock();
#ifndef NDEBUG
  held_ranks.push_back(this->rank);
#endif
}

void RankedMutex::unlock() {
#ifndef NDEBUG
  auto held = std::find(held_ranks.rbegin(), held_ranks.rend(), this->rank);
  if (held != held_ranks.rend())
    held_ranks.erase(std::next(held).base());
#endif
  this->mutex.unlock();
}

}  // namespace jujuberock::common
