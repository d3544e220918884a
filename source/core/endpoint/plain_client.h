#ifndef CORE_ENDPOINT_PLAIN_CLIENT_H_
#define CORE_ENDPOINT_PLAIN_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/endpoint/probe.h"
#include "core/runtime/http_client.h"

namespace jujuberock::endpoint {

// State of a call as a plain service's status call reports it.
enum class CallState { kDone, kAbsent, kRunning };

struct CallStatus {
  CallState state = CallState::kAbsent;
  std::string body;
};

// HTTP client of plain services. Its methods suspend the calling fiber. Except
// for Probe(), they throw HttpError if the HTTP call fails; its sent() tells
// whether the service may have received the call.
class PlainClient {
 public:
  explicit PlainClient(runtime::HttpClient& http) : http(http) {}

  // Forwards an idempotent call.
  runtime::HttpResponse Forward(const runtime::Address& service,
                                const runtime::HttpRequest& request,
                                common::Duration timeout);
  // Forwards a non-idempotent call on a new connection: a pooled connection may
  // already be closed, and the call could not be resent. `before_first_byte`
  // runs immediately before the first byte is written; if it returns false,
  // nothing is sent.
  runtime::HttpResponse ForwardOnce(
      const runtime::Address& service,
      const runtime::HttpRequest& request,
      common::Duration timeout,
      const std::function<bool()>& before_first_byte);

  // Queries the status call of a service for the call with a team's idempotency
  // key. Throws common::Error kProtocolError if the response is malformed and
  // kEndpointFailed for any status other than 200.
  CallStatus Status(const runtime::Address& service,
                    const std::string& status_path,
                    const std::string& team,
                    const std::string& key);

  // Sends GET / on a new connection; any HTTP status counts as an answer.
  ProbeResult Probe(const runtime::Address& service, common::Duration timeout);

 private:
  runtime::HttpClient& http;
};

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_PLAIN_CLIENT_H_
