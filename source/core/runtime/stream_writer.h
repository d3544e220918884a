#ifndef CORE_RUNTIME_STREAM_WRITER_H_
#define CORE_RUNTIME_STREAM_WRITER_H_

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/basic_stream.hpp>
#include <boost/system/error_code.hpp>

#include "core/common/time.h"
#include "core/runtime/http_server.h"

namespace jujuberock::runtime::detail {

// The default Asio and Beast types use a type-erased executor, whose virtual
// calls took several percent of the time of a forwarded request.
using CallerStream =
    boost::beast::basic_stream<boost::asio::ip::tcp,
                               boost::asio::io_context::executor_type>;

// Writes the response to one request of a caller.
class StreamWriter : public ResponseWriter {
 public:
  // `is_head` leaves the body out, as for a HEAD request.
  StreamWriter(CallerStream& stream,
               common::Duration write_timeout,
               bool keep_alive,
               bool is_head)
      : stream(stream),
        write_timeout(write_timeout),
        keep_alive(keep_alive),
        is_head(is_head) {}
  ~StreamWriter() override;

  void Send(HttpResponse response) override;
  void StartStream(int status, HttpHeaders headers) override;
  void Write(std::string_view bytes) override;
  void FinishStream() override;
  void OnCallerDisconnect(std::function<void()> callback) override;
  bool started() const override { return this->has_started; }
  // Whether the response was written completely.
  bool finished() const { return this->has_finished; }

 private:
  // Shared with the pending wait; empty once the request handler has returned.
  using DisconnectWatch = std::optional<std::function<void()>>;

  static void ThrowIfFailed(const boost::system::error_code& error);

  CallerStream& stream;
  common::Duration write_timeout;
  bool keep_alive;
  bool is_head;
  std::shared_ptr<DisconnectWatch> watch;
  bool has_started = false;
  bool has_finished = false;
};

}  // namespace jujuberock::runtime::detail

#endif  // CORE_RUNTIME_STREAM_WRITER_H_
