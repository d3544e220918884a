#include "core/runtime/http_client.h"

#include <sys/socket.h>

#include <cerrno>
#include <map>
#include <utility>
#include <vector>

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "core/runtime/await.h"

namespace jujuberock::runtime {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;
using common::ResultCode;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

constexpr size_t kReadBytes = 16 * 1024;

struct Connection {
  explicit Connection(boost::asio::io_context& io) : stream(io) {}

  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  SteadyTime idle_since{};
};

using ConnectionPtr = std::unique_ptr<Connection>;

ResultCode CodeOf(const error_code& error) {
  return error == beast::error::timeout ? ResultCode::kEndpointSilent
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
      : options(options), idle(pool.size()) {}

  ConnectionPtr TakeIdle(const Address& address) {
    auto& kept = this->idle[*WorkerPool::CurrentWorker()][address];
    while (!kept.empty()) {
      ConnectionPtr connection = std::move(kept.back());
      kept.pop_back();
      const auto age =
          std::chrono::steady_clock::now() - connection->idle_since;
      if (age < this->options.idle_lifetime && !HasInput(*connection))
        return connection;
    }
    return nullptr;
  }

  void Keep(const Address& address, ConnectionPtr connection) {
    auto& kept = this->idle[*WorkerPool::CurrentWorker()][address];
    if (kept.size() >= this->options.idle_connections)
      return;
    connection->stream.expires_never();
    connection->idle_since = std::chrono::steady_clock::now();
    kept.push_back(std::move(connection));
  }

  ConnectionPtr Connect(const Address& address) {
    auto connection = std::make_unique<Connection>(CurrentIo());
    error_code error;
    const auto ip = boost::asio::ip::make_address(address.ip, error);
    if (error)
      throw HttpError(ResultCode::kPeerUnavailable,
                      "not an IP number: " + address.ip, false);
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

  HttpClientOptions options;
  // Touched by each worker in its own slot only.
  std::vector<std::map<Address, std::vector<ConnectionPtr>>> idle;

 private:
  // An idle connection that is readable was closed or broken by the peer.
  static bool HasInput(Connection& connection) {
    char byte;
    const int handle = connection.stream.socket().native_handle();
    const ssize_t bytes =
        ::recv(handle, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
    return bytes >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
  }
};

namespace {

// Sends a request, reads the response header and then the body in pieces.
class BeastStream : public HttpStream {
 public:
  using KeepConnection = std::function<void(ConnectionPtr)>;

  BeastStream(ConnectionPtr connection,
              size_t body_limit_bytes,
              common::Duration read_timeout,
              KeepConnection keep)
      : connection(std::move(connection)),
        read_timeout(read_timeout),
        keep(std::move(keep)) {
    this->parser.body_limit(body_limit_bytes);
  }

  void SendRequest(http::request<http::string_body>& message,
                   common::Duration write_timeout) {
    error_code error;
    this->connection->stream.expires_after(write_timeout);
    http::async_write(this->connection->stream, message, Await(error));
    if (error)
      throw HttpError(CodeOf(error), "write: " + error.message(), true);
  }

  void ReadHeader(common::Duration timeout) {
    error_code error;
    this->connection->stream.expires_after(timeout);
    http::async_read_header(this->connection->stream, this->connection->buffer,
                            this->parser, Await(error));
    if (error)
      throw HttpError(CodeOf(error), "read: " + error.message(), true);
    for (const auto& field : this->parser.get())
      this->fields.Add(std::string(field.name_string()),
                       std::string(field.value()));
    if (this->parser.is_done())
      this->Release();
  }

  int status() const override {
    return static_cast<int>(this->parser.get().result_int());
  }
  const HttpHeaders& headers() const override { return this->fields; }
  void set_read_timeout(common::Duration timeout) override {
    this->read_timeout = timeout;
  }

  std::optional<std::string> Read() override {
    while (!this->parser.is_done()) {
      std::string bytes(kReadBytes, '\0');
      auto& body = this->parser.get().body();
      body.data = bytes.data();
      body.size = bytes.size();
      body.more = true;
      error_code error;
      this->connection->stream.expires_after(this->read_timeout);
      http::async_read_some(this->connection->stream, this->connection->buffer,
                            this->parser, Await(error));
      if (error && error != http::error::need_buffer)
        throw HttpError(CodeOf(error), "read: " + error.message(), true);
      bytes.resize(bytes.size() - body.size);
      if (this->parser.is_done())
        this->Release();
      if (!bytes.empty())
        return bytes;
    }
    return std::nullopt;
  }

 private:
  void Release() {
    if (this->connection && this->parser.get().keep_alive())
      this->keep(std::move(this->connection));
  }

  ConnectionPtr connection;
  common::Duration read_timeout;
  KeepConnection keep;
  http::response_parser<http::buffer_body> parser;
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
  while (auto bytes = stream->Read())
    response.body += *bytes;
  return response;
}

std::unique_ptr<HttpStream> HttpClient::Open(const Address& address,
                                             const HttpRequest& request,
                                             const HttpCallOptions& options) {
  ConnectionPtr connection;
  if (!options.fresh_connection)
    connection = this->state->TakeIdle(address);
  if (!connection)
    connection = this->state->Connect(address);
  auto keep = [state = this->state, address](ConnectionPtr done) {
    state->Keep(address, std::move(done));
  };
  auto stream = std::make_unique<BeastStream>(
      std::move(connection), this->state->options.body_limit_bytes,
      options.read_timeout, std::move(keep));
  http::request<http::string_body> message = ToBeast(address, request);
  if (options.before_first_byte && !options.before_first_byte())
    throw HttpError(ResultCode::kCanceled, "withdrawn before it was sent",
                    false);
  stream->SendRequest(message, this->state->options.write_timeout);
  stream->ReadHeader(options.header_timeout);
  return stream;
}

}  // namespace jujuberock::runtime
