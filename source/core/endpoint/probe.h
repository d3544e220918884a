#ifndef CORE_ENDPOINT_PROBE_H_
#define CORE_ENDPOINT_PROBE_H_

#include <string>

#include "core/common/time.h"
#include "core/runtime/http_client.h"

namespace jujuberock::endpoint {

enum class ProbeResult {
  kAnswered,
  // Connections are refused or break: no process serves the address.
  kRefused,
  // No answer in time: cut off, hanging or overloaded.
  kSilent,
};

// Sends GET `path` on a new connection and waits at most `limit`.
ProbeResult ProbeAt(runtime::HttpClient& http,
                    const runtime::Address& address,
                    const std::string& path,
                    common::Duration limit);

}  // namespace jujuberock::endpoint

#endif  // CORE_ENDPOINT_PROBE_H_
