#include "core/runtime/http_server.h"

#include <glog/logging.h>

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

namespace jujuberock::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using common::Error;
using common::ResultCode;

namespace {

// The usual types of Asio and Beast hide the executor behind virtual calls,
// which took several percent of a forwarded request.
using Executor = boost::asio::io_context::executor_type;
using Socket = boost::asio::basic_stream_socket<tcp, Executor>;
using Acceptor = boost::asio::basic_socket_acceptor<tcp, Executor>;
using Stream = beast::basic_stream<tcp, Executor>;
using Timer = boost::asio::basic_waitable_timer<
    std::chrono::steady_clock,
    boost::asio::wait_traits<std::chrono::steady_clock>,
    Executor>;

constexpr common::Duration kAcceptBackoff = std::chrono::milliseconds(50);

// How long a draining server still accepts connections and requests, so that
// what callers have sent already gets an answer instead of a reset.
constexpr common::Duration kDrainGrace = std::chrono::seconds(1);
constexpr common::Duration kCloseCheck = std::chrono::milliseconds(5);

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

template <typename Body>
void FillHead(http::response<Body>& message,
              int status,
              const HttpHeaders& headers,
              bool keep_alive) {
  message.version(11);
  message.result(static_cast<unsigned>(status));
  for (const HttpHeader& field : headers.all())
    message.insert(field.name, field.value);
  message.keep_alive(keep_alive);
}

// The error to answer for a failed read; nothing when the peer is gone.
std::optional<Error> ErrorOfRead(const error_code& error) {
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

// Ends a read that takes too long. The timeout of beast::tcp_stream would close
// the socket, and the caller could not be told.
class ReadDeadline {
 public:
  ReadDeadline(Stream& stream, common::Duration limit)
      : timer(CurrentIo()), state(std::make_shared<State>()) {
    this->state->stream = &stream;
    this->Extend(limit);
  }
  ~ReadDeadline() { this->Stop(); }
  ReadDeadline(const ReadDeadline&) = delete;
  ReadDeadline& operator=(const ReadDeadline&) = delete;

  // Counts from now; ends the former wait.
  void Extend(common::Duration limit) {
    this->timer.expires_after(limit);
    this->timer.async_wait([state = this->state](const error_code& error) {
      if (error || !state->stream)
        return;
      state->expired = true;
      error_code ignored;
      state->stream->socket().cancel(ignored);
    });
  }

  // The read has ended in time.
  void Stop() {
    this->state->stream = nullptr;
    this->timer.cancel();
  }

  bool expired() const { return this->state->expired; }

 private:
  // Shared with the pending wait, which may end later.
  struct State {
    Stream* stream = nullptr;
    bool expired = false;
  };

  Timer timer;
  std::shared_ptr<State> state;
};

class StreamWriter : public ResponseWriter {
 public:
  StreamWriter(Stream& stream,
               common::Duration write_timeout,
               bool keep_alive,
               bool is_head)
      : stream(stream),
        write_timeout(write_timeout),
        keep_alive(keep_alive),
        is_head(is_head) {}

  void Send(HttpResponse response) override {
    this->has_started = true;
    http::response<http::string_body> message;
    FillHead(message, response.status, response.headers, this->keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    if (this->is_head)
      message.body().clear();
    this->stream.expires_after(this->write_timeout);
    error_code error;
    http::response_serializer<http::string_body> serializer(message);
    if (this->is_head)
      http::async_write_header(this->stream, serializer, Await(error));
    else
      http::async_write(this->stream, serializer, Await(error));
    this->Check(error);
    this->has_finished = true;
  }

  void StartStream(int status, HttpHeaders headers) override {
    this->has_started = true;
    http::response<http::empty_body> message;
    FillHead(message, status, headers, this->keep_alive);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    this->stream.expires_after(this->write_timeout);
    error_code error;
    http::async_write_header(this->stream, serializer, Await(error));
    this->Check(error);
  }

  void Write(std::string_view bytes) override {
    if (bytes.empty())
      return;
    this->stream.expires_after(this->write_timeout);
    error_code error;
    boost::asio::async_write(
        this->stream,
        http::make_chunk(boost::asio::buffer(bytes.data(), bytes.size())),
        Await(error));
    this->Check(error);
  }

  void FinishStream() override {
    this->stream.expires_after(this->write_timeout);
    error_code error;
    boost::asio::async_write(this->stream, http::make_chunk_last(),
                             Await(error));
    this->Check(error);
    this->has_finished = true;
  }

  ~StreamWriter() override {
    if (!this->watch)
      return;
    // No read or write is pending here, so only the wait is canceled.
    this->watch->reset();
    error_code ignored;
    this->stream.socket().cancel(ignored);
  }

  void OnCallerGone(std::function<void()> callback) override {
    this->watch = std::make_shared<GoneWatch>(std::move(callback));
    this->stream.socket().async_wait(
        Socket::wait_read,
        [watch = this->watch,
         &socket = this->stream.socket()](const error_code& error) {
          // After reset() the socket may not exist any more.
          if (!*watch || (!error && !IsClosed(socket)))
            return;
          SpawnHere(std::move(**watch));
        });
  }

  bool started() const override { return this->has_started; }
  bool finished() const { return this->has_finished; }

 private:
  void Check(const error_code& error) {
    if (error)
      throw Error(ResultCode::kCanceled, "caller gone: " + error.message());
  }

  // Bytes that arrive early belong to the next request.
  static bool IsClosed(Socket& socket) {
    error_code error;
    char byte;
    socket.non_blocking(true, error);
    const size_t bytes = socket.receive(boost::asio::buffer(&byte, 1),
                                        Socket::message_peek, error);
    return bytes == 0 && error != boost::asio::error::would_block;
  }

  Stream& stream;
  common::Duration write_timeout;
  bool keep_alive;
  bool is_head;
  // Shared with the pending wait; empty once the handler has returned.
  using GoneWatch = std::optional<std::function<void()>>;
  std::shared_ptr<GoneWatch> watch;
  bool has_started = false;
  bool has_finished = false;
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
        limits(std::make_shared<const HttpServerOptions>(options)),
        handler(std::move(handler)),
        render_error(std::move(render_error)),
        streams(pool.size()) {}

  void Listen(const Address& address);
  void Accept(size_t worker);
  void Serve(size_t worker, Socket socket);
  void ServeRequests(Stream& stream);
  bool ServeOne(Stream& stream, beast::flat_buffer& buffer);
  bool ReadAndAnswer(Stream& stream, beast::flat_buffer& buffer);
  bool Answer(Stream& stream, http::request<http::string_body>& message);
  void Reject(Stream& stream, const Error& error);
  void StartServing(size_t worker, Socket socket);
  void StopAccepting(size_t worker);
  void Drain();
  void Close();

  WorkerPool& pool;
  std::shared_ptr<const HttpServerOptions> Limits() const {
    return this->limits.load();
  }

  std::atomic<std::shared_ptr<const HttpServerOptions>> limits;
  HttpHandler handler;
  ErrorRenderer render_error;
  Address bound;
  // One acceptor a worker, all on the same port (SO_REUSEPORT), so that a
  // connection never moves between threads.
  std::vector<std::unique_ptr<Acceptor>> acceptors;
  // Open streams of each worker, touched on that worker's thread only. The
  // flag tells whether the stream waits between two requests.
  std::vector<std::map<Stream*, bool>> streams;
  std::atomic<size_t> fibers{0};
  std::atomic<size_t> connections{0};
  std::atomic<size_t> active{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> closing{false};
  // Workers that still accept although the server drains.
  std::atomic<size_t> undrained_workers{0};
};

void HttpServer::State::Listen(const Address& address) {
  try {
    tcp::endpoint endpoint(boost::asio::ip::make_address(address.ip),
                           address.port);
    using ReusePort =
        boost::asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;
    for (size_t i = 0; i < this->pool.size(); ++i) {
      auto acceptor = std::make_unique<Acceptor>(this->pool.IoOf(i));
      acceptor->open(endpoint.protocol());
      acceptor->set_option(Acceptor::reuse_address(true));
      acceptor->set_option(ReusePort(true));
      acceptor->bind(endpoint);
      acceptor->listen(boost::asio::socket_base::max_listen_connections);
      endpoint = acceptor->local_endpoint();
      this->acceptors.push_back(std::move(acceptor));
    }
    this->bound = {address.ip, endpoint.port()};
  } catch (const boost::system::system_error& error) {
    throw Error(
        ResultCode::kInvalidSettings,
        "can not listen on " + address.ToString() + ": " + error.what());
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
      this->StartServing(worker, std::move(socket));
      continue;
    }
    // Out of file descriptors, most likely: give connections time to close.
    if (acceptor.is_open())
      SleepFor(kAcceptBackoff);
  }
}

void HttpServer::State::StartServing(size_t worker, Socket socket) {
  ++this->fibers;
  ++this->connections;
  SpawnHere([self = this->shared_from_this(), worker,
             shared = std::make_shared<Socket>(std::move(socket))] {
    self->Serve(worker, std::move(*shared));
    --self->fibers;
  });
}

void HttpServer::State::Serve(size_t worker, Socket socket) {
  error_code ignored;
  socket.set_option(tcp::no_delay(true), ignored);
  Stream stream(std::move(socket));
  this->streams[worker][&stream] = true;
  this->ServeRequests(stream);
  this->streams[worker].erase(&stream);
  stream.socket().shutdown(Socket::shutdown_both, ignored);
  stream.close();
  --this->connections;
}

void HttpServer::State::ServeRequests(Stream& stream) {
  beast::flat_buffer buffer;
  while (this->ServeOne(stream, buffer) && !this->draining) {
  }
}

// Returns whether the connection stays open.
bool HttpServer::State::ServeOne(Stream& stream, beast::flat_buffer& buffer) {
  const size_t worker = *WorkerPool::CurrentWorker();
  error_code error;
  if (buffer.size() == 0) {
    stream.expires_after(this->draining ? kDrainGrace
                                        : this->Limits()->idle_timeout);
    auto space = buffer.prepare(4096);
    const size_t bytes = stream.async_read_some(space, Await(error));
    if (error)
      return false;
    buffer.commit(bytes);
  }
  this->streams[worker][&stream] = false;
  ++this->active;
  const bool keep = this->ReadAndAnswer(stream, buffer);
  --this->active;
  this->streams[worker][&stream] = true;
  return keep;
}

bool HttpServer::State::ReadAndAnswer(Stream& stream,
                                      beast::flat_buffer& buffer) {
  error_code error;
  http::request_parser<http::string_body> parser;
  parser.header_limit(
      static_cast<uint32_t>(this->Limits()->header_limit_bytes));
  parser.body_limit(this->Limits()->body_limit_bytes);
  stream.expires_never();
  ReadDeadline deadline(stream, this->Limits()->header_timeout);
  http::async_read_header(stream, buffer, parser, Await(error));
  if (!error && !parser.is_done()) {
    if (beast::iequals(parser.get()[http::field::expect], "100-continue")) {
      http::response<http::empty_body> proceed(http::status::continue_, 11);
      http::async_write(stream, proceed, Await(error));
    }
    stream.expires_never();
    deadline.Extend(this->Limits()->body_timeout);
    http::async_read(stream, buffer, parser, Await(error));
  }
  if (error) {
    if (deadline.expired())
      this->Reject(stream, Error(ResultCode::kRequestTimeout,
                                 "the request did not arrive in time"));
    else if (auto problem = ErrorOfRead(error))
      this->Reject(stream, *problem);
    return false;
  }
  deadline.Stop();
  return this->Answer(stream, parser.get());
}

bool HttpServer::State::Answer(Stream& stream,
                               http::request<http::string_body>& message) {
  const bool keep_alive = message.keep_alive() && !this->draining;
  const bool is_head = message.method() == http::verb::head;
  const HttpRequest request = FromBeast(message);
  StreamWriter writer(stream, this->Limits()->write_timeout, keep_alive,
                      is_head);
  try {
    // A handler may wait far longer than a read or write may take.
    stream.expires_never();
    this->handler(request, writer);
  } catch (const Error& error) {
    if (!writer.started() && error.code() != ResultCode::kCanceled) {
      try {
        writer.Send(this->render_error(error));
      } catch (const Error&) {
        // The caller has gone away; nobody is left to answer.
      }
    }
  } catch (const std::exception& error) {
    LOG(ERROR) << "handler failed: " << error.what();
    if (!writer.started())
      this->Reject(stream, Error(ResultCode::kInternal, "internal error"));
  }
  return keep_alive && writer.finished();
}

void HttpServer::State::Reject(Stream& stream, const Error& error) {
  try {
    StreamWriter writer(stream, this->Limits()->write_timeout, false, false);
    writer.Send(this->render_error(error));
  } catch (const Error&) {
    // The peer has gone away.
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
           waited += kCloseCheck)
        SleepFor(kCloseCheck);
      self->StopAccepting(i);
      --self->undrained_workers;
      --self->fibers;
    });
  }
}

