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

// Pool of threads that run fibers. A fiber and the sockets that it opens stay
// on the worker on which it was started.
class WorkerPool {
 public:
  // Starts `threads` workers; must be at least one.
  explicit WorkerPool(size_t threads);
  // Stops and joins all workers; fibers that still run are abandoned.
  ~WorkerPool();
  WorkerPool(const WorkerPool&) = delete;
  WorkerPool& operator=(const WorkerPool&) = delete;

  size_t size() const { return this->workers.size(); }

  // Starts a fiber on the worker with this index. Callable from any thread.
  void Spawn(size_t worker, std::function<void()> body);

  // Starts a fiber on a worker chosen round-robin.
  void Spawn(std::function<void()> body);

  // Runs `body` on a fiber of worker 0 and blocks the calling thread, which
  // must not be a worker, until it returns. Rethrows its exceptions.
  void Run(std::function<void()> body);

  boost::asio::io_context& IoContextOf(size_t worker);

  // Index of the calling worker thread; nullopt on any other thread.
  static std::optional<size_t> CurrentWorker();

 private:
  struct Worker;

  std::vector<std::unique_ptr<Worker>> workers;
  std::atomic<size_t> next_worker{0};
};

// The io_context of the calling worker thread; aborts on any other thread.
boost::asio::io_context& CurrentIoContext();

// Starts a fiber on the calling worker thread.
void SpawnLocal(std::function<void()> body);

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_WORKER_POOL_H_
