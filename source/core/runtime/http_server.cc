#include "core/runtime/http_server.h"

#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <thread>
#include <tuple>
#include <utility>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/socket_base.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/runtime/await.h"
#include "core/runtime/request_reader.h"
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

// Bytes beyond the limit of a header that are held before they are parsed. The
// parser needs the whole of a chunk's header and of the trailer.
constexpr size_t kMaxReadAheadBytes = 64 * 1024;
// A larger buffer is freed between two requests.
constexpr size_t kKeptBufferBytes = 16 * 1024;
constexpr size_t kFirstReadBytes = 4 * 1024;
constexpr common::Duration kAcceptBackoff = std::chrono::milliseconds(50);

// Time for which a draining server still accepts connections and requests, so
// that requests already sent get a response instead of a connection reset.
constexpr common::Duration kDrainGrace = std::chrono::seconds(1);
constexpr common::Duration kDrainPollPeriod = std::chrono::milliseconds(5);
// HTTP/1.1, as Beast counts versions.
constexpr unsigned kFirstVersionWithChunks = 11;

// Takes the fields and the body out of the message.
HttpRequest FromBeast(detail::RequestReader::Message& message) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message)
    request.headers.Add(std::string(field.name_string()),
                        std::string(field.value()));
  request.body = std::move(message.body());
  message.clear();
  return request;
}

// Ends the wait for a request. One that has arrived is still read and answered,
// even if the fiber of its connection has not run since. The receiving side
// stays open: the rest of a request that has arrived in part could not be read.
void EndIdle(Stream& stream) {
  error_code ignored;
  stream.socket().cancel(ignored);
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
  bool AwaitRequest(Stream& stream, beast::flat_buffer& buffer);
  bool ReadAndHandle(Stream& stream, beast::flat_buffer& buffer);
  void CheckAccepting() const;
  bool HandleRequest(Stream& stream, detail::RequestReader& reader);
  void Refuse(Stream& stream, beast::flat_buffer& buffer, const Error& error);
  bool MakeRoomForConnection(size_t worker);
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
  // kIdle: between two requests. kReading: in the middle of a request.
  enum class Phase { kIdle, kReading, kHandling };
  struct ConnectionState {
    void Enter(Phase next) {
      this->phase = next;
      this->entered = ++phase_changes;
    }

    Phase phase = Phase::kIdle;
    // Orders the connections of a worker by the time of their last change.
    uint64_t entered = 0;
    // Closed for a new connection.
    bool is_displaced = false;
    // Set while a handler runs.
    detail::StreamWriter* writer = nullptr;
    static thread_local uint64_t phase_changes;
  };
  // Open streams, indexed by worker and accessed only on that worker's thread.
  std::vector<std::map<Stream*, ConnectionState>> streams;
  std::atomic<size_t> fibers{0};
  std::atomic<size_t> connections{0};
  std::atomic<size_t> active{0};
  std::atomic<uint64_t> displaced{0};
  std::atomic<bool> draining{false};
  std::atomic<bool> closing{false};
  // What new requests are refused with; null while they are handled.
  std::atomic<std::shared_ptr<const Error>> refusal;
  // Workers that still accept connections while the server drains.
  std::atomic<size_t> undrained_workers{0};
};

thread_local uint64_t HttpServer::State::ConnectionState::phase_changes = 0;

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
      if (this->MakeRoomForConnection(worker))
        this->SpawnConnection(worker, std::move(socket));
      continue;
    }
    // Most likely out of file descriptors: back off so that connections close.
    if (acceptor.is_open())
      SleepFor(kAcceptBackoff);
  }
}

