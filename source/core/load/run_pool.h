#ifndef CORE_LOAD_RUN_POOL_H_
#define CORE_LOAD_RUN_POOL_H_

#include <algorithm>
#include <atomic>
#include <functional>
#include <thread>
#include <vector>

namespace jujuberock::load {

// Calls `run` with 0 to count - 1 on `threads` threads. Runs must not share
// state.
inline void RunAll(size_t count,
                   size_t threads,
                   const std::function<void(size_t)>& run) {
  std::atomic<size_t> next{0};
  const auto work = [&] {
    for (size_t i = next++; i < count; i = next++)
      run(i);
  };
  std::vector<std::jthread> pool;
  for (size_t t = 1; t < std::max<size_t>(1, threads); ++t)
    pool.emplace_back(work);
  work();
}

}  // namespace jujuberock::load

#endif  // CORE_LOAD_RUN_POOL_H_
