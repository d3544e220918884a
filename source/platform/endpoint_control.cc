#include "platform/endpoint_control.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "platform/endpoint_answer.h"
#include "platform/notice.h"
#include "platform/wire_names.h"

namespace jujuberock::platform_adapter {

namespace {

using common::Duration;
using Json = nlohmann::json;

constexpr Duration kReportTimeout = std::chrono::milliseconds(400);
constexpr Duration kOrderTimeout = std::chrono::milliseconds(500);
constexpr Duration kFreeTimeout = std::chrono::milliseconds(500);
// A cache store keeps its newest events for whoever polls it rarely.
constexpr size_t kMaxEventsBytes = 2 * 1024 * 1024;
// Added to the wait of a long poll for events before it times out.
constexpr Duration kEventsTimeoutMargin = std::chrono::milliseconds(300);

runtime::HttpCallOptions OptionsFor(Duration timeout) {
  runtime::HttpCallOptions options;
  options.header_timeout = timeout;
  options.read_timeout = timeout;
  options.body_timeout = timeout;
  return options;
}

// For calls with an effect. Responses do not name their calls, so on a kept
// connection a late copy of an earlier response would be taken for theirs.
runtime::HttpCallOptions OptionsForEffect(Duration timeout) {
  runtime::HttpCallOptions options = OptionsFor(timeout);
  options.fresh_connection = true;
  return options;
}

runtime::HttpCallOptions OptionsForEvents(Duration wait) {
  runtime::HttpCallOptions options = OptionsFor(wait + kEventsTimeoutMargin);
  options.body_limit_bytes = kMaxEventsBytes;
  return options;
}

}  // namespace

std::optional<runtime::HttpResponse> PlatformEndpointControl::Fetch(
    const std::string& address,
    const runtime::HttpRequest& request,
    runtime::HttpCallOptions options) {
  const auto parsed = runtime::Address::Parse(address);
  if (!parsed)
    return std::nullopt;
  try {
    return this->http.Fetch(*parsed, request, options);
  } catch (const runtime::HttpError&) {
    return std::nullopt;
  }
}

std::optional<runtime::HttpResponse> PlatformEndpointControl::Call(
    const catalog::Endpoint& endpoint,
    runtime::HttpRequest request,
    runtime::HttpCallOptions options) {
  request.headers.Set(wire::kExpectInstance, endpoint.id);
  auto response = this->Fetch(endpoint.address, request, std::move(options));
  if (!response || !this->on_notice)
    return response;
  // What an endpoint no longer says counts as well.
  this->on_notice(endpoint, DecodeNotice(response->status, response->headers));
  return response;
}

std::optional<gateway::EngineReport> PlatformEndpointControl::Report(
    const catalog::Endpoint& endpoint) {
  runtime::HttpRequest request;
  request.target = std::string(wire::kReportPath);
  const auto response =
      this->Call(endpoint, std::move(request), OptionsFor(kReportTimeout));
  if (!response || response->status != 200)
    return std::nullopt;
  return DecodeReport(response->body);
}

gateway::OrderReply PlatformEndpointControl::Order(
    const catalog::Endpoint& endpoint,
    const gateway::VersionOrder& order,
    std::function<bool()> may_send) {
  runtime::HttpRequest request;
  request.method = "POST";
  request.target = std::string(wire::kOrderPath);
  request.headers.Set("Content-Type", "application/json");
  Json body;
  body["opcode"] = "version";
  body["model"] = order.model;
  body["version"] = order.version;
  body["switchMode"] = "retain";
  body["holder"] = order.holder;
  body["fencingToken"] = order.token;
  body["expected"] = order.expected_sequence;
  request.body = body.dump();
  bool is_stopped = false;
  runtime::HttpCallOptions options = OptionsForEffect(kOrderTimeout);
  options.before_first_byte = [&is_stopped, &may_send] {
    is_stopped = !may_send();
    return !is_stopped;
  };
  const auto response =
      this->Call(endpoint, std::move(request), std::move(options));
  if (is_stopped)
    return gateway::OrderReply::kNotSent;
  if (!response)
    return gateway::OrderReply::kUnknown;
  switch (response->status) {
    case 200:
      return gateway::OrderReply::kInForce;
    case 202:
      return gateway::OrderReply::kAccepted;
    case 412:
      return gateway::OrderReply::kStale;
    default:
      return gateway::OrderReply::kRefused;
  }
}

std::optional<reuse::StoreEvents> PlatformEndpointControl::CacheEvents(
    const std::string& address,
    uint64_t next,
    Duration wait) {
  runtime::HttpRequest request;
  request.target =
      std::string(wire::kCacheEventsPath) + "?since=" + std::to_string(next);
  request.headers.Set(wire::kWaitMs, std::to_string(wait.count() / 1000));
  const auto response = this->Fetch(address, request, OptionsForEvents(wait));
  if (!response || response->status != 200)
    return std::nullopt;
  return DecodeEvents(response->body);
}

bool PlatformEndpointControl::Free(const std::string& address,
                                   const gateway::FreeOrder& order) {
  runtime::HttpRequest request;
  request.method = "POST";
  request.target = std::string(wire::kCacheFreePath);
  request.headers.Set("Content-Type", "application/json");
  Json body;
  body["epoch"] = order.epoch;
  body["until_ms"] = order.until_ms;
  body["parts"] = Json::array();
  for (const reuse::StoredPartName& name : order.parts)
    body["parts"].push_back({name.salt, name.part});
  request.body = body.dump();
  const auto response =
      this->Fetch(address, request, OptionsForEffect(kFreeTimeout));
  return response && response->status >= 200 && response->status < 300;
}

}  // namespace jujuberock::platform_adapter
