#include "core/gateway/relay_client.h"

#include <utility>

#include "core/common/error.h"

namespace jujuberock::gateway {

namespace {

using common::Duration;
using common::Error;
using common::ResultCode;

constexpr Duration kConnectTimeout = std::chrono::milliseconds(300);
// Time from the end of the wait to the answer.
constexpr Duration kAnswerMargin = std::chrono::milliseconds(400);
constexpr Duration kBodyTimeout = std::chrono::milliseconds(900);
// As much as a list of the store may have.
constexpr size_t kMaxAnswerBytes = 16 * 1024 * 1024;

runtime::HttpClientOptions ClientOptions() {
  runtime::HttpClientOptions options;
  options.connect_timeout = kConnectTimeout;
  options.write_timeout = kAnswerMargin;
  return options;
}

}  // namespace

RelayClient::RelayClient(runtime::WorkerPool& pool)
    : http(pool, ClientOptions()) {}

relay::RelayAnswer RelayClient::Ask(const std::string& address,
                                    const relay::RelayRequest& request) {
  const auto parsed = runtime::Address::Parse(address);
  if (!parsed)
    throw Error(ResultCode::kProtocolError, "malformed address of a relay");
  runtime::HttpRequest http_request;
  http_request.method = "POST";
  http_request.target = kRelayPath;
  http_request.body = relay::Encode(request);
  runtime::HttpCallOptions options;
  options.body_limit_bytes = kMaxAnswerBytes;
  options.header_timeout = request.wait + kAnswerMargin;
  options.read_timeout = kBodyTimeout;
  options.body_timeout = kBodyTimeout;
  const auto response = this->http.Fetch(*parsed, http_request, options);
  if (response.status != 200)
    throw Error(
        ResultCode::kProtocolError,
        "the relay returned HTTP status " + std::to_string(response.status));
  return relay::DecodeAnswer(response.body);
}

}  // namespace jujuberock::gateway
