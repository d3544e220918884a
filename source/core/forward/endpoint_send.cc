#include "core/forward/endpoint_send.h"

#include <algorithm>
#include <limits>
#include <utility>

#include <boost/asio/error.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/span_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/fiber/future.hpp>

#include "core/common/error.h"
#include "core/runtime/await.h"
#include "core/runtime/boot_clock.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::forward {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Longer bodies are written concurrently with reading the response: an endpoint
// may respond before it has read the whole body, and then stop reading until
// its response is consumed.
constexpr size_t kInlineBodyBytes = 8 * 1024;
constexpr uint32_t kMaxHeaderBytes = 32 * 1024;
constexpr size_t kReadChunkBytes = 4 * 1024;
// Responses to earlier requests that are discarded before the send fails.
constexpr int kMaxStaleResponses = 4;
// Bytes of stale responses and unused bodies that one send reads in order to
// keep its connection.
constexpr size_t kMaxSkippedBytes = 64 * 1024;
// An unused body is usually complete when its head arrives.
constexpr common::Duration kDiscardTime = std::chrono::milliseconds(50);
constexpr common::Duration kMinExpiry = std::chrono::milliseconds(1);

using RequestMessage = http::request<http::span_body<const char>>;

template <typename Parser>
Framing FramingOf(const Parser& parser) {
  if (parser.need_eof())
    return Framing::kConnection;
  return parser.chunked() ? Framing::kChunks : Framing::kLength;
}

RequestMessage BuildMessage(const CallerRequest& request,
                            const runtime::HttpHeaders& headers) {
  RequestMessage message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  for (const runtime::HttpHeader& field : headers.all())
    message.insert(field.name, field.value);
  const std::string_view body = request.body.view();
  message.body() = {body.data(), body.size()};
  message.prepare_payload();
  return message;
}

}  // namespace

struct EndpointSend::BackgroundWrite {
  RequestMessage message;
  // What the message refers to.
  SharedBody body;
  boost::fibers::promise<error_code> promise;
  // Set once the write has ended.
  boost::fibers::shared_future<error_code> result =
      this->promise.get_future().share();

  bool IsComplete() const {
    return this->result.wait_for(common::Duration(0)) ==
               boost::fibers::future_status::ready &&
           !this->result.get();
  }
};

EndpointSend::EndpointSend(ConnectionPool& pool,
                           const Codec& codec,
                           std::string address)
    : pool(pool), codec(codec), address(std::move(address)) {}

EndpointSend::~EndpointSend() {
  if (this->connection)
    this->connection->stream.close();
}

void EndpointSend::Cancel() {
  this->canceled = true;
  if (this->connection)
    this->connection->stream.close();
}

void EndpointSend::Fail(const error_code& error, const char* step) {
  const std::string detail = std::string(step) + ": " + error.message();
  const bool ended = error == http::error::end_of_stream ||
                     error == http::error::partial_message;
  const bool is_orderly = ended && !this->StopWriting();
  this->end = this->canceled ? ConnectionEnd::kHost
              : is_orderly   ? ConnectionEnd::kPeer
                             : ConnectionEnd::kBroken;
  if (this->canceled)
    throw SendError(SendFailure::kCanceled, detail);
  if (error == beast::error::timeout) {
    const bool is_stalled =
        this->progress_deadline && *this->progress_deadline < this->deadline;
    throw SendError(is_stalled ? SendFailure::kStalled : SendFailure::kTimeout,
                    detail);
  }
  const bool parse_error =
      error.category() ==
      http::make_error_code(http::error::bad_version).category();
  throw SendError(
      parse_error && !ended ? SendFailure::kMalformed : SendFailure::kBroken,
      detail);
}

void EndpointSend::ExpectProgressWithin(common::Duration limit) {
  this->progress_deadline = runtime::BootNow() + limit;
}

void EndpointSend::SetExpiry() {
  const common::TimePoint expiry = std::min(
      this->deadline, this->progress_deadline.value_or(this->deadline));
  const auto left = expiry - runtime::BootNow();
  this->connection->stream.expires_after(std::max(left, kMinExpiry));
}

