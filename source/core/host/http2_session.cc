#include "core/host/http2_session.h"

#include <algorithm>
#include <array>
#include <cstring>
#include <optional>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

#include "core/runtime/await.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::host {

using boost::system::error_code;
using common::Outcome;
using common::ResultCode;
using runtime::Await;

namespace {

constexpr std::string_view kPathPrefix = "/host/";
constexpr size_t kReadBytes = 16 * 1024;
constexpr size_t kWriteBytes = 64 * 1024;
constexpr uint32_t kMaxStreams = 256;
constexpr int32_t kStreamWindow = 1024 * 1024;
constexpr int32_t kConnectionWindow = 8 * 1024 * 1024;
constexpr int kOkStatus = 200;

nghttp2_nv MakeHeader(std::string_view name, std::string_view value) {
  auto bytes = [](std::string_view text) {
    return reinterpret_cast<uint8_t*>(const_cast<char*>(text.data()));
  };
  return {bytes(name), bytes(value), name.size(), value.size(),
          NGHTTP2_NV_FLAG_NONE};
}

Response MakeFailure(ResultCode code, Outcome outcome, std::string detail) {
  return {code, outcome, std::move(detail)};
}

std::optional<Outcome> ParseOutcome(std::string_view name) {
  for (Outcome outcome :
       {Outcome::kNotRun, Outcome::kUnknown, Outcome::kDone}) {
    if (common::NameOf(outcome) == name)
      return outcome;
  }
  return std::nullopt;
}

int ParseNumber(std::string_view text) {
  int number = 0;
  for (char c : text.substr(0, 6)) {
    if (c < '0' || c > '9')
      return -1;
    number = number * 10 + (c - '0');
  }
  return number;
}

}  // namespace

// State of one HTTP/2 stream. On the server `in` is the request body and `out`
// the response body; on the client it is the reverse.
struct Http2Session::Stream {
  std::string path;
  int status = 0;
  std::string result_code;
  std::string outcome;
  std::string in;
  std::string out;
  size_t out_sent = 0;
  bool too_large = false;
  bool dispatched = false;
};

struct Http2Session::Callbacks {
  static Http2Session* SessionOf(void* user) {
    return static_cast<Http2Session*>(user);
  }

  static int OnBeginHeaders(nghttp2_session*,
                            const nghttp2_frame* frame,
                            void* user) {
    Http2Session* self = SessionOf(user);
    if (self->side == Side::kServer &&
        frame->headers.cat == NGHTTP2_HCAT_REQUEST)
      self->streams[frame->hd.stream_id] = std::make_unique<Stream>();
    return 0;
  }

  static int OnHeader(nghttp2_session*,
                      const nghttp2_frame* frame,
                      const uint8_t* name,
                      size_t name_bytes,
                      const uint8_t* value,
                      size_t value_bytes,
                      uint8_t,
                      void* user) {
    Stream* stream = SessionOf(user)->FindStream(frame->hd.stream_id);
    if (!stream)
      return 0;
    const std::string_view field(reinterpret_cast<const char*>(name),
                                 name_bytes);
    const std::string_view text(reinterpret_cast<const char*>(value),
                                value_bytes);
    if (field == ":path")
      stream->path = text;
    if (field == ":status")
      stream->status = ParseNumber(text);
    if (field == "result-code")
      stream->result_code = text;
    if (field == "outcome")
      stream->outcome = text;
    return 0;
  }

  static int OnData(nghttp2_session*,
                    uint8_t,
                    int32_t id,
                    const uint8_t* data,
                    size_t bytes,
                    void* user) {
    Http2Session* self = SessionOf(user);
    Stream* stream = self->FindStream(id);
    if (!stream || stream->too_large)
      return 0;
    const bool fits =
        stream->in.size() + bytes <= self->limits.max_message_bytes &&
        self->buffered_bytes + bytes <= self->limits.max_buffered_bytes;
    if (!fits) {
      stream->too_large = true;
      self->buffered_bytes -= stream->in.size();
      stream->in.clear();
      return 0;
    }
    stream->in.append(reinterpret_cast<const char*>(data), bytes);
    self->buffered_bytes += bytes;
    return 0;
  }

