#ifndef CORE_RUNTIME_REQUEST_READER_H_
#define CORE_RUNTIME_REQUEST_READER_H_

#include <memory>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/system/error_code.hpp>

#include "core/common/time.h"
#include "core/runtime/byte_budget.h"
#include "core/runtime/http_server.h"
#include "core/runtime/stream_writer.h"

namespace jujuberock::runtime::detail {

// Cancels a read that takes too long, or that is ended for another reason. The
// built-in timeout of beast::tcp_stream closes the socket, so no error response
// could be sent.
class ReadDeadline {
 public:
  ReadDeadline(CallerStream& stream, common::Duration limit);
  ~ReadDeadline() { this->Stop(); }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  // Restarts the timer with a new limit, counted from now.
  void Restart(common::Duration limit);
  // Stops the timer; call it when the read has completed in time.
  void Stop();
  // Returns a function that ends the read, for use on any thread.
  std::function<void()> MakeEnd() const;

  bool expired() const { return this->state->expired; }
  bool ended() const { return this->state->ended; }

 private:
  using Timer = boost::asio::basic_waitable_timer<
      std::chrono::steady_clock,
      boost::asio::wait_traits<std::chrono::steady_clock>,
      boost::asio::io_context::executor_type>;

  // Shared with pending handlers, which may run after destruction.
  struct State {
    void Cancel();

    CallerStream* stream = nullptr;
    bool expired = false;
    bool ended = false;
  };

  Timer timer;
  std::shared_ptr<State> state;
};

// Reads one request of a connection. What it holds of the body is reserved in
// the server's byte budget before it is read, and what a header with many
// fields needs once it is read. Both stay reserved until the reader is
// destroyed.
class RequestReader {
 public:
  using Message = boost::beast::http::request<boost::beast::http::string_body>;

  RequestReader(CallerStream& stream,
                boost::beast::flat_buffer& buffer,
                const HttpServerOptions& options);

  // Both return false if the connection is lost, and throw common::Error if the
  // request can't be read; the caller should be told.
  bool ReadHeader();
  bool ReadBody();
  Message& message() { return this->parser.get(); }
  ByteBudget::Reservation& held() { return this->reservation; }

 private:
  // Reads until the buffer has the whole header: the fields take more memory
  // than their bytes once they are parsed. Returns false if the parser should
  // look at what has arrived before, since it will reject it.
  bool AwaitHeaderEnd(boost::system::error_code& error);
  void ReadPieces(boost::system::error_code& error);
  void ReadPiece(boost::system::error_code& error);
  void AcceptBody(boost::system::error_code& error);
  // Reserves what has arrived of a chunked body and `space` for more.
  void HoldChunks(size_t space);
  // Reserves what the header holds and `body_bytes`.
  void Reserve(size_t body_bytes);
  // Returns false if the connection is lost.
  bool Fail(const boost::system::error_code& error) const;

  CallerStream& stream;
  boost::beast::flat_buffer& buffer;
  const HttpServerOptions& options;
  boost::beast::http::request_parser<boost::beast::http::string_body> parser;
  ReadDeadline deadline;
  common::TimePoint body_deadline;
  // What the fields hold until the request ends; 0 if that is usual.
  size_t header_bytes = 0;
  ByteBudget::Reservation reservation;
};

// Reads and discards what a caller still sends after it was refused, within
// bounds, so that the close does not reset the connection before the caller has
// read the response.
void DiscardInput(CallerStream& stream,
                  boost::beast::flat_buffer& buffer,
                  size_t limit_bytes);

}  // namespace jujuberock::runtime::detail

#endif  // CORE_RUNTIME_REQUEST_READER_H_
