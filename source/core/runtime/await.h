#ifndef CORE_RUNTIME_AWAIT_H_
#define CORE_RUNTIME_AWAIT_H_

#include <optional>
#include <utility>

#include <boost/asio/async_result.hpp>
#include <boost/fiber/context.hpp>
#include <boost/system/error_code.hpp>

namespace jujuberock::runtime {

// Asio completion token that suspends the calling fiber until the operation
// completes and stores its error code in `error`. The operation must run on the
// io_context of the calling fiber's worker.
struct Await {
  explicit Await(boost::system::error_code& error) : error(&error) {}
  boost::system::error_code* error;
};

namespace detail {

template <typename Result>
struct AwaitState {
  boost::fibers::context* waiter = boost::fibers::context::active();
  boost::system::error_code error;
  std::optional<Result> result;
  bool done = false;

  void Complete() {
    this->done = true;
    boost::fibers::context::active()->schedule(this->waiter);
  }
};

template <typename Result>
struct AwaitHandler {
  AwaitState<Result>* state;

  void operator()(boost::system::error_code error, Result result) {
    this->state->error = error;
    this->state->result = std::move(result);
    this->state->Complete();
  }
};

struct NoResult {};

struct AwaitVoidHandler {
  AwaitState<NoResult>* state;

  void operator()(boost::system::error_code error) {
    this->state->error = error;
    this->state->Complete();
  }
};

}  // namespace detail

}  // namespace jujuberock::runtime

namespace boost::asio {

template <typename Result>
class async_result<jujuberock::runtime::Await,
                   void(boost::system::error_code, Result)> {
 public:
  using return_type = Result;

  template <typename Initiation, typename... Args>
  static Result initiate(Initiation&& initiation,
                         jujuberock::runtime::Await token,
                         Args&&... args) {
    jujuberock::runtime::detail::AwaitState<Result> state;
    std::forward<Initiation>(initiation)(
        jujuberock::runtime::detail::AwaitHandler<Result>{&state},
        std::forward<Args>(args)...);
    if (!state.done)
      boost::fibers::context::active()->suspend();
    *token.error = state.error;
    return std::move(*state.result);
  }
};

template <>
class async_result<jujuberock::runtime::Await,
                   void(boost::system::error_code)> {
 public:
  using return_type = void;

  template <typename Initiation, typename... Args>
  static void initiate(Initiation&& initiation,
                       jujuberock::runtime::Await token,
                       Args&&... args) {
    jujuberock::runtime::detail::AwaitState<
        jujuberock::runtime::detail::NoResult>
        state;
    std::forward<Initiation>(initiation)(
        jujuberock::runtime::detail::AwaitVoidHandler{&state},
        std::forward<Args>(args)...);
    if (!state.done)
      boost::fibers::context::active()->suspend();
    *token.error = state.error;
  }
};

}  // namespace boost::asio

#endif  // CORE_RUNTIME_AWAIT_H_
