#ifndef CORE_RUNTIME_STREAM_WRITER_H_
#define CORE_RUNTIME_STREAM_WRITER_H_

#include <atomic>
#include <functional>
#include <memory>
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

// What a request asks of the form of its response.
struct ResponseForm {
  // Whether the connection may be used again.
  bool keep_alive = false;
  // A response to HEAD has no body.
  bool is_head = false;
  // HTTP/1.0 knows no chunks: the end of a streamed body is that of the
  // connection.
  bool knows_chunks = true;
};

// Writes the response to one request of a caller.
class StreamWriter : public ResponseWriter {
 public:
  // A response that begins while `draining` is set ends the connection.
  StreamWriter(CallerStream& stream,
               common::Duration write_timeout,
               ResponseForm form,
               const std::atomic<bool>& draining,
               ByteBudget* budget = nullptr,
               ByteBudget::Reservation* request_body = nullptr)
      : stream(stream),
        write_timeout(write_timeout),
        form(form),
        draining(draining),
        budget(budget),
        request_body(request_body) {}
  ~StreamWriter() override;

  void Send(HttpResponse response) override;
  void StartStream(int status, HttpHeaders headers) override;
  void Write(std::string_view bytes) override;
  void FinishStream() override;
  void OnCallerDisconnect(std::function<void()> callback) override;
  bool MayHold(size_t bytes) override {
    return !this->budget || this->held.GrowTo(*this->budget, bytes);
  }
  bool started() const override { return this->has_started; }
  // Whether the connection can be used for another request.
  bool keeps_connection() const {
    return this->form.keep_alive && this->has_finished;
  }
  // Whether the caller has closed its side of the connection, as far as
  // OnCallerDisconnect() has noticed. It may have closed only its sending side
  // and still read: a socket does not tell the two apart.
  bool caller_disconnected() const {
    return this->watch && this->watch->disconnected;
  }
  // Starts a response in place of the handler's, whose own calls then throw
  // kCanceled. Returns false if the handler's response has started. The caller
  // must send it with SendReplacement(), from any fiber of the same worker.
  bool BeginReplacement();
  void SendReplacement(HttpResponse response);
  // Waits until a replacement that has begun is sent.
  void AwaitReplacement() const;
  // Closes the connection with a reset if the caller would otherwise take its
  // end for the end of a response that is not complete.
  void ResetIfIncomplete();

 private:
  // Shared with the pending wait.
  struct DisconnectWatch {
    // Empty once the request handler has returned.
    std::function<void()> callback;
    bool disconnected = false;
  };

  class EndableWrite;

  // The state of a response that the server sends in place of the handler's.
  enum class Replacement { kNone, kSending, kSent };

  // Begins a response: the connection is not used again after a disconnect or
  // in a drain. Throws if the response is replaced.
  void Start();
  void SendMessage(HttpResponse response);
  void ThrowIfReplaced() const;
  static void ThrowIfFailed(const boost::system::error_code& error);

  CallerStream& stream;
  common::Duration write_timeout;
  ResponseForm form;
  const std::atomic<bool>& draining;
  ByteBudget* budget;
  // What is held of the request until the handler returns; may be null.
  ByteBudget::Reservation* request_body;
  // What is held of the response.
  ByteBudget::Reservation held;
  std::shared_ptr<DisconnectWatch> watch;
  Replacement replacement = Replacement::kNone;
  bool has_started = false;
  bool has_finished = false;
};

}  // namespace jujuberock::runtime::detail

#endif  // CORE_RUNTIME_STREAM_WRITER_H_
