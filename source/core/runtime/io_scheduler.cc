#include "core/runtime/io_scheduler.h"

#include <boost/asio/post.hpp>
#include <boost/fiber/context.hpp>

namespace jujuberock::runtime {

void IoScheduler::awakened(boost::fibers::context* context) noexcept {
  context->ready_link(this->ready);
}

boost::fibers::context* IoScheduler::pick_next() noexcept {
  // The dispatcher fiber is scheduled round-robin with the ready fibers, so I/O
  // is polled once per round and cannot be starved by them. Polling from any
  // other context could wake that context while it is still suspending.
  const bool in_dispatcher = boost::fibers::context::active()->is_context(
      boost::fibers::type::dispatcher_context);
  if (in_dispatcher)
    this->io.poll();
  if (this->ready.empty())
    return nullptr;
  boost::fibers::context* next = &this->ready.front();
  this->ready.pop_front();
  return next;
}

bool IoScheduler::has_ready_fibers() const noexcept {
  return !this->ready.empty();
}

void IoScheduler::suspend_until(
    const std::chrono::steady_clock::time_point& until) noexcept {
  if (until == std::chrono::steady_clock::time_point::max()) {
    this->io.run_one();
    return;
  }
  this->io.run_one_until(until);
}

void IoScheduler::notify() noexcept {
  boost::asio::post(this->io, [] {});
}

}  // namespace jujuberock::runtime