// Connections that the kernel has accepted already are still served.
void HttpServer::State::StopAccepting(size_t worker) {
  Acceptor& acceptor = *this->acceptors[worker];
  error_code error;
  acceptor.non_blocking(true, error);
  while (!this->closing && !error) {
    Socket socket = acceptor.accept(error);
    if (!error)
      this->StartServing(worker, std::move(socket));
  }
  acceptor.close(error);
  for (auto& [stream, idle] : this->streams[worker]) {
    if (idle)
      stream->socket().shutdown(Socket::shutdown_both, error);
  }
}

void HttpServer::State::Close() {
  this->closing = true;
  this->Drain();
  for (size_t i = 0; i < this->pool.size(); ++i) {
    boost::asio::post(this->pool.IoOf(i), [self = this->shared_from_this(), i] {
      error_code ignored;
      self->acceptors[i]->close(ignored);
      for (auto& [stream, idle] : self->streams[i])
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
  // Handlers refer to objects that the owner destroys next.
  while (this->state->fibers.load() > 0) {
    if (WorkerPool::CurrentWorker())
      SleepFor(std::chrono::milliseconds(1));
    else
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

Address HttpServer::address() const {
  return this->state->bound;
}

void HttpServer::SetOptions(HttpServerOptions options) {
  this->state->limits.store(std::make_shared<const HttpServerOptions>(options));
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
