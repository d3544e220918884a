#include "core/runtime/http_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/runtime/await.h"
#include "core/runtime/sleep.h"
#include "core/runtime/stream_writer.h"

namespace jujuberock::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using common::Error;
using common::ResultCode;

namespace {

// The same executor as that of CallerStream, for the same reason.
using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<tcp, Executor>;
using Stream = detail::CallerStream;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;

// Bytes beyond the limit of a header that are held before they are parsed. The
// parser needs the whole of a chunk's header and of the trailer.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
constexpr common::Duration kAcceptBackoff = std::chrono::milliseconds(50);

// Time for which a draining server still accepts connections and requests, so
// that requests already sent get a response instead of a connection reset.
constexpr common::Duration kDrainGrace = std::chrono::seconds(1);
constexpr common::Duration kDrainPollPeriod = std::chrono::milliseconds(5);
// HTTP/1.1, as Beast counts versions.
constexpr unsigned kFirstVersionWithChunks = 11;

HttpRequest FromBeast(http::request<http::string_body>& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message)
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  request.body = std::move(message.body());
  return request;
}

// Whether it is known where the body ends and what it holds. With a transfer
// coding other than chunked neither is, and the bytes of the body would be
// taken for the next request (RFC 9112, section 6.3).
bool HasSupportedCoding(const http::request<http::string_body>& message) {
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

// Whether a request that ended with an error gets it as its response. After a
// disconnect it does, because the caller may have closed only its sending side;
// one that has left does not mind. Otherwise kCanceled asks for a connection
// that closes without a response.
bool MayRespond(const detail::StreamWriter& writer, const Error& error) {
  if (writer.started())
    return false;
  return error.code() != ResultCode::kCanceled || writer.caller_disconnected();
}

// Cancels a read that takes too long. The built-in timeout of beast::tcp_stream
// closes the socket, so no error response could be sent.
class ReadDeadline {
 public:
  ReadDeadline(Stream& stream, common::Duration limit)
      : timer(CurrentIoContext()), state(std::make_shared<State>()) {
    this->state->stream = &stream;
    this->Restart(limit);
  }
  ~ReadDeadline() { this->Stop(); }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  // Restarts the timer with a new limit, counted from now.
  void Restart(common::Duration limit) {
    this->timer.expires_after(limit);
    this->timer.async_wait([state = this->state](const error_code& error) {
      if (error || !state->stream)
        return;
      state->expired = true;
      error_code ignored;
      state->stream->socket().cancel(ignored);
    });
  }

  // Stops the timer; call it when the read has completed in time.
  void Stop() {
    this->state->stream = nullptr;
    this->timer.cancel();
  }

  bool expired() const { return this->state->expired; }

 private:
  // Shared with the pending wait, whose handler may run after destruction.
  struct State {
    Stream* stream = nullptr;
    bool expired = false;
  };

  Timer timer;
  std::shared_ptr<State> state;
};

}  // namespace

HttpResponse RenderPlainError(const Error& error) {
  const common::ResultCodeInfo& info = common::InfoOf(error.code());
  HttpResponse response;
  response.status = info.http_status;
  response.headers.Add("Content-Type", "text/plain");
  response.body = std::string(info.title) + ": " + error.what() + "\n";
  return response;
}

struct HttpServer::State : std::enable_shared_from_this<State> {
  State(WorkerPool& pool,
        HttpServerOptions options,
        HttpHandler handler,
        ErrorRenderer render_error)
      : pool(pool),
        current_options(std::make_shared<const HttpServerOptions>(options)),
        handler(std::move(handler)),
        render_error(std::move(render_error)),
        streams(pool.size()) {}

