#ifndef CORE_RUNTIME_WORKER_POOL_H_
#define CORE_RUNTIME_WORKER_POOL_H_

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace jujuberock::runtime {

// Threads that run fibers. A fiber and the sockets it opens stay on the
// worker that started it.
class WorkerPool {
 public:
  // Starts `threads` (at least one) workers.
  explicit WorkerPool(size_t threads);
  // Stops and joins; fibers that still run are abandoned with their thread.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  size_t size() const { return this->workers.size(); }

  // Starts a fiber on the worker with this index. Callable from any thread.
  void Spawn(size_t worker, std::function<void()> body);

  // Starts a fiber on the next worker in turn.
  void Spawn(std::function<void()> body);

  // Runs `body` on a fiber of worker 0 and blocks the calling thread, which
  // must not be a worker, until it ends. Rethrows what it throws.
  void Run(std::function<void()> body);

  boost::asio::io_context& IoOf(size_t worker);

  // Index of the worker that runs the calling thread, if it is one.
  static std::optional<size_t> CurrentWorker();

 private:
  struct Worker;

  std::vector<std::unique_ptr<Worker>> workers;
  std::atomic<size_t> next{0};
};

// The io_context of the calling worker thread; aborts on any other thread.
boost::asio::io_context& CurrentIo();

// Starts a fiber on the calling worker thread.
void SpawnHere(std::function<void()> body);

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_WORKER_POOL_H_
