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

// A failed exchange. `request_sent` tells whether any byte of the request was
// handed to the connection; only when false is it certain that the peer did
// not run it.
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

struct HttpClientOptions {
  common::Duration connect_timeout = std::chrono::milliseconds(500);
  common::Duration write_timeout = std::chrono::seconds(5);
  // Idle connections kept for one address by one worker.
  size_t idle_connections = 64;
  // Idle connections older than this are closed instead of used again.
  common::Duration idle_lifetime = std::chrono::seconds(30);
  size_t body_limit_bytes = 64 * 1024 * 1024;
};

struct HttpCallOptions {
  // Time from the call to the end of the response header.
  common::Duration header_timeout = std::chrono::seconds(30);
  // Longest silence while the body arrives.
  common::Duration read_timeout = std::chrono::seconds(30);
  // Never uses a pooled connection. For requests that must not be repeated: a
  // pooled connection may have been closed by the peer already.
  bool fresh_connection = false;
  // Called when a connection is ready and just before the first byte of the
  // request is written to it. When it returns false, nothing is written and
  // the call throws HttpError kCanceled, not sent.
  std::function<bool()> before_first_byte = {};
};

// A response whose body arrives piece by piece. Destroying it before the end
// closes the connection.
class HttpStream {
 public:
  virtual ~HttpStream() = default;

  virtual int status() const = 0;
  virtual const HttpHeaders& headers() const = 0;
  // The next bytes of the body, or nothing at its end. Throws HttpError
  // kEndpointFailed when the connection breaks, kEndpointSilent on a timeout.
  virtual std::optional<std::string> Read() = 0;
  // Longest silence that the next Read() accepts.
  virtual void set_read_timeout(common::Duration timeout) = 0;
};

// HTTP/1.1 client with connections kept for each worker. Call it from fibers.
class HttpClient {
 public:
  HttpClient(WorkerPool& pool, HttpClientOptions options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Sends the request and reads the whole response. Throws HttpError:
  // kPeerUnavailable when the connection was refused, kEndpointFailed when
  // it broke, kEndpointSilent on a timeout, also of the connect.
  HttpResponse Fetch(const Address& address,
                     const HttpRequest& request,
                     const HttpCallOptions& options = {});

  // Sends the request and returns after the response header. Throws as Fetch.
  std::unique_ptr<HttpStream> Open(const Address& address,
                                   const HttpRequest& request,
                                   const HttpCallOptions& options = {});

 private:
  struct State;
  std::shared_ptr<State> state;
};

}  // namespace jujuberock::runtime

#endif  // CORE_RUNTIME_HTTP_CLIENT_H_