void EndpointSend::Connect() {
  this->connection =
      this->pool.TakeIdle(this->address, this->attempt_id, runtime::BootNow());
  if (this->connection) {
    this->reused = true;
    return;
  }
  ConnectionPtr opened;
  try {
    opened = this->pool.Connect(this->address);
  } catch (const common::Error& error) {
    throw SendError(SendFailure::kNotConnected, error.what());
  }
  if (this->canceled)
    throw SendError(SendFailure::kCanceled, "canceled while connecting");
  this->connection = std::move(opened);
}

void EndpointSend::RecordUse() {
  runtime::CarriedRequests& carried = this->connection->carried;
  this->use = {this->connection->number, carried.size(),
               carried.Contains(this->attempt_id)};
  carried.Add(this->attempt_id);
}

ResponseHead EndpointSend::Open(const CallerRequest& request,
                                const SendParameters& parameters,
                                common::TimePoint deadline) {
  this->deadline = deadline;
  this->attempt_id = request.attempt_id;
  this->is_head_method = request.method == "HEAD";
  this->Connect();
  this->RecordUse();
  this->Write(request, parameters);
  for (int i = 0; i < kMaxStaleResponses; ++i) {
    this->head = this->ReadHead();
    const bool is_stale =
        this->head.attempt_id && *this->head.attempt_id != this->attempt_id;
    if (!is_stale && !runtime::IsInterimStatus(this->head.status)) {
      this->CheckIdentified();
      return this->head;
    }
    if (is_stale)
      this->strays.push_back({this->head.status, *this->head.attempt_id});
    if (!this->SkipBody())
      break;
    if (!this->parser->keep_alive())
      throw SendError(SendFailure::kBroken,
                      "connection closed after a stale response");
  }
  throw SendError(SendFailure::kMalformed, "received only stale responses");
}

void EndpointSend::CheckIdentified() const {
  const bool is_success = this->head.status < 300;
  // On a connection that was used before, or has brought an answer too many, a
  // response without an id may be a late copy of an earlier one.
  const bool may_be_copy = this->reused || !this->strays.empty();
  if (!this->head.attempt_id && (may_be_copy || is_success))
    throw SendError(SendFailure::kMalformed, "the response names no request");
}

void EndpointSend::CheckUsable() const {
  const bool is_success = this->head.status < 300;
  if (is_success && !this->head.is_signed)
    throw SendError(SendFailure::kMalformed,
                    "the success lacks the endpoint's signature");
  if (is_success && this->head.is_encoded)
    throw SendError(SendFailure::kMalformed, "the body is encoded");
  if (this->head.promises_not_run && !this->head.not_run)
    throw SendError(
        SendFailure::kMalformed,
        "the refusal does not confirm that the request did not run");
}

void EndpointSend::Write(const CallerRequest& request,
                         const SendParameters& parameters) {
  RequestMessage message = BuildMessage(
      request, this->codec.EncodeRequestHeaders(request, parameters));
  this->was_sent = true;
  this->SetExpiry();
  if (message.body().size() <= kInlineBodyBytes) {
    error_code error;
    http::async_write(this->connection->stream, message, runtime::Await(error));
    if (error)
      this->Fail(error, "write");
    return;
  }
  this->background = std::make_shared<BackgroundWrite>();
  this->background->message = std::move(message);
  this->background->body = request.body;
  runtime::SpawnLocal(
      [job = this->background, connection_ref = this->connection] {
        error_code error;
        http::async_write(connection_ref->stream, job->message,
                          runtime::Await(error));
        job->promise.set_value(error);
      });
}

error_code EndpointSend::StopWriting() {
  if (!this->background)
    return {};
  this->connection->stream.close();
  const error_code error = this->background->result.get();
  const bool is_stopped = error == boost::asio::error::operation_aborted ||
                          error == boost::asio::error::bad_descriptor;
  // The kernel reports a connection that was reset after the endpoint had
  // closed it in order as a broken pipe.
  const bool was_closed_before = error == boost::asio::error::broken_pipe;
  return is_stopped || was_closed_before ? error_code() : error;
}

