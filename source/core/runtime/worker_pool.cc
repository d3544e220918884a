#include "core/runtime/worker_pool.h"

#include <glog/logging.h>

#include <future>
#include <thread>
#include <utility>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/fiber/condition_variable.hpp>
#include <boost/fiber/fiber.hpp>
#include <boost/fiber/mutex.hpp>
#include <boost/fiber/operations.hpp>
#include <boost/fiber/pooled_fixedsize_stack.hpp>

#include "core/runtime/io_scheduler.h"

namespace jujuberock::runtime {

namespace {

constexpr size_t kFiberStackBytes = 192 * 1024;

struct ThreadState {
  size_t index;
  boost::asio::io_context* io;
  boost::fibers::pooled_fixedsize_stack stack_allocator{kFiberStackBytes, 64};
};

thread_local ThreadState* current_thread = nullptr;

void RunAndLogException(const std::function<void()>& body) {
  try {
    body();
  } catch (const std::exception& error) {
    LOG(ERROR) << "uncaught exception in fiber: " << error.what();
  }
}

}  // namespace

struct WorkerPool::Worker {
  boost::asio::io_context io{1};
  bool stopping = false;
  boost::fibers::mutex mutex;
  boost::fibers::condition_variable stop_requested;
  std::thread thread;

  void Loop(size_t index) {
    ThreadState state{index, &this->io};
    current_thread = &state;
    boost::fibers::use_scheduling_algorithm<IoScheduler>(this->io);
    auto work = boost::asio::make_work_guard(this->io);
    std::unique_lock lock(this->mutex);
    this->stop_requested.wait(lock, [this] { return this->stopping; });
  }

  void Stop() {
    boost::asio::post(this->io, [this] {
      SpawnLocal([this] {
        std::unique_lock lock(this->mutex);
        this->stopping = true;
        this->stop_requested.notify_all();
      });
    });
  }
};

WorkerPool::WorkerPool(size_t threads) {
  for (size_t i = 0; i < threads; ++i) {
    this->workers.push_back(std::make_unique<Worker>());
    Worker* worker = this->workers.back().get();
    worker->thread = std::thread([worker, i] { worker->Loop(i); });
  }
}

WorkerPool::~WorkerPool() {
  for (auto& worker : this->workers)
    worker->Stop();
  for (auto& worker : this->workers)
    worker->thread.join();
}

void WorkerPool::Spawn(size_t worker, std::function<void()> body) {
  boost::asio::post(
      this->workers[worker]->io,
      [body = std::move(body)]() mutable { SpawnLocal(std::move(body)); });
}

void WorkerPool::Spawn(std::function<void()> body) {
  const size_t turn = this->next_worker.fetch_add(1, std::memory_order_relaxed);
  this->Spawn(turn % this->workers.size(), std::move(body));
}

void WorkerPool::Run(std::function<void()> body) {
  std::promise<void> done;
  this->Spawn(0, [&] {
    try {
      body();
      done.set_value();
    } catch (...) {
      done.set_exception(std::current_exception());
    }
  });
  done.get_future().get();
}

boost::asio::io_context& WorkerPool::IoContextOf(size_t worker) {
  return this->workers[worker]->io;
}

std::optional<size_t> WorkerPool::CurrentWorker() {
  if (!current_thread)
    return std::nullopt;
  return current_thread->index;
}

boost::asio::io_context& CurrentIoContext() {
  CHECK(current_thread) << "not a worker thread";
  return *current_thread->io;
}

void SpawnLocal(std::function<void()> body) {
  CHECK(current_thread) << "not a worker thread";
  boost::fibers::fiber(boost::fibers::launch::post, std::allocator_arg,
                       current_thread->stack_allocator,
                       [body = std::move(body)] { RunAndLogException(body); })
      .detach();
}

}  // namespace jujuberock::runtime
