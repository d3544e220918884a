#ifndef CORE_RUNTIME_HTTP_SERVER_H_
#define CORE_RUNTIME_HTTP_SERVER_H_

#include <functional>
#include <memory>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime {

struct HttpServerOptions {
  size_t header_limit_bytes = 16 * 1024;
  size_t body_limit_bytes = 8 * 1024 * 1024;
  // Time for the whole header, counted from its first byte.
  common::Duration header_timeout = std::chrono::seconds(10);
  common::Duration body_timeout = std::chrono::seconds(30);
  // Time that a connection may stay open between requests.
  common::Duration idle_timeout = std::chrono::seconds(60);
  // Time for the caller to take what was written.
  common::Duration write_timeout = std::chrono::seconds(30);
};

// Answers one request: either Send() once, or StartStream(), Write() any
// number of times and FinishStream(). Throws common::Error kCanceled when the
// caller has gone away.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual void Send(HttpResponse response) = 0;
  virtual void StartStream(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void FinishStream() = 0;
  // True once Send() or StartStream() was called.
  virtual bool started() const = 0;
  // Runs `callback` on a fiber of this worker when the caller closes the
  // connection before the handler has returned. At most one callback.
  virtual void OnCallerGone(std::function<void()> callback) = 0;
};

using HttpHandler = std::function<void(const HttpRequest&, ResponseWriter&)>;

// Makes the answer to a request that failed. Used for malformed input and for
// exceptions that a handler throws before it started an answer.
using ErrorRenderer = std::function<HttpResponse(const common::Error&)>;

// The default error answer: the result code's title as plain text.
HttpResponse RenderPlainError(const common::Error& error);

// HTTP/1.1 server; each connection is a fiber on one worker.
class HttpServer {
 public:
  // Listens at once; port 0 lets the kernel choose. Throws common::Error
  // kInvalidSettings when the address can not be bound.
  HttpServer(WorkerPool& pool,
             const Address& address,
             HttpServerOptions options,
             HttpHandler handler,
             ErrorRenderer render_error);
  // Stops accepting and closes every connection.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Address address() const;

  // Replaces the limits; requests that are being read keep the former ones.
  void SetOptions(HttpServerOptions options);

  // Closes each connection after the request that it is serving. For one
  // second more the server accepts connections and requests, which the handler
  // should refuse, so that nothing already sent is reset. Returns at once.
  void Drain();

  // True when a drain has ended: nothing is accepted and no connection is open.
  bool IsDrained() const;

  // Requests being read, handled or answered now, from their first byte on.
  size_t ActiveRequests() const;

  // Open connections.
  size_t OpenConnections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_HTTP_SERVER_H_
