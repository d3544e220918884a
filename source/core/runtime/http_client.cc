#include "core/runtime/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/runtime/await.h"
#include "core/runtime/carried_requests.h"
#include "core/runtime/sleep.h"

namespace jujuberock::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using common::ResultCode;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

// The read buffer doubles after each read that fills it: token streams wait
// with a small buffer, while large bodies need few reads.
constexpr size_t kInitialReadBytes = 1024;
constexpr size_t kMaxReadBytes = 64 * 1024;
// Bytes of a response that are held before they are parsed. The parser needs
// the whole of a header, of a chunk's header and of the trailer.
constexpr size_t kMaxBufferedBytes = 128 * 1024;
// Shorter timeouts do not show that a connection has fallen silent: a busy peer
// may need as long.
constexpr common::Duration kMinSilence = std::chrono::milliseconds(100);
constexpr common::Duration kMinTimeout = std::chrono::milliseconds(1);
// Interim responses (1xx) that are skipped before a call fails.
constexpr int kMaxInterimResponses = 8;
// Time in which a process that ends closes all of its sockets.
constexpr common::Duration kCloseBatchTime = std::chrono::milliseconds(20);

// beast::tcp_stream uses a type-erased executor, which costs virtual calls.
using Stream = beast::basic_stream<tcp, boost::asio::io_context::executor_type>;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  Stream stream;
  beast::flat_buffer buffer{kMaxBufferedBytes};
  SteadyTime idle_since{};
  // Whether the last response named its request.
  bool names_requests = false;
  // Those that have a name.
  CarriedRequests carried;
  // Set when the connection was taken from the pool.
  bool is_reused = false;
};

using ConnectionPtr = std::unique_ptr<Connection>;

// At least a moment, so that a read with it times out.
common::Duration TimeUntil(SteadyTime deadline) {
  const auto left = std::chrono::duration_cast<common::Duration>(
      deadline - std::chrono::steady_clock::now());
  return std::max(left, kMinTimeout);
}

ResultCode ResultCodeOf(const error_code& error) {
  if (error == beast::error::timeout)
    return ResultCode::kEndpointSilent;
  const bool is_too_large = error == http::error::body_limit ||
                            error == http::error::header_limit ||
                            error == http::error::buffer_overflow;
  return is_too_large ? ResultCode::kProtocolError
                      : ResultCode::kEndpointFailed;
}

http::request<http::string_body> ToBeast(const Address& address,
                                         const HttpRequest& request) {
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, address.ToString());
  for (const HttpHeader& field : request.headers.all())
    message.insert(field.name, field.value);
  message.body() = request.body;
  message.prepare_payload();
  return message;
}

}  // namespace

struct HttpClient::State {
  State(WorkerPool& pool, HttpClientOptions options)
      : pool(pool), options(options), idle(pool.size()) {}

  // Without a `name`, the connection need not name requests.
  ConnectionPtr TakeIdle(const Address& address,
                         const std::optional<std::string_view>& name) {
    auto& idle_list = this->idle[*WorkerPool::CurrentWorker()][address];
    for (size_t i = idle_list.size(); i-- > 0;) {
      if (idle_list[i]->names_requests != name.has_value())
        continue;
      if (name && idle_list[i]->carried.Contains(*name))
        continue;
      ConnectionPtr connection = std::move(idle_list[i]);
      idle_list.erase(idle_list.begin() + static_cast<ptrdiff_t>(i));
      const auto age =
          std::chrono::steady_clock::now() - connection->idle_since;
      if (age >= this->options.idle_lifetime || IsReadable(*connection))
        continue;
      connection->is_reused = true;
      return connection;
    }
    return nullptr;
  }

  void ReturnIdle(const Address& address, ConnectionPtr connection) {
    auto& idle_list = this->idle[*WorkerPool::CurrentWorker()][address];
    if (idle_list.size() >= this->options.idle_connections)
      return;
    connection->stream.expires_never();
    connection->idle_since = std::chrono::steady_clock::now();
    idle_list.push_back(std::move(connection));
  }

  // Closes the idle connections to the address on all workers; on the calling
  // one before it returns.
  static void DropIdle(const std::shared_ptr<State>& state,
                       const Address& address) {
    const size_t current = *WorkerPool::CurrentWorker();
    state->idle[current].erase(address);
    for (size_t worker = 0; worker < state->idle.size(); ++worker) {
      if (worker == current)
        continue;
      state->pool.Spawn(worker, [state, worker, address] {
        state->idle[worker].erase(address);
      });
    }
  }

