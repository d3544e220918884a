#include "core/endpoint/plain_client.h"

#include <array>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/json_decode.h"
#include "core/common/name_table.h"
#include "core/endpoint/request_id.h"

namespace jujuberock::endpoint {

using common::Error;
using common::ResultCode;
using runtime::Address;
using runtime::HttpResponse;

namespace {

constexpr common::Duration kStatusTimeout = std::chrono::seconds(2);
// Largest answer of a plain service.
constexpr size_t kMaxAnswerBytes = 8 * 1024 * 1024;

constexpr common::NameTable<CallState, 3> kCallStates(
    std::array<std::string_view, 3>{"done", "absent", "running"});

std::string EscapePathSegment(std::string_view text) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string escaped;
  for (const char c : text) {
    const auto byte = static_cast<unsigned char>(c);
    const bool is_unreserved =
        (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
        (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.' || c == '~';
    if (is_unreserved) {
      escaped += c;
      continue;
    }
    escaped += '%';
    escaped += kDigits[byte >> 4];
    escaped += kDigits[byte & 15];
  }
  return escaped;
}

CallStatus StatusFromJson(const nlohmann::json& value) {
  const auto state = kCallStates.ValueOf(value.at("state").get<std::string>());
  if (!state)
    throw Error(ResultCode::kProtocolError,
                "status call returned an unknown state");
  CallStatus status{*state, ""};
  if (value.contains("body")) {
    const auto& body = value["body"];
    status.body = body.is_string() ? body.get<std::string>() : body.dump();
  }
  return status;
}

}  // namespace

HttpResponse PlainClient::Forward(const Address& service,
                                  const runtime::HttpRequest& request,
                                  common::Duration timeout) {
  return this->http.Fetch(service, request,
                          {.body_limit_bytes = kMaxAnswerBytes,
                           .header_timeout = timeout,
                           .read_timeout = timeout,
                           .body_timeout = timeout,
                           .naming_field = kRequestIdField,
                           .check_end = true});
}

HttpResponse PlainClient::ForwardOnce(
    const Address& service,
    const runtime::HttpRequest& request,
    common::Duration timeout,
    const std::function<bool()>& before_first_byte) {
  return this->http.Fetch(service, request,
                          {.body_limit_bytes = kMaxAnswerBytes,
                           .header_timeout = timeout,
                           .read_timeout = timeout,
                           .body_timeout = timeout,
                           .fresh_connection = true,
                           .before_first_byte = before_first_byte,
                           .check_end = true});
}

CallStatus PlainClient::Status(const Address& service,
                               const std::string& status_path,
                               const std::string& team,
                               const std::string& key) {
  const std::string target = status_path + "/" + EscapePathSegment(key);
  const HttpResponse response = this->http.Fetch(
      service, {"GET", target, {{"Jujuberock-Team", team}}, ""},
      {.body_limit_bytes = kMaxAnswerBytes,
       .header_timeout = kStatusTimeout,
       .read_timeout = kStatusTimeout,
       .body_timeout = kStatusTimeout});
  if (response.status != 200)
    throw Error(
        ResultCode::kEndpointFailed,
        "status call returned HTTP status " + std::to_string(response.status));
  return common::DecodeJson("plain service", response.body, StatusFromJson);
}

ProbeResult PlainClient::Probe(const Address& service,
                               common::Duration timeout) {
  return ProbeAddress(this->http, service, "/", timeout);
}

}  // namespace jujuberock::endpoint