  static int OnFrameReceived(nghttp2_session*,
                             const nghttp2_frame* frame,
                             void* user) {
    Http2Session* self = SessionOf(user);
    const bool is_pong =
        frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK);
    if (is_pong) {
      self->pings_acked = self->pings_sent;
      self->pong.notify_all();
    }
    const bool has_body =
        frame->hd.type == NGHTTP2_DATA || frame->hd.type == NGHTTP2_HEADERS;
    const bool is_end = frame->hd.flags & NGHTTP2_FLAG_END_STREAM;
    if (self->side == Side::kServer && has_body && is_end)
      self->Dispatch(frame->hd.stream_id);
    return 0;
  }

  static int OnFrameSent(nghttp2_session*,
                         const nghttp2_frame* frame,
                         void* user) {
    if (frame->hd.type != NGHTTP2_HEADERS)
      return 0;
    auto& calls = SessionOf(user)->calls;
    const auto call = calls.find(frame->hd.stream_id);
    if (call != calls.end())
      call->second->sent = true;
    return 0;
  }

  // nghttp2 reports no stream close for a request that was canceled before its
  // headers were sent, so the call is completed here.
  static int OnFrameNotSent(nghttp2_session*,
                            const nghttp2_frame* frame,
                            int,
                            void* user) {
    Http2Session* self = SessionOf(user);
    const int32_t id = frame->hd.stream_id;
    if (frame->hd.type != NGHTTP2_HEADERS || self->side != Side::kClient)
      return 0;
    if (self->calls.contains(id))
      self->CompleteCall(self->FindStream(id), NGHTTP2_REFUSED_STREAM);
    self->streams.erase(id);
    return 0;
  }

  static int OnStreamClose(nghttp2_session*,
                           int32_t id,
                           uint32_t error_code,
                           void* user) {
    Http2Session* self = SessionOf(user);
    Stream* stream = self->FindStream(id);
    if (!stream)
      return 0;
    if (self->calls.contains(id))
      self->CompleteCall(stream, error_code);
    self->buffered_bytes -= stream->in.size();
    self->streams.erase(id);
    return 0;
  }

  static ssize_t ReadBody(nghttp2_session*,
                          int32_t id,
                          uint8_t* buffer,
                          size_t bytes,
                          uint32_t* flags,
                          nghttp2_data_source*,
                          void* user) {
    Stream* stream = SessionOf(user)->FindStream(id);
    if (!stream)
      return NGHTTP2_ERR_TEMPORAL_CALLBACK_FAILURE;
    const size_t remaining = stream->out.size() - stream->out_sent;
    const size_t copied = std::min(remaining, bytes);
    std::memcpy(buffer, stream->out.data() + stream->out_sent, copied);
    stream->out_sent += copied;
    if (stream->out_sent == stream->out.size())
      *flags |= NGHTTP2_DATA_FLAG_EOF;
    return static_cast<ssize_t>(copied);
  }
};

Http2Session::Http2Session(Side side,
                           boost::beast::tcp_stream stream,
                           SessionLimits limits,
                           WireCounters counters,
                           RequestHandler handle_request)
    : side(side),
      stream(std::move(stream)),
      limits(limits),
      counters(counters),
      handle_request(std::move(handle_request)) {
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_begin_headers_callback(
      callbacks, Callbacks::OnBeginHeaders);
  nghttp2_session_callbacks_set_on_header_callback(callbacks,
                                                   Callbacks::OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            Callbacks::OnData);
  nghttp2_session_callbacks_set_on_frame_recv_callback(
      callbacks, Callbacks::OnFrameReceived);
  nghttp2_session_callbacks_set_on_frame_send_callback(callbacks,
                                                       Callbacks::OnFrameSent);
  nghttp2_session_callbacks_set_on_frame_not_send_callback(
      callbacks, Callbacks::OnFrameNotSent);
  nghttp2_session_callbacks_set_on_stream_close_callback(
      callbacks, Callbacks::OnStreamClose);
  if (side == Side::kClient)
    nghttp2_session_client_new(&this->session, callbacks, this);
  else
    nghttp2_session_server_new(&this->session, callbacks, this);
  nghttp2_session_callbacks_del(callbacks);
  const std::array settings = {
      nghttp2_settings_entry{NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                             kMaxStreams},
      nghttp2_settings_entry{NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE,
                             kStreamWindow},
  };
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, settings.data(),
                          settings.size());
  nghttp2_session_set_local_window_size(this->session, NGHTTP2_FLAG_NONE, 0,
                                        kConnectionWindow);
}

Http2Session::~Http2Session() {
  nghttp2_session_del(this->session);
}

Http2Session::Stream* Http2Session::FindStream(int32_t id) {
  const auto found = this->streams.find(id);
  return found == this->streams.end() ? nullptr : found->second.get();
}