  ConnectionPtr Connect(const Address& address) {
    auto connection = std::make_unique<Connection>(CurrentIoContext());
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (error)
      throw HttpError(ResultCode::kPeerUnavailable,
                      "not an IP address: " + address.ip, false);
    connection->stream.expires_after(this->options.connect_timeout);
    connection->stream.async_connect(tcp::endpoint(ip, address.port),
                                     Await(error));
    if (error)
      throw HttpError(
          error == beast::error::timeout ? ResultCode::kEndpointSilent
                                         : ResultCode::kPeerUnavailable,
          "connect to " + address.ToString() + ": " + error.message(), false);
    connection->stream.socket().set_option(tcp::no_delay(true), error);
    return connection;
  }

  WorkerPool& pool;
  HttpClientOptions options;
  // Indexed by worker; each element is accessed only on its own worker.
  std::vector<std::map<Address, std::vector<ConnectionPtr>>> idle;

 private:
  // An idle connection that is readable has been closed or has received
  // unexpected data, so it cannot be reused.
  static bool IsReadable(Connection& connection) {
    char byte;
    const int handle = connection.stream.socket().native_handle();
    const ssize_t bytes =
        ::recv(handle, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return bytes >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
};

namespace {

// Sends a request, then reads the response header and the body incrementally.
class BeastStream : public HttpStream {
 public:
  BeastStream(ConnectionPtr connection,
              std::shared_ptr<HttpClient::State> client,
              Address address,
              const HttpCallOptions& options)
      : connection(std::move(connection)),
        client(std::move(client)),
        address(std::move(address)),
        naming_field(options.naming_field),
        is_single_use(options.fresh_connection),
        body_limit_bytes(options.body_limit_bytes),
        read_timeout(options.read_timeout) {
    this->ResetParser();
  }

  void SendRequest(http::request<http::string_body>& message,
                   common::Duration write_timeout) {
    if (!this->naming_field.empty()) {
      this->request_name = std::string(message[this->naming_field]);
      this->connection->carried.Add(this->request_name);
    }
    error_code error;
    this->SetExpiry(write_timeout);
    http::async_write(this->connection->stream, message, Await(error));
    if (error)
      this->Fail(error, "write");
  }

  void ReadHeader(common::Duration timeout) {
    const SteadyTime deadline = std::chrono::steady_clock::now() + timeout;
    this->ReadNextHeader(timeout);
    // Whoever gets an interim response as the final one waits for ever.
    for (int i = 0; IsInterimStatus(this->status()); ++i) {
      if (i == kMaxInterimResponses)
        throw HttpError(ResultCode::kEndpointFailed,
                        "received only interim responses", true);
      this->ResetParser();
      this->ReadNextHeader(TimeUntil(deadline));
    }
    for (const auto& field : this->parser->get())
      this->fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
    this->CheckName();
    if (this->parser->is_done())
      this->Release();
  }

  int status() const override {
    return static_cast<int>(this->parser->get().result_int());
  }
  const HttpHeaders& headers() const override { return this->fields; }
  bool ends_with_connection() const override {
    return this->parser->need_eof();
  }
  void set_read_timeout(common::Duration timeout) override {
    this->read_timeout = timeout;
  }

  std::optional<std::string> Read() override {
    while (!this->parser->is_done()) {
      std::string bytes(this->read_bytes, '\0');
      auto& body = this->parser->get().body();
      body.data = bytes.data();
      body.size = bytes.size();
      body.more = true;
      error_code error;
      this->SetExpiry(this->read_timeout);
      http::async_read_some(this->connection->stream, this->connection->buffer,
                            *this->parser, Await(error));
      if (error && error != http::error::need_buffer)
        this->Fail(error, "read");
      if (body.size == 0)
        this->read_bytes = std::min(2 * this->read_bytes, kMaxReadBytes);
      bytes.resize(bytes.size() - body.size);
      if (this->parser->is_done())
        this->Release();
      if (!bytes.empty())
        return bytes;
    }
    return std::nullopt;
  }

 private:
  using Parser = http::response_parser<http::buffer_body>;

  void ResetParser() {
    this->parser.emplace();
    this->parser->body_limit(this->body_limit_bytes);
  }

  void ReadNextHeader(common::Duration timeout) {
    error_code error;
    this->SetExpiry(timeout);
    http::async_read_header(this->connection->stream, this->connection->buffer,
                            *this->parser, Await(error));
    if (error)
      this->Fail(error, "read");
    if (!IsValidStatus(this->status()))
      this->Fail(http::error::bad_status, "read");
  }

  // Throws HttpError if the response is that to another request.
  void CheckName() {
    if (this->naming_field.empty())
      return;
    const auto name = this->fields.Find(this->naming_field);
    const bool is_named = name == this->request_name;
    if (!is_named && (name || this->connection->is_reused))
      throw HttpError(ResultCode::kEndpointFailed,
                      "the response does not name the request", true);
    this->connection->names_requests = is_named;
  }

  // Returns the connection to the pool if a further response on it would be
  // that to the next request.
  void Release() {
    if (!this->connection || this->is_single_use ||
        !this->parser->keep_alive() || this->connection->carried.IsFull())
      return;
    // What has already been read is not seen on the idle connection.
    if (this->connection->buffer.size() > 0)
      return;
    if (this->naming_field.empty() || this->connection->names_requests)
      this->client->ReturnIdle(this->address, std::move(this->connection));
  }

  void SetExpiry(common::Duration timeout) {
    this->current_timeout = timeout;
    this->connection->stream.expires_after(timeout);
  }

  // When one connection has fallen silent, idle ones may have died at the same
  // time. The next call must not wait for a timeout on each of them.
  [[noreturn]] void Fail(const error_code& error, const char* step) {
    if (error == beast::error::timeout && this->current_timeout >= kMinSilence)
      HttpClient::State::DropIdle(this->client, this->address);
    throw HttpError(ResultCodeOf(error),
                    std::string(step) + ": " + error.message(), true);
  }

  ConnectionPtr connection;
  std::shared_ptr<HttpClient::State> client;
  Address address;
  std::string naming_field;
  bool is_single_use;
  size_t body_limit_bytes;
  // Value of that field in the request.
  std::string request_name;
  size_t read_bytes = kInitialReadBytes;
  common::Duration read_timeout;
  // Timeout of the operation in progress.
  common::Duration current_timeout{0};
  std::optional<Parser> parser;
  HttpHeaders fields;
};

}  // namespace

HttpClient::HttpClient(WorkerPool& pool, HttpClientOptions options)
    : state(std::make_shared<State>(pool, options)) {}

HttpClient::~HttpClient() = default;

HttpResponse HttpClient::Fetch(const Address& address,
                               const HttpRequest& request,
                               const HttpCallOptions& options) {
  std::unique_ptr<HttpStream> stream = this->Open(address, request, options);
  HttpResponse response;
  response.status = stream->status();
  response.headers = stream->headers();
  const SteadyTime deadline =
      std::chrono::steady_clock::now() + options.body_timeout;
  while (true) {
    stream->set_read_timeout(
        std::min(options.read_timeout, TimeUntil(deadline)));
    const auto bytes = stream->Read();
    if (!bytes)
      break;
    response.body += *bytes;
  }
  if (options.check_end && stream->ends_with_connection())
    this->CheckListening(address);
  return response;
}

void HttpClient::CheckListening(const Address& address) {
  SleepFor(kCloseBatchTime);
  try {
    this->state->ReturnIdle(address, this->state->Connect(address));
  } catch (const HttpError& error) {
    // A cut link is silent and says nothing about the peer.
    if (error.code() == ResultCode::kPeerUnavailable)
      throw HttpError(ResultCode::kEndpointFailed,
                      "the peer ended with its response", true);
  }
}

std::unique_ptr<HttpStream> HttpClient::Open(const Address& address,
                                             const HttpRequest& request,
                                             const HttpCallOptions& options) {
  ConnectionPtr connection;
  std::optional<std::string_view> name;
  if (!options.naming_field.empty())
    name = request.headers.Find(options.naming_field).value_or("");
  if (!options.fresh_connection)
    connection = this->state->TakeIdle(address, name);
  if (!connection)
    connection = this->state->Connect(address);
  auto stream = std::make_unique<BeastStream>(std::move(connection),
                                              this->state, address, options);
  http::request<http::string_body> message = ToBeast(address, request);
  if (options.before_first_byte && !options.before_first_byte())
    throw HttpError(ResultCode::kCanceled,
                    "canceled before the request was sent", false);
  stream->SendRequest(message, this->state->options.write_timeout);
  stream->ReadHeader(options.header_timeout);
  return stream;
}

}  // namespace jujuberock::runtime