void EndpointSend::CheckOrderlyEnd() {
  if (const error_code error = this->StopWriting())
    this->Fail(error, "write body");
}

void EndpointSend::ResetParser() {
  this->parser = std::make_unique<Parser>();
  this->parser->header_limit(kMaxHeaderBytes);
  // Beast 1.74 treats boost::none as a limit of zero.
  this->parser->body_limit(std::numeric_limits<uint64_t>::max());
  if (this->is_head_method)
    this->parser->skip(true);
}

ResponseHead EndpointSend::ReadHead() {
  this->ResetParser();
  error_code error;
  this->SetExpiry();
  http::async_read_header(this->connection->stream, this->connection->buffer,
                          *this->parser, runtime::Await(error));
  if (error)
    this->Fail(error, "read header");
  const int status = static_cast<int>(this->parser->get().result_int());
  if (!runtime::IsValidStatus(status))
    this->Fail(http::error::bad_status, "read header");
  runtime::HttpHeaders headers;
  for (const auto& field : this->parser->get())
    headers.Add(std::string(field.name_string()), std::string(field.value()));
  this->body_framing = FramingOf(*this->parser);
  this->read_bytes = 0;
  return this->codec.DecodeResponseHead(status, headers);
}

bool EndpointSend::SkipBody() {
  while (const auto bytes = this->ReadChunk()) {
    this->skipped_bytes += bytes->size();
    if (this->skipped_bytes > kMaxSkippedBytes)
      return false;
  }
  return true;
}

void EndpointSend::Discard() {
  if (!this->connection)
    return;
  this->deadline = std::min(this->deadline, runtime::BootNow() + kDiscardTime);
  try {
    if (this->SkipBody()) {
      this->Finish();
      return;
    }
  } catch (const SendError&) {
    // The body is of no use, so its end need not be known; the connection is
    // closed below.
  }
  this->connection->stream.close();
  this->connection = nullptr;
  this->end = ConnectionEnd::kHost;
}

std::optional<std::string> EndpointSend::ReadChunk() {
  while (!this->parser->is_done()) {
    std::string bytes(kReadChunkBytes, '\0');
    auto& body = this->parser->get().body();
    body.data = bytes.data();
    body.size = bytes.size();
    body.more = true;
    error_code error;
    this->SetExpiry();
    http::async_read_some(this->connection->stream, this->connection->buffer,
                          *this->parser, runtime::Await(error));
    if (error && error != http::error::need_buffer)
      this->Fail(error, "read body");
    bytes.resize(bytes.size() - body.size);
    this->read_bytes += bytes.size();
    if (!bytes.empty())
      return bytes;
  }
  if (this->ends_with_connection())
    this->CheckOrderlyEnd();
  return std::nullopt;
}

std::optional<std::string> EndpointSend::Read() {
  if (!this->connection)
    return std::nullopt;
  auto bytes = this->ReadChunk();
  if (!bytes)
    this->Finish();
  return bytes;
}

void EndpointSend::Finish() {
  const bool is_body_written =
      !this->background || this->background->IsComplete();
  const bool is_buffer_empty = this->connection->buffer.size() == 0;
  const bool is_reusable =
      this->parser->keep_alive() && !this->head.closes_connection;
  ConnectionPtr done = std::move(this->connection);
  this->connection = nullptr;
  if (!is_body_written || !is_buffer_empty || !is_reusable || this->canceled) {
    done->stream.close();
    this->end = this->ends_with_connection() ? ConnectionEnd::kPeer
                                             : ConnectionEnd::kHost;
    return;
  }
  if (this->head.keep_alive)
    done->idle_limit = *this->head.keep_alive;
  this->pool.PutIdle(this->address, std::move(done), runtime::BootNow());
}

}  // namespace jujuberock::forward