// Returns false if no connection of this worker can be closed for a new one.
bool HttpServer::State::MakeRoomForConnection(size_t worker) {
  const size_t limit = this->Options()->max_connections;
  if (limit == 0 || this->connections < limit)
    return true;
  ++this->displaced;
  Stream* oldest = nullptr;
  ConnectionState* state = nullptr;
  for (auto& [stream, connection] : this->streams[worker]) {
    if (connection.phase == Phase::kHandling || connection.is_displaced)
      continue;
    if (!state || std::tie(connection.phase, connection.entered) <
                      std::tie(state->phase, state->entered)) {
      oldest = stream;
      state = &connection;
    }
  }
  if (!state)
    return false;
  state->is_displaced = true;
  if (state->phase == Phase::kIdle)
    EndIdle(*oldest);
  else
    oldest->close();
  return true;
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
  this->streams[worker][&stream].Enter(Phase::kIdle);
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
  if (buffer.size() == 0 && !this->AwaitRequest(stream, buffer))
    return false;
  ConnectionState& connection = this->streams[worker][&stream];
  connection.Enter(Phase::kReading);
  ++this->active;
  const bool keep = this->ReadAndHandle(stream, buffer);
  --this->active;
  connection.Enter(Phase::kIdle);
  if (buffer.size() == 0 && buffer.capacity() > kKeptBufferBytes)
    buffer.shrink_to_fit();
  return keep && !connection.is_displaced;
}

// Reads the first bytes of a request. Returns false if the connection has to be
// closed.
bool HttpServer::State::AwaitRequest(Stream& stream,
                                     beast::flat_buffer& buffer) {
  error_code error;
  const auto read = [&](common::Duration limit) {
    stream.expires_after(limit);
    buffer.commit(
        stream.async_read_some(buffer.prepare(kFirstReadBytes), Await(error)));
  };
  read(this->draining ? kDrainGrace : this->Options()->idle_timeout);
  // EndIdle() has canceled the read; a request that has arrived is answered.
  error_code ignored;
  if (error == boost::asio::error::operation_aborted &&
      stream.socket().available(ignored) > 0)
    read(kDrainGrace);
  return !error;
}

void HttpServer::State::CheckAccepting() const {
  if (const auto error = this->refusal.load())
    throw Error(*error);
}

bool HttpServer::State::ReadAndHandle(Stream& stream,
                                      beast::flat_buffer& buffer) {
  const auto options = this->Options();
  std::optional<Error> error;
  {
    detail::RequestReader reader(stream, buffer, *options);
    try {
      if (!reader.ReadHeader())
        return false;
      this->CheckAccepting();
      if (!reader.ReadBody())
        return false;
    } catch (const Error& thrown) {
      error = thrown;
    }
    if (!error)
      return this->HandleRequest(stream, reader);
    if (options->on_refused) {
      const auto& message = reader.message();
      options->on_refused(*error, std::string(message[options->id_field]));
    }
  }
  // The bytes that were held are released before the response is sent.
  this->Refuse(stream, buffer, *error);
  return false;
}

void HttpServer::State::Refuse(Stream& stream,
                               beast::flat_buffer& buffer,
                               const Error& error) {
  this->SendError(stream, error);
  if (error.code() == ResultCode::kBodyTooLarge ||
      error.code() == ResultCode::kQueueFull ||
      error.code() == ResultCode::kStopping)
    detail::DiscardInput(stream, buffer, this->Options()->body_limit_bytes);
}

bool HttpServer::State::HandleRequest(Stream& stream,
                                      detail::RequestReader& reader) {
  detail::RequestReader::Message& message = reader.message();
  detail::ResponseForm form;
  form.keep_alive = message.keep_alive();
  form.is_head = message.method() == http::verb::head;
  form.knows_chunks = message.version() >= kFirstVersionWithChunks;
  HttpRequest request = FromBeast(message);
  const auto options = this->Options();
  detail::StreamWriter writer(stream, options->write_timeout, form,
                              this->draining, options->budget.get(),
                              &reader.held());
  const size_t worker = *WorkerPool::CurrentWorker();
  ConnectionState& connection = this->streams[worker][&stream];
  connection.writer = &writer;
  connection.Enter(Phase::kHandling);
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
    if (connection.phase == Phase::kIdle)
      EndIdle(*stream);
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

void HttpServer::RefuseRequests(const Error& error) {
  this->state->refusal.store(std::make_shared<const Error>(error));
}

bool HttpServer::IsDrained() const {
  return this->state->draining && this->state->undrained_workers == 0 &&
         this->state->connections == 0;
}

size_t HttpServer::ActiveRequests() const {
  return this->state->active;
}

uint64_t HttpServer::DisplacedConnections() const {
  return this->state->displaced;
}

size_t HttpServer::OpenConnections() const {
  return this->state->connections;
}

}  // namespace jujuberock::runtime
