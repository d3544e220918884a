#ifndef CORE_RUNTIME_IO_SCHEDULER_H_
#define CORE_RUNTIME_IO_SCHEDULER_H_

#include <utility>

#include <boost/asio/io_context.hpp>
#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/scheduler.hpp>

namespace jujuberock::runtime {

// Fiber scheduler that runs fibers and the completion handlers of one
// io_context on one thread. Handlers run in the dispatcher context, so they may
// only wake or start fibers; a handler that suspends would block the whole
// thread.
class IoScheduler : public boost::fibers::algo::algorithm {
 public:
  explicit IoScheduler(boost::asio::io_context& io) : io(io) {}

  // Overrides of boost::fibers::algo::algorithm, which prescribes these names.
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
