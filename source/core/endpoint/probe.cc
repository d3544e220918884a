#include "core/endpoint/probe.h"

namespace jujuberock::endpoint {

ProbeResult ProbeAddress(runtime::HttpClient& http,
                         const runtime::Address& address,
                         const std::string& path,
                         common::Duration timeout) {
  try {
    http.Fetch(address, {"GET", path, {}, ""},
               {.header_timeout = timeout,
                .read_timeout = timeout,
                .fresh_connection = true});
    return ProbeResult::kAnswered;
  } catch (const runtime::HttpError& error) {
    return error.code() == common::ResultCode::kEndpointSilent
               ? ProbeResult::kSilent
               : ProbeResult::kRefused;
  }
}

}  // namespace jujuberock::endpoint
