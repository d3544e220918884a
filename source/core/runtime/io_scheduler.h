#ifndef CORE_RUNTIME_IO_SCHEDULER_H_
#define CORE_RUNTIME_IO_SCHEDULER_H_

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace jujuberock::runtime {

// Runs fibers and the completion handlers of one io_context on one thread.
// Handlers run on the dispatcher's context, so they must only wake fibers or
// start new ones; a handler that suspends would stop the thread.
class IoScheduler : public boost::fibers::algo::algorithm {
 public:
  explicit IoScheduler(boost::asio::io_context& io) : io(io) {}

  // The names below are those of boost::fibers::algo::algorithm.
  // NOLINTBEGIN(readability-identifier-naming)
  void awakened(boost::fibers::context* context) noexcept override;
  boost::fibers::context* pick_next() noexcept override;
  bool has_ready_fibers() const noexcept override;
  void suspend_until(
      const std::chrono::steady_clock::time_point& until) noexcept override;
  void notify() noexcept override;
  // NOLINTEND(readability-identifier-naming)

 private:
  boost::asio::io_context& io;
  boost::fibers::scheduler::ready_queue_type ready;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_IO_SCHEDULER_H_
