#ifndef CORE_ENDPOINT_PLAIN_CLIENT_H_
#define CORE_ENDPOINT_PLAIN_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "core/common/time.h"
#include "core/endpoint/probe.h"
#include "core/runtime/http_client.h"

namespace jujuberock::endpoint {

enum class CallState { kDone, kAbsent, kRunning };

struct CallStatus {
  CallState state = CallState::kAbsent;
  std::string body;
};

// Client of plain services. Both methods suspend the calling fiber and throw
// HttpError for a failed exchange; its sent() tells whether the call may run.
class PlainClient {
 public:
  explicit PlainClient(runtime::HttpClient& http) : http(http) {}

  // Forwards one call that may be repeated.
  runtime::HttpResponse Forward(const runtime::Address& service,
                                const runtime::HttpRequest& request,
                                common::Duration timeout);
  // Forwards a call that must not run twice, on a new connection: one that was
  // kept may be closed already, and the call could not be sent again.
  // `before_first_byte` runs just before the first byte is written; nothing is
  // sent when it returns false.
  runtime::HttpResponse ForwardOnce(
      const runtime::Address& service,
      const runtime::HttpRequest& request,
      common::Duration timeout,
      const std::function<bool()>& before_first_byte);

  // Asks a service that offers a status call for the state of a team's key.
  // Throws common::Error kProtocolError when the answer is malformed.
  CallStatus Status(const runtime::Address& service,
                    const std::string& status_path,
                    const std::string& team,
                    const std::string& key);

  // Asks for anything on a new connection; any status is an answer.
  ProbeResult Probe(const runtime::Address& service, common::Duration limit);

 private:
  runtime::HttpClient& http;
};

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_PLAIN_CLIENT_H_
