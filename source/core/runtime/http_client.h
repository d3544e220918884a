#ifndef CORE_RUNTIME_HTTP_CLIENT_H_
#define CORE_RUNTIME_HTTP_CLIENT_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "core/common/error.h"
#include "core/common/time.h"
#include "core/runtime/http_types.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::runtime {

// A failed HTTP exchange. sent() is true if any byte of the request may have
// been written to the connection; only if it is false is it certain that the
// peer did not run the request.
class HttpError : public common::Error {
 public:
  HttpError(common::ResultCode code, const std::string& detail, bool sent)
      : common::Error(
            code,
            detail,
            sent ? common::Outcome::kUnknown : common::Outcome::kNotRun),
        request_sent(sent) {}

  bool sent() const { return this->request_sent; }

 private:
  bool request_sent;
};

// For bodies that are read piece by piece and not kept.
inline constexpr size_t kStreamLimitBytes = 64 * 1024 * 1024;

struct HttpClientOptions {
  common::Duration connect_timeout = std::chrono::milliseconds(500);
  common::Duration write_timeout = std::chrono::seconds(5);
  // Limit on idle connections per address and worker.
  size_t idle_connections = 64;
  // Connections idle for longer than this are closed instead of reused.
  common::Duration idle_lifetime = std::chrono::seconds(30);
};

struct HttpCallOptions {
  // Largest body of a response. Fetch() keeps it whole, so a peer that sends
  // without end must not fill the memory of this host: a call states what its
  // answer may need, if that is more.
  size_t body_limit_bytes = 256 * 1024;
  // Limit on the wait for the response header, counted from the end of the
  // request.
  common::Duration header_timeout = std::chrono::seconds(30);
  // Limit on the wait for the next bytes of the body.
  common::Duration read_timeout = std::chrono::seconds(30);
  // Limit on the time from the header to the end of the body, for Fetch().
  // Without it, a peer that sends a byte now and then is never given up.
  common::Duration body_timeout = std::chrono::seconds(30);
  // Opens a new connection instead of using a pooled one, and does not pool it
  // afterwards. For requests that must not be retried, because the peer may
  // already have closed a pooled connection, and for requests with an effect
  // whose responses do not name them: a copy of an earlier response can't
  // arrive on such a connection, nor one of theirs on a pooled one.
  bool fresh_connection = false;
  // Called once a connection is ready, just before the first byte of the
  // request is written. If it returns false, nothing is written and the call
  // throws HttpError kCanceled with sent() false.
  std::function<bool()> before_first_byte = {};
  // Field of the request that the peer repeats in its response. A peer may send
  // an earlier response once more, on a connection that is in use again: such a
  // connection is used only for responses that name their request, only after
  // one that did, and never twice for the same request. If empty, any response
  // is accepted.
  std::string naming_field = {};
  // Checks that the peer still listens after a response that ends with its
  // connection, which may also be the end of the peer. Fetch() then fails.
  bool check_end = false;
};

// A response whose body is read incrementally. Destroying it before the end of
// the body closes the connection.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  // Returns the next bytes of the body, or nullopt at its end. Throws HttpError
  // kEndpointFailed when the connection breaks, kEndpointSilent on a timeout.
  virtual std::optional<std::string> Read() = 0;
  // Whether the end of the connection is the end of the body, because the
  // response declares no length.
  virtual bool ends_with_connection() const = 0;
  // Sets the timeout of subsequent reads.
  virtual void set_read_timeout(common::Duration timeout) = 0;
};

// HTTP/1.1 client with a connection pool per worker. Must be called from
// fibers. A call that times out after its connection was ready closes the idle
// connections to the same address, unless its timeout is very short.
class HttpClient {
 public:
  HttpClient(WorkerPool& pool, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Connection pools of all workers.
  struct State;

  // Sends the request and reads the whole response. Throws HttpError:
  // kPeerUnavailable when connecting fails, kEndpointFailed when the connection
  // breaks or carries a malformed response or that to another request,
  // kProtocolError when the response exceeds a size limit, kEndpointSilent on a
  // timeout, including the connect timeout.
  HttpResponse Fetch(const Address& address,
                     const HttpRequest& request,
                     const HttpCallOptions& options = {});

  // Sends the request and returns once the response header has arrived. Interim
  // responses (1xx) are skipped. Throws like Fetch().
  std::unique_ptr<HttpStream> Open(const Address& address,
                                   const HttpRequest& request,
                                   const HttpCallOptions& options = {});

 private:
  // Throws HttpError kEndpointFailed if nothing listens at the address any
  // more.
  void CheckListening(const Address& address);

  std::shared_ptr<State> state;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_HTTP_CLIENT_H_
