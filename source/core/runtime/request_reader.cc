#include "core/runtime/request_reader.h"

#include <algorithm>
#include <new>
#include <optional>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>

#include "core/common/error.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/sleep.h"

namespace jujuberock::runtime::detail {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using common::Error;
using common::ResultCode;

namespace {

// Bodies up to this size are not counted: they hardly need more memory than the
// connection itself, whose number is limited.
constexpr size_t kUncountedBytes = 4 * 1024;
// Largest part of a body that is read at once. The buffer of a connection is
// not counted up to the small size.
constexpr size_t kSmallPieceBytes = 16 * 1024;
constexpr size_t kLargePieceBytes = 32 * 1024;
// Steps in which the reservation of a chunked body grows.
constexpr size_t kSmallStepBytes = 32 * 1024;
constexpr size_t kLargeStepBytes = 256 * 1024;
// Time in which holders that were ended release their bytes.
constexpr common::Duration kRoomWait = std::chrono::milliseconds(200);
constexpr common::Duration kRoomPoll = std::chrono::milliseconds(2);
// Time in which a refused caller gets its response and stops sending.
constexpr common::Duration kDiscardTime = std::chrono::milliseconds(1000);
constexpr size_t kDiscardPieceBytes = 16 * 1024;
constexpr std::string_view kHeaderEnd = "\r\n\r\n";
constexpr size_t kHeaderPieceBytes = 4 * 1024;
// Copies of a header's text while a request is passed on: those of the parser,
// the request, its decoded form and the message to the endpoint. Each has some
// 75 bytes for a field beside its text.
constexpr size_t kFieldCopies = 4;
constexpr size_t kFieldBytes = 300;
// Headers up to this size are part of what a connection is counted with.
constexpr size_t kUsualHeaderBytes = 24 * 1024;

// Whether it is known where the body ends and what it holds. With a transfer
// coding other than chunked neither is, and the bytes of the body would be
// taken for the next request (RFC 9112, section 6.3).
bool HasSupportedCoding(const RequestReader::Message& message) {
  const auto codings = message.equal_range(http::field::transfer_encoding);
  return std::all_of(codings.first, codings.second, [](const auto& field) {
    return beast::iequals(field.value(), "chunked");
  });
}

// Maps a failed read to the error to respond with; nullopt when the connection
// is lost.
std::optional<Error> ErrorForRead(const error_code& error) {
  if (error == http::error::body_limit)
    return Error(ResultCode::kBodyTooLarge, "body too large");
  if (error == http::error::header_limit ||
      error == http::error::buffer_overflow)
    return Error(ResultCode::kHeaderTooLarge, "header too large");
  if (error == http::error::partial_message)
    return Error(ResultCode::kMalformedRequest, "the request is incomplete");
  if (error.category() ==
          http::make_error_code(http::error::bad_version).category() &&
      error != http::error::end_of_stream)
    return Error(ResultCode::kMalformedRequest, error.message());
  return std::nullopt;
}

Error NoRoomError() {
  return Error(ResultCode::kQueueFull,
               "the host holds too many bytes for its callers");
}

size_t RoundUp(size_t bytes, size_t step) {
  return (bytes + step - 1) / step * step;
}

// Whether a request line may begin with this character.
bool IsTokenStart(char c) {
  return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || c == '\r' ||
         c == '\n';
}

// What the fields of a request take in the memory of the process, here and
// where they are passed on. 0 if it is as little as connections are counted
// with.
size_t HeldBytesOf(const RequestReader::Message& message) {
  size_t bytes = 0;
  for (const auto& field : message)
    bytes += kFieldBytes +
             kFieldCopies * (field.name_string().size() + field.value().size());
  return bytes > kUsualHeaderBytes ? bytes : 0;
}

}  // namespace

ReadDeadline::ReadDeadline(CallerStream& stream, common::Duration limit)
    : timer(CurrentIoContext()), state(std::make_shared<State>()) {
  this->state->stream = &stream;
  this->Restart(limit);
}

void ReadDeadline::State::Cancel() {
  error_code ignored;
  this->stream->socket().cancel(ignored);
}

void ReadDeadline::Restart(common::Duration limit) {
  this->state->expired = false;
  this->timer.expires_after(limit);
  this->timer.async_wait([state = this->state](const error_code& error) {
    if (error || !state->stream)
      return;
    state->expired = true;
    state->Cancel();
  });
}

void ReadDeadline::Stop() {
  this->state->stream = nullptr;
  this->timer.cancel();
}

std::function<void()> ReadDeadline::MakeEnd() const {
  return [state = this->state, &io = CurrentIoContext()] {
    boost::asio::post(io, [state] {
      if (!state->stream)
        return;
      state->ended = true;
      state->Cancel();
    });
  };
}

RequestReader::RequestReader(CallerStream& stream,
                             beast::flat_buffer& buffer,
                             const HttpServerOptions& options)
    : stream(stream),
      buffer(buffer),
      options(options),
      deadline(stream, options.header_timeout) {
  this->parser.header_limit(static_cast<uint32_t>(options.header_limit_bytes));
  this->parser.body_limit(options.body_limit_bytes);
}

bool RequestReader::ReadHeader() {
  error_code error;
  this->stream.expires_never();
  const bool is_complete = this->AwaitHeaderEnd(error);
  // Without a wait between the parser and the reservation, so that at most one
  // header is parsed that is not reserved.
  while (is_complete && !error && !this->parser.is_header_done())
    this->buffer.consume(this->parser.put(this->buffer.data(), error));
  if (!is_complete && !error)
    http::async_read_header(this->stream, this->buffer, this->parser,
                            Await(error));
  if (error)
    return this->Fail(error);
  this->header_bytes = HeldBytesOf(this->parser.get());
  if (this->header_bytes > 0)
    this->Reserve(0);
  if (!HasSupportedCoding(this->parser.get()))
    throw Error(ResultCode::kMalformedRequest, "unsupported transfer coding");
  return true;
}

bool RequestReader::AwaitHeaderEnd(error_code& error) {
  size_t searched = 0;
  while (!error) {
    const auto bytes = this->buffer.data();
    const std::string_view text(static_cast<const char*>(bytes.data()),
                                bytes.size());
    const size_t from = std::min(searched, text.size());
    const bool is_complete =
        text.find(kHeaderEnd, from) != std::string_view::npos;
    // The parser rejects what is too long, or no request, at once.
    const bool is_rejected = text.size() > this->options.header_limit_bytes ||
                             (!text.empty() && !IsTokenStart(text.front()));
    if (is_complete || is_rejected)
      return is_complete;
    searched = text.size() - std::min(text.size(), kHeaderEnd.size() - 1);
    this->buffer.commit(this->stream.async_read_some(
        this->buffer.prepare(std::min(
            kHeaderPieceBytes, this->buffer.max_size() - this->buffer.size())),
        Await(error)));
  }
  if (error == boost::asio::error::eof)
    error = this->buffer.size() > 0 ? http::error::partial_message
                                    : http::error::end_of_stream;
  return false;
}

bool RequestReader::ReadBody() {
  error_code error;
  if (!this->parser.is_done())
    this->ReadPieces(error);
  if (error)
    return this->Fail(error);
  this->reservation.ForbidEnd();
  this->deadline.Stop();
  return true;
}

bool RequestReader::Fail(const error_code& error) const {
  if (this->deadline.ended())
    throw NoRoomError();
  if (this->deadline.expired())
    throw Error(ResultCode::kRequestTimeout,
                "the request did not arrive in time");
  if (const auto read_error = ErrorForRead(error))
    throw *read_error;
  return false;
}

void RequestReader::ReadPieces(error_code& error) {
  const bool is_declared = this->parser.content_length().has_value();
  if (is_declared)
    this->Reserve(*this->parser.content_length());
  this->AcceptBody(error);
  this->body_deadline = BootNow() + this->options.body_timeout;
  this->parser.eager(true);
  while (!error) {
    if (this->buffer.size() > 0) {
      if (!is_declared)
        this->HoldChunks(0);
      this->buffer.consume(this->parser.put(this->buffer.data(), error));
      if (error == http::error::need_more)
        error = {};
    }
    if (error || this->parser.is_done())
      return;
    this->ReadPiece(error);
  }
}

void RequestReader::AcceptBody(error_code& error) {
  if (!beast::iequals(this->parser.get()[http::field::expect], "100-continue"))
    return;
  http::response<http::empty_body> response(http::status::continue_, 11);
  http::async_write(this->stream, response, Await(error));
}

void RequestReader::ReadPiece(error_code& error) {
  const auto left = this->parser.content_length_remaining();
  const bool is_large = left && *left > kLargePieceBytes;
  size_t space = std::min(is_large ? kLargePieceBytes : kSmallPieceBytes,
                          this->buffer.max_size() - this->buffer.size());
  if (left)
    space = std::min<uint64_t>(space, *left);
  else
    this->HoldChunks(space);
  if (space == 0) {
    error = http::error::buffer_overflow;
    return;
  }
  this->deadline.Restart(std::min(this->body_deadline - BootNow(),
                                  this->options.body_progress_timeout));
  if (!this->deadline.ended())
    this->buffer.commit(this->stream.async_read_some(
        this->buffer.prepare(space), Await(error)));
  if (this->deadline.ended())
    error = boost::asio::error::operation_aborted;
  else if (error == boost::asio::error::eof)
    error = http::error::partial_message;
  else if (!error)
    this->reservation.OnProgress(BootNow());
}

void RequestReader::HoldChunks(size_t space) {
  std::string& body = this->parser.get().body();
  const size_t needed = body.size() + this->buffer.size() + space;
  if (this->header_bytes + needed <= this->reservation.bytes())
    return;
  this->Reserve(RoundUp(
      needed, needed > kLargeStepBytes ? kLargeStepBytes : kSmallStepBytes));
  if (needed <= body.capacity() || needed <= kSmallStepBytes)
    return;
  // The system provides the pages of a large block when they are written, and
  // growing it would need room for two copies.
  try {
    body.reserve(this->options.body_limit_bytes);
  } catch (const std::bad_alloc&) {
    throw NoRoomError();
  }
}

void RequestReader::Reserve(size_t body_bytes) {
  const size_t bytes = this->header_bytes + body_bytes;
  if (!this->options.budget || bytes <= kUncountedBytes)
    return;
  ByteBudget& budget = *this->options.budget;
  const common::TimePoint limit = BootNow() + kRoomWait;
  while (!this->reservation.GrowTo(budget, bytes)) {
    const common::TimePoint now = BootNow();
    if (now > limit || !budget.MakeRoom(this->reservation, bytes, now)) {
      budget.CountRefused();
      throw NoRoomError();
    }
    SleepFor(kRoomPoll);
  }
  this->reservation.AllowEnd(this->deadline.MakeEnd(), BootNow());
}

void DiscardInput(CallerStream& stream,
                  beast::flat_buffer& buffer,
                  size_t limit_bytes) {
  error_code error;
  stream.socket().shutdown(CallerStream::socket_type::shutdown_send, error);
  buffer.clear();
  stream.expires_after(kDiscardTime);
  size_t discarded = 0;
  while (!error && discarded < limit_bytes)
    discarded += stream.async_read_some(buffer.prepare(kDiscardPieceBytes),
                                        Await(error));
}

}  // namespace jujuberock::runtime::detail
