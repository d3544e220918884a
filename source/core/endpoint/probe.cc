#include "core/endpoint/probe.h"

namespace jujuberock::endpoint {

ProbeResult ProbeAt(runtime::HttpClient& http,
                    const runtime::Address& address,
                    const std::string& path,
                    common::Duration limit) {
  try {
    http.Fetch(address, {"GET", path, {}, ""},
               {.header_timeout = limit,
                .read_timeout = limit,
                .fresh_connection = true});
    return ProbeResult::kAnswered;
  } catch (const runtime::HttpError& error) {
    return error.code() == common::ResultCode::kEndpointSilent
               ? ProbeResult::kSilent
               : ProbeResult::kRefused;
  }
}

}  // namespace jujuberock::endpoint
