#ifndef CORE_RUNTIME_HTTP_SERVER_H_
#define CORE_RUNTIME_HTTP_SERVER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/byte_budget.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime {

struct HttpServerOptions {
  size_t header_limit_bytes = 16 * 1024;
  size_t body_limit_bytes = 8 * 1024 * 1024;
  // Limit on receiving the whole header, counted from its first byte.
  common::Duration header_timeout = std::chrono::seconds(10);
  // Limit on receiving the whole body, counted from the end of the header.
  common::Duration body_timeout = std::chrono::seconds(30);
  // Time after which a connection without a request is closed.
  common::Duration idle_timeout = std::chrono::seconds(60);
  // Limit on one write to the caller.
  common::Duration write_timeout = std::chrono::seconds(30);
  // Limit on waiting for the next bytes of a body.
  common::Duration body_progress_timeout = std::chrono::seconds(10);
  // Connections that are open at once; 0: no limit. At the limit, the
  // connection that has been idle longest is closed for a new one, or the one
  // that has been sending its request longest.
  size_t max_connections = 0;
  // Counts the bytes held for callers, also those of other servers of the
  // process; null: they are not limited.
  std::shared_ptr<ByteBudget> budget;
  // Called for each request that the server answers with an error itself, with
  // the value of `id_field` if it was read; may be empty.
  std::function<void(const common::Error&, std::string_view)> on_refused = {};
  // Header field that identifies a request.
  std::string id_field = {};
};

// Writes the response to one request: either Send() once, or StartStream(), any
// number of Write() calls and FinishStream(). Throws common::Error kCanceled
// when the caller has closed the connection. A handler that throws kCanceled
// before it has started a response closes the connection; if that was because
// of a disconnect, the error is sent first, in case the caller still reads.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;

  virtual void Send(HttpResponse response) = 0;
  virtual void StartStream(int status, HttpHeaders headers) = 0;
  virtual void Write(std::string_view bytes) = 0;
  virtual void FinishStream() = 0;
  // True once Send() or StartStream() was called.
  virtual bool started() const = 0;
  // Runs `callback` on a new fiber of this worker if the caller closes the
  // connection, or only its sending side, before the handler returns. Supports
  // only one callback.
  virtual void OnCallerDisconnect(std::function<void()> callback) = 0;
  // Asks whether the handler may hold `bytes` of the response until they are
  // written. Otherwise it should write what it has.
  virtual bool MayHold(size_t /*bytes*/) { return true; }
};

// May take the body out of the request.
using HttpHandler = std::function<void(HttpRequest&, ResponseWriter&)>;

// Renders the response to a failed request. Used for malformed requests and for
// exceptions that a handler throws before it has started a response.
using ErrorRenderer = std::function<HttpResponse(const common::Error&)>;

// Default error response: the result code's title and the error detail as plain
// text.
HttpResponse RenderPlainError(const common::Error& error);

// HTTP/1.1 server. Each connection is served by a fiber on one worker.
class HttpServer {
 public:
  // Starts serving immediately; port 0 selects a free port. Throws
  // common::Error kInvalidSettings when the address cannot be bound.
  HttpServer(WorkerPool& pool,
             const Address& address,
             HttpServerOptions options,
             HttpHandler handler,
             ErrorRenderer render_error);
  // Stops accepting, closes all connections and waits for running handlers.
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  Address address() const;

  // Replaces the options; requests that are being read may still use the
  // previous ones.
  void SetOptions(HttpServerOptions options);

  // Starts a graceful shutdown and returns immediately. Each connection is
  // closed after its next response that begins, or when it has been idle for
  // one second. The server still accepts connections and requests for one
  // second, which the handler should refuse, so that requests already sent are
  // not reset.
  void Drain();

  // From now on, each new request is refused with the error once its header has
  // arrived; the rest of it is discarded. Requests whose header was read before
  // are still handled.
  void RefuseRequests(const common::Error& error);

  // Sends the error in place of the responses that handlers have not started;
  // these handlers are not stopped, but what they send throws kCanceled.
  // Returns immediately. For requests that the end of the process would cut
  // off.
  void EndUnanswered(const common::Error& error);

  // True once a drain is complete: no longer accepting and no connection open.
  bool IsDrained() const;

  // Number of requests being read, handled or responded to, counted from their
  // first byte.
  size_t ActiveRequests() const;

  // Number of open connections.
  size_t OpenConnections() const;

  // Number of connections closed because of the limit on open ones.
  uint64_t DisplacedConnections() const;

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_HTTP_SERVER_H_