void Http2Session::Run() {
  const auto self = this->shared_from_this();
  std::array<uint8_t, kReadBytes> buffer;
  this->StartWriting();
  while (!this->is_closed) {
    error_code error;
    this->stream.expires_after(this->limits.idle_timeout);
    const size_t bytes =
        this->stream.async_read_some(boost::asio::buffer(buffer), Await(error));
    if (error) {
      this->Close("read: " + error.message());
      break;
    }
    this->last_received_at = Clock::now();
    this->counters.received.Add(bytes);
    const ssize_t consumed =
        nghttp2_session_mem_recv(this->session, buffer.data(), bytes);
    if (consumed < 0) {
      this->Close(std::string("protocol error: ") +
                  nghttp2_strerror(static_cast<int>(consumed)));
      break;
    }
    this->StartWriting();
    if (!nghttp2_session_want_read(this->session) &&
        !nghttp2_session_want_write(this->session)) {
      this->Close("closed after GOAWAY");
    }
  }
}

void Http2Session::StartWriting() {
  if (this->writing || this->is_closed)
    return;
  this->writing = true;
  runtime::SpawnLocal([self = this->shared_from_this()] { self->WriteLoop(); });
}

void Http2Session::WriteLoop() {
  std::string pending;
  while (!this->is_closed) {
    pending.clear();
    while (pending.size() < kWriteBytes) {
      const uint8_t* data = nullptr;
      const ssize_t bytes = nghttp2_session_mem_send(this->session, &data);
      if (bytes < 0) {
        this->Close("protocol error while sending");
        break;
      }
      if (bytes == 0)
        break;
      pending.append(reinterpret_cast<const char*>(data),
                     static_cast<size_t>(bytes));
    }
    if (pending.empty() || this->is_closed)
      break;
    error_code error;
    this->stream.expires_after(this->limits.write_timeout);
    boost::asio::async_write(this->stream, boost::asio::buffer(pending),
                             Await(error));
    if (error) {
      this->Close("write: " + error.message());
      break;
    }
    this->counters.sent.Add(pending.size());
  }
  this->writing = false;
  const bool ended = !nghttp2_session_want_read(this->session) &&
                     !nghttp2_session_want_write(this->session);
  if (ended)
    this->Close("HTTP/2 session ended");
}

void Http2Session::Close(const std::string& reason) {
  if (this->is_closed)
    return;
  this->is_closed = true;
  this->close_reason = reason;
  error_code ignored;
  this->stream.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_both,
                                 ignored);
  this->stream.close();
  auto failed = std::move(this->calls);
  this->calls.clear();
  for (auto& [id, call] : failed) {
    const Outcome outcome = call->sent ? Outcome::kUnknown : Outcome::kNotRun;
    call->response = MakeFailure(ResultCode::kPeerUnavailable, outcome,
                                 "connection closed: " + reason);
    call->done = true;
    call->changed.notify_all();
  }
  this->pong.notify_all();
}

Response Http2Session::Exchange(std::string_view message,
                                std::string_view body,
                                Clock::time_point deadline) {
  const auto self = this->shared_from_this();
  if (this->is_closed)
    return MakeFailure(ResultCode::kPeerUnavailable, Outcome::kNotRun,
                       "connection closed: " + this->close_reason);
  auto call = std::make_shared<PendingCall>();
  this->SubmitRequest(call, message, body);
  this->StartWriting();
  std::unique_lock lock(this->mutex);
  const bool done =
      call->changed.wait_until(lock, deadline, [&] { return call->done; });
  if (done)
    return std::move(call->response);
  this->calls.erase(call->stream);
  if (!this->is_closed) {
    nghttp2_submit_rst_stream(this->session, NGHTTP2_FLAG_NONE, call->stream,
                              NGHTTP2_CANCEL);
    this->StartWriting();
  }
  return MakeFailure(ResultCode::kDeadlineExceeded,
                     call->sent ? Outcome::kUnknown : Outcome::kNotRun,
                     "no response before the deadline");
}

void Http2Session::SubmitRequest(const std::shared_ptr<PendingCall>& call,
                                 std::string_view message,
                                 std::string_view body) {
  const std::string path = std::string(kPathPrefix) + std::string(message);
  const std::array fields = {
      MakeHeader(":method", "POST"),
      MakeHeader(":scheme", "http"),
      MakeHeader(":authority", "host"),
      MakeHeader(":path", path),
  };
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadBody;
  const int32_t id = nghttp2_submit_request(
      this->session, nullptr, fields.data(), fields.size(), &provider, nullptr);
  if (id < 0) {
    call->response = MakeFailure(ResultCode::kPeerUnavailable, Outcome::kNotRun,
                                 nghttp2_strerror(id));
    call->done = true;
    // A connection has 2^30 client stream ids. Closing it makes the next call
    // open a new connection.
    this->Close("stream ids exhausted");
    return;
  }
  call->stream = id;
  auto stream = std::make_unique<Stream>();
  stream->out = body;
  this->streams[id] = std::move(stream);
  this->calls[id] = call;
}