  void Listen(const Address& address);
  void Accept(size_t worker);
  void ServeConnection(size_t worker, Socket socket);
  void ServeRequests(Stream& stream);
  bool ServeNextRequest(Stream& stream, beast::flat_buffer& buffer);
  bool ReadAndHandle(Stream& stream, beast::flat_buffer& buffer);
  bool HandleRequest(Stream& stream, http::request<http::string_body>& message);
  void SendError(Stream& stream, const Error& error);
  void EndUnanswered(const Error& error);
  void EndUnansweredOn(size_t worker, const Error& error);
  void SpawnConnection(size_t worker, Socket socket);
  void StopAccepting(size_t worker);
  void Drain();
  void Close();

  WorkerPool& pool;
  std::shared_ptr<const HttpServerOptions> Options() const {
    return this->current_options.load();
  }

  std::atomic<std::shared_ptr<const HttpServerOptions>> current_options;
  HttpHandler handler;
  ErrorRenderer render_error;
  Address bound_address;
  // One acceptor per worker, all bound to the same port (SO_REUSEPORT),
  // so that a connection never moves between threads.
  std::vector<std::unique_ptr<Acceptor>> acceptors;
  struct ConnectionState {
    // Whether the connection is between two requests.
    bool is_idle = true;
    // Set while a handler runs.
    detail::StreamWriter* writer = nullptr;
  };
  // Open streams, indexed by worker and accessed only on that worker's thread.
  std::vector<std::map<Stream*, ConnectionState>> streams;
  std::atomic<size_t> fibers{0};
  std::atomic<size_t> connections{0};
  std::atomic<size_t> active{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> closing{false};
  // Workers that still accept connections while the server drains.
  std::atomic<size_t> undrained_workers{0};
};

void HttpServer::State::Listen(const Address& address) {
  try {
    tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                           address.port);
    using ReusePort =
        boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    for (size_t i = 0; i < this->pool.size(); ++i) {
      auto acceptor = std::make_unique<Acceptor>(this->pool.IoContextOf(i));
      acceptor->open(endpoint.protocol());
      acceptor->set_option(Acceptor::reuse_address(true));
      acceptor->set_option(ReusePort(true));
      acceptor->bind(endpoint);
      acceptor->listen(boost::asio::socket_base::max_listen_connections);
      endpoint = acceptor->local_endpoint();
      this->acceptors.push_back(std::move(acceptor));
    }
    this->bound_address = {address.ip, endpoint.port()};
  } catch (const boost::system::system_error& error) {
    throw Error(ResultCode::kInvalidSettings,
                "cannot listen on " + address.ToString() + ": " + error.what());
  }
  for (size_t i = 0; i < this->pool.size(); ++i) {
    ++this->fibers;
    this->pool.Spawn(i, [self = this->shared_from_this(), i] {
      self->Accept(i);
      --self->fibers;
    });
  }
}

void HttpServer::State::Accept(size_t worker) {
  Acceptor& acceptor = *this->acceptors[worker];
  while (acceptor.is_open()) {
    error_code error;
    Socket socket = acceptor.async_accept(Await(error));
    if (!error) {
      this->SpawnConnection(worker, std::move(socket));
      continue;
    }
    // Most likely out of file descriptors: back off so that connections close.
    if (acceptor.is_open())
      SleepFor(kAcceptBackoff);
  }
}

void HttpServer::State::SpawnConnection(size_t worker, Socket socket) {
  ++this->fibers;
  ++this->connections;
  SpawnLocal([self = this->shared_from_this(), worker,
              shared = std::make_shared<Socket>(std::move(socket))] {
    self->ServeConnection(worker, std::move(*shared));
    --self->fibers;
  });
}

void HttpServer::State::ServeConnection(size_t worker, Socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  Stream stream(std::move(socket));
  this->streams[worker][&stream] = {};
  this->ServeRequests(stream);
  this->streams[worker].erase(&stream);
  stream.socket().shutdown(Socket::shutdown_both, ignored);
  stream.close();
  --this->connections;
}

