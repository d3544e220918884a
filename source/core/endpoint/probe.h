#ifndef CORE_ENDPOINT_PROBE_H_
#define CORE_ENDPOINT_PROBE_H_

#include <string>

#include "core/common/time.h"
#include "core/runtime/http_client.h"

namespace jujuberock::endpoint {

enum class ProbeResult {
  kAnswered,
  // The connection was refused or broke: no process serves the address.
  kRefused,
  // No response in time: partitioned, hung or overloaded.
  kSilent,
};

// Sends GET `path` on a new connection. `timeout` applies to the response
// header and to each read of the body. Any HTTP status counts as an answer.
ProbeResult ProbeAddress(runtime::HttpClient& http,
                         const runtime::Address& address,
                         const std::string& path,
                         common::Duration timeout);

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_PROBE_H_