void Http2Session::CompleteCall(Stream* stream, uint32_t error_code) {
  const auto found = std::find_if(
      this->calls.begin(), this->calls.end(),
      [&](const auto& c) { return this->FindStream(c.first) == stream; });
  const std::shared_ptr<PendingCall> call = found->second;
  this->calls.erase(found);
  const Outcome sent = call->sent ? Outcome::kUnknown : Outcome::kNotRun;
  if (error_code == NGHTTP2_REFUSED_STREAM) {
    call->response = MakeFailure(ResultCode::kPeerUnavailable, Outcome::kNotRun,
                                 "the peer refused the HTTP/2 stream");
  } else if (error_code != NGHTTP2_NO_ERROR) {
    call->response =
        MakeFailure(ResultCode::kProtocolError, sent,
                    std::string("the peer reset the HTTP/2 stream: ") +
                        nghttp2_http2_strerror(error_code));
  } else if (!runtime::IsFinalStatus(stream->status)) {
    call->response = MakeFailure(ResultCode::kProtocolError, sent,
                                 "the response has a malformed status");
  } else if (stream->too_large) {
    call->response = MakeFailure(ResultCode::kValueTooLarge, Outcome::kUnknown,
                                 "the response exceeds the message size limit");
  } else if (stream->status == kOkStatus) {
    call->response = {ResultCode::kOk, Outcome::kDone, std::move(stream->in)};
    this->buffered_bytes -= call->response.body.size();
    stream->in.clear();
  } else {
    const auto code =
        common::ResultCodeFromNumber(ParseNumber(stream->result_code));
    call->response =
        MakeFailure(code.value_or(ResultCode::kProtocolError),
                    ParseOutcome(stream->outcome).value_or(sent), stream->in);
  }
  call->done = true;
  call->changed.notify_all();
}

void Http2Session::Dispatch(int32_t stream_id) {
  Stream* stream = this->FindStream(stream_id);
  if (!stream || stream->dispatched)
    return;
  stream->dispatched = true;
  if (stream->too_large) {
    this->Respond(stream_id,
                  MakeFailure(ResultCode::kValueTooLarge, Outcome::kNotRun,
                              "the message exceeds the size limit"));
    return;
  }
  if (!stream->path.starts_with(kPathPrefix)) {
    this->Respond(stream_id,
                  MakeFailure(ResultCode::kProtocolError, Outcome::kNotRun,
                              "the request path is not a message path"));
    return;
  }
  std::string message = stream->path.substr(kPathPrefix.size());
  std::string body = std::move(stream->in);
  stream->in.clear();
  this->buffered_bytes -= body.size();
  runtime::SpawnLocal([self = this->shared_from_this(), stream_id,
                       message = std::move(message),
                       body = std::move(body)]() mutable {
    const Response response = self->handle_request(message, std::move(body));
    if (!self->is_closed) {
      self->Respond(stream_id, response);
      self->StartWriting();
    }
  });
}

void Http2Session::Respond(int32_t stream_id, const Response& response) {
  Stream* stream = this->FindStream(stream_id);
  // The caller canceled the stream while the handler ran.
  if (!stream)
    return;
  stream->out = response.body;
  const auto& info = common::InfoOf(response.code);
  const std::string status = std::to_string(info.http_status);
  const std::string code = std::to_string(static_cast<int>(response.code));
  std::vector<nghttp2_nv> fields = {MakeHeader(":status", status)};
  if (response.code != ResultCode::kOk) {
    fields.push_back(MakeHeader("result-code", code));
    fields.push_back(MakeHeader("outcome", common::NameOf(response.outcome)));
  }
  nghttp2_data_provider provider{};
  provider.read_callback = Callbacks::ReadBody;
  nghttp2_submit_response(this->session, stream_id, fields.data(),
                          fields.size(), &provider);
}

void Http2Session::Ping() {
  if (this->is_closed || this->ping_pending())
    return;
  ++this->pings_sent;
  this->last_ping_sent_at = Clock::now();
  nghttp2_submit_ping(this->session, NGHTTP2_FLAG_NONE, nullptr);
  this->StartWriting();
}

bool Http2Session::PingAndWait(Clock::time_point deadline) {
  this->Ping();
  std::unique_lock lock(this->mutex);
  return this->pong.wait_until(lock, deadline, [&] {
    return this->is_closed || !this->ping_pending();
  }) && !this->is_closed;
}

}  // namespace jujuberock::host