void HttpServer::State::ServeRequests(Stream& stream) {
  beast::flat_buffer buffer(this->Options()->header_limit_bytes +
                            kMaxReadAheadBytes);
  while (this->ServeNextRequest(stream, buffer)) {
  }
}

// Returns whether the connection stays open.
bool HttpServer::State::ServeNextRequest(Stream& stream,
                                         beast::flat_buffer& buffer) {
  const size_t worker = *WorkerPool::CurrentWorker();
  error_code error;
  if (buffer.size() == 0) {
    stream.expires_after(this->draining ? kDrainGrace
                                        : this->Options()->idle_timeout);
    auto space = buffer.prepare(4096);
    const size_t bytes = stream.async_read_some(space, Await(error));
    if (error)
      return false;
    buffer.commit(bytes);
  }
  ConnectionState& connection = this->streams[worker][&stream];
  connection.is_idle = false;
  ++this->active;
  const bool keep = this->ReadAndHandle(stream, buffer);
  --this->active;
  connection.is_idle = true;
  return keep;
}

bool HttpServer::State::ReadAndHandle(Stream& stream,
                                      beast::flat_buffer& buffer) {
  error_code error;
  http::request_parser<http::string_body> parser;
  parser.header_limit(
      static_cast<uint32_t>(this->Options()->header_limit_bytes));
  parser.body_limit(this->Options()->body_limit_bytes);
  stream.expires_never();
  ReadDeadline deadline(stream, this->Options()->header_timeout);
  http::async_read_header(stream, buffer, parser, Await(error));
  if (!error && !HasSupportedCoding(parser.get())) {
    this->SendError(stream, Error(ResultCode::kMalformedRequest,
                                  "unsupported transfer coding"));
    return false;
  }
  if (!error && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> continue_response(
          http::status::continue_, 11);
      http::async_write(stream, continue_response, Await(error));
    }
    stream.expires_never();
    deadline.Restart(this->Options()->body_timeout);
    http::async_read(stream, buffer, parser, Await(error));
  }
  if (error) {
    if (deadline.expired())
      this->SendError(stream, Error(ResultCode::kRequestTimeout,
                                    "the request did not arrive in time"));
    else if (auto read_error = ErrorForRead(error))
      this->SendError(stream, *read_error);
    return false;
  }
  deadline.Stop();
  return this->HandleRequest(stream, parser.get());
}

bool HttpServer::State::HandleRequest(
    Stream& stream,
    http::request<http::string_body>& message) {
  detail::ResponseForm form;
  form.keep_alive = message.keep_alive();
  form.is_head = message.method() == http::verb::head;
  form.knows_chunks = message.version() >= kFirstVersionWithChunks;
  const HttpRequest request = FromBeast(message);
  detail::StreamWriter writer(stream, this->Options()->write_timeout, form,
                              this->draining);
  const size_t worker = *WorkerPool::CurrentWorker();
  ConnectionState& connection = this->streams[worker][&stream];
  connection.writer = &writer;
  try {
    // A handler may run for much longer than the read and write timeouts.
    stream.expires_never();
    this->handler(request, writer);
  } catch (const Error& error) {
    if (MayRespond(writer, error)) {
      try {
        writer.Send(this->render_error(error));
      } catch (const Error&) {
        // The caller has closed the connection, so no response can be sent.
      }
    }
  } catch (const std::exception& error) {
    LOG(ERROR) << "handler failed: " << error.what();
    if (!writer.started())
      this->SendError(stream, Error(ResultCode::kInternal, "internal error"));
  }
  connection.writer = nullptr;
  writer.AwaitReplacement();
  writer.ResetIfIncomplete();
  return writer.keeps_connection();
}

void HttpServer::State::SendError(Stream& stream, const Error& error) {
  try {
    detail::StreamWriter writer(stream, this->Options()->write_timeout, {},
                                this->draining);
    writer.Send(this->render_error(error));
  } catch (const Error&) {
    // The peer has closed the connection.
  }
}

