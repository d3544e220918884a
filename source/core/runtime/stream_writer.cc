#include "core/runtime/stream_writer.h"

#include <memory>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include "core/common/error.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime::detail {

namespace http = boost::beast::http;
using boost::system::error_code;
using Socket = CallerStream::socket_type;

namespace {

constexpr common::Duration kReplacementPoll = std::chrono::milliseconds(1);

template <typename Body>
void FillHeader(http::response<Body>& message,
                int status,
                const HttpHeaders& headers,
                bool keep_alive) {
  message.version(11);
  message.result(static_cast<unsigned>(status));
  for (const HttpHeader& field : headers.all())
    message.insert(field.name, field.value);
  message.keep_alive(keep_alive);
}

// Readable data is not a disconnect: it belongs to a pipelined request. The end
// of the input is one, although the caller may have closed only its sending
// side.
bool IsClosed(Socket& socket) {
  error_code error;
  char byte;
  socket.non_blocking(true, error);
  const size_t bytes = socket.receive(boost::asio::buffer(&byte, 1),
                                      Socket::message_peek, error);
  return bytes == 0 && error != boost::asio::error::would_block;
}

}  // namespace

// One write during which the connection may be closed to make room for others:
// a caller that does not read must not hold a large body for long.
class StreamWriter::EndableWrite {
 public:
  explicit EndableWrite(StreamWriter& writer) : writer(writer) {
    if (!writer.request_body || writer.request_body->bytes() == 0)
      return;
    this->target = std::make_shared<CallerStream*>(&writer.stream);
    writer.request_body->AllowEnd(
        [target = this->target, &io = CurrentIoContext()] {
          boost::asio::post(io, [target] {
            if (*target)
              (*target)->close();
          });
        },
        BootNow());
  }
  ~EndableWrite() {
    if (!this->target)
      return;
    *this->target = nullptr;
    this->writer.request_body->ForbidEnd();
  }
  EndableWrite(const EndableWrite&) = delete;
  EndableWrite& operator=(const EndableWrite&) = delete;

 private:
  StreamWriter& writer;
  // Shared with the pending close; null once the write has ended.
  std::shared_ptr<CallerStream*> target;
};

StreamWriter::~StreamWriter() {
  if (!this->watch)
    return;
  // No read or write is pending at this point, so only the wait is canceled.
  this->watch->callback = nullptr;
  error_code ignored;
  this->stream.socket().cancel(ignored);
}

bool StreamWriter::BeginReplacement() {
  if (this->has_started)
    return false;
  this->has_started = true;
  this->form.keep_alive = false;
  this->replacement = Replacement::kSending;
  return true;
}

void StreamWriter::SendReplacement(HttpResponse response) {
  try {
    this->SendMessage(std::move(response));
  } catch (const common::Error&) {
    // The caller has closed the connection.
  }
  this->replacement = Replacement::kSent;
}

void StreamWriter::AwaitReplacement() const {
  while (this->replacement == Replacement::kSending)
    SleepFor(kReplacementPoll);
}

void StreamWriter::ThrowIfReplaced() const {
  if (this->replacement != Replacement::kNone)
    throw common::Error(common::ResultCode::kCanceled,
                        "the server has sent another response");
}

void StreamWriter::Start() {
  this->ThrowIfReplaced();
  this->has_started = true;
  this->form.keep_alive &= !this->caller_disconnected() && !this->draining;
}

void StreamWriter::Send(HttpResponse response) {
  this->Start();
  this->SendMessage(std::move(response));
}

void StreamWriter::SendMessage(HttpResponse response) {
  http::response<http::string_body> message;
  FillHeader(message, response.status, response.headers, this->form.keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  if (this->form.is_head)
    message.body().clear();
  this->stream.expires_after(this->write_timeout);
  error_code error;
  const EndableWrite endable(*this);
  http::response_serializer<http::string_body> serializer(message);
  if (this->form.is_head)
    http::async_write_header(this->stream, serializer, Await(error));
  else
    http::async_write(this->stream, serializer, Await(error));
  ThrowIfFailed(error);
  this->has_finished = true;
}

void StreamWriter::StartStream(int status, HttpHeaders headers) {
  this->Start();
  this->form.keep_alive &= this->form.knows_chunks;
  http::response<http::empty_body> message;
  FillHeader(message, status, headers, this->form.keep_alive);
  message.chunked(this->form.knows_chunks);
  http::response_serializer<http::empty_body> serializer(message);
  this->stream.expires_after(this->write_timeout);
  error_code error;
  http::async_write_header(this->stream, serializer, Await(error));
  ThrowIfFailed(error);
}

void StreamWriter::Write(std::string_view bytes) {
  this->ThrowIfReplaced();
  if (bytes.empty())
    return;
  this->stream.expires_after(this->write_timeout);
  error_code error;
  const EndableWrite endable(*this);
  const auto buffer = boost::asio::buffer(bytes.data(), bytes.size());
  if (this->form.knows_chunks)
    boost::asio::async_write(this->stream, http::make_chunk(buffer),
                             Await(error));
  else
    boost::asio::async_write(this->stream, buffer, Await(error));
  ThrowIfFailed(error);
}

void StreamWriter::FinishStream() {
  this->ThrowIfReplaced();
  if (!this->form.knows_chunks) {
    this->has_finished = true;
    return;
  }
  this->stream.expires_after(this->write_timeout);
  error_code error;
  boost::asio::async_write(this->stream, http::make_chunk_last(), Await(error));
  ThrowIfFailed(error);
  this->has_finished = true;
}

void StreamWriter::ResetIfIncomplete() {
  if (!this->has_started || this->has_finished || this->form.knows_chunks)
    return;
  error_code ignored;
  this->stream.socket().set_option(boost::asio::socket_base::linger(true, 0),
                                   ignored);
  this->stream.close();
}

void StreamWriter::OnCallerDisconnect(std::function<void()> callback) {
  this->watch = std::make_shared<DisconnectWatch>();
  this->watch->callback = std::move(callback);
  this->stream.socket().async_wait(
      Socket::wait_read, [watch = this->watch, &socket = this->stream.socket()](
                             const error_code& error) {
        // The socket may have been destroyed once the callback is empty.
        if (!watch->callback || (!error && !IsClosed(socket)))
          return;
        watch->disconnected = true;
        SpawnLocal(std::move(watch->callback));
      });
}

void StreamWriter::ThrowIfFailed(const error_code& error) {
  if (error)
    throw common::Error(common::ResultCode::kCanceled,
                        "the caller closed the connection: " + error.message());
}

}  // namespace jujuberock::runtime::detail