void HttpServer::State::EndUnanswered(const Error& error) {
  for (size_t i = 0; i < this->pool.size(); ++i) {
    ++this->fibers;
    this->pool.Spawn(i, [self = this->shared_from_this(), i, error] {
      self->EndUnansweredOn(i, error);
      --self->fibers;
    });
  }
}

void HttpServer::State::EndUnansweredOn(size_t worker, const Error& error) {
  for (const auto& [stream, connection] : this->streams[worker]) {
    detail::StreamWriter* writer = connection.writer;
    if (!writer || !writer->BeginReplacement())
      continue;
    // The connection's fiber waits for the replacement, so the writer lives
    // until then.
    SpawnLocal([writer, response = this->render_error(error)] {
      writer->SendReplacement(response);
    });
  }
}

void HttpServer::State::Drain() {
  if (this->draining.exchange(true))
    return;
  this->undrained_workers = this->pool.size();
  for (size_t i = 0; i < this->pool.size(); ++i) {
    ++this->fibers;
    this->pool.Spawn(i, [self = this->shared_from_this(), i] {
      for (common::Duration waited{0}; waited < kDrainGrace && !self->closing;
           waited += kDrainPollPeriod)
        SleepFor(kDrainPollPeriod);
      self->StopAccepting(i);
      --self->undrained_workers;
      --self->fibers;
    });
  }
}

// Serves the connections that are still in the accept backlog, then closes the
// acceptor and all idle connections.
void HttpServer::State::StopAccepting(size_t worker) {
  Acceptor& acceptor = *this->acceptors[worker];
  error_code error;
  acceptor.non_blocking(true, error);
  while (!this->closing && !error) {
    Socket socket = acceptor.accept(error);
    if (!error)
      this->SpawnConnection(worker, std::move(socket));
  }
  acceptor.close(error);
  for (const auto& [stream, connection] : this->streams[worker]) {
    // Only the receiving side is closed: a request that has arrived is read and
    // answered, even if the fiber of its connection has not run since.
    if (connection.is_idle)
      stream->socket().shutdown(Socket::shutdown_receive, error);
  }
}

void HttpServer::State::Close() {
  this->closing = true;
  this->Drain();
  for (size_t i = 0; i < this->pool.size(); ++i) {
    boost::asio::post(
        this->pool.IoContextOf(i), [self = this->shared_from_this(), i] {
          error_code ignored;
          self->acceptors[i]->close(ignored);
          for (const auto& [stream, connection] : self->streams[i])
            stream->socket().shutdown(Socket::shutdown_both, ignored);
        });
  }
}

HttpServer::HttpServer(WorkerPool& pool,
                       const Address& address,
                       HttpServerOptions options,
                       HttpHandler handler,
                       ErrorRenderer render_error)
    : state(std::make_shared<State>(pool,
                                    options,
                                    std::move(handler),
                                    std::move(render_error))) {
  this->state->Listen(address);
}

HttpServer::~HttpServer() {
  this->state->Close();
  // Waits, because running handlers refer to objects that the owner destroys
  // next.
  while (this->state->fibers.load() > 0) {
    if (WorkerPool::CurrentWorker())
      SleepFor(std::chrono::milliseconds(1));
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

Address HttpServer::address() const {
  return this->state->bound_address;
}

void HttpServer::SetOptions(HttpServerOptions options) {
  this->state->current_options.store(
      std::make_shared<const HttpServerOptions>(options));
}

void HttpServer::EndUnanswered(const Error& error) {
  this->state->EndUnanswered(error);
}

void HttpServer::Drain() {
  this->state->Drain();
}

bool HttpServer::IsDrained() const {
  return this->state->draining && this->state->undrained_workers == 0 &&
         this->state->connections == 0;
}

size_t HttpServer::ActiveRequests() const {
  return this->state->active;
}

size_t HttpServer::OpenConnections() const {
  return this->state->connections;
}

}  // namespace jujuberock::runtime
