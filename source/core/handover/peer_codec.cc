#include "core/handover/peer_codec.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

namespace jujuberock::handover {

namespace {

// Fields of requests and responses between hosts.
constexpr std::string_view kSendField = "Jujuberock-Send";
constexpr std::string_view kConfigField = "Jujuberock-Config-Version";
constexpr std::string_view kAttemptsField = "Jujuberock-Attempts";
constexpr std::string_view kRemainingField = "Jujuberock-Remaining-Ms";
constexpr std::string_view kKeyField = "Jujuberock-Key";
constexpr std::string_view kLastEventField = "Jujuberock-Last-Event";
constexpr std::string_view kRefusalField = "Jujuberock-Refusal";
// "start in ms,id"
constexpr std::string_view kEndpointField = "Jujuberock-Endpoint";

constexpr std::array kFields = {kSendField,      kConfigField,  kAttemptsField,
                                kRemainingField, kKeyField,     kLastEventField,
                                kRefusalField,   kEndpointField};
// Longer times are cut to this, so that they can be computed with.
constexpr uint64_t kMaxRemainingMs = 24 * 60 * 60 * 1000;

void RemoveFields(runtime::HttpHeaders& headers) {
  for (const std::string_view field : kFields)
    headers.Remove(field);
}

std::optional<uint64_t> ParseUnsigned(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

std::optional<uint64_t> FindUnsigned(const runtime::HttpHeaders& headers,
                                     std::string_view field) {
  const auto text = headers.Find(field);
  return text ? ParseUnsigned(*text) : std::nullopt;
}

std::optional<AnsweringEndpoint> ParseEndpoint(std::string_view text) {
  const size_t comma = text.find(',');
  if (comma == std::string_view::npos)
    return std::nullopt;
  const auto started_at = ParseUnsigned(text.substr(0, comma));
  if (!started_at)
    return std::nullopt;
  return AnsweringEndpoint{std::string(text.substr(comma + 1)), *started_at};
}

}  // namespace

std::string_view PeerCodec::attempt_id_field() const {
  return this->platform.attempt_id_field();
}

forward::CallerRequest PeerCodec::DecodeRequest(
    const runtime::HttpRequest& request) const {
  forward::CallerRequest decoded = this->platform.DecodeRequest(request);
  const auto text = [&](std::string_view field) {
    return std::string(request.headers.Find(field).value_or(""));
  };
  decoded.key = text(kKeyField);
  decoded.remaining.reset();
  if (const auto ms = FindUnsigned(request.headers, kRemainingField))
    decoded.remaining =
        std::chrono::milliseconds(std::min(*ms, kMaxRemainingMs));
  decoded.last_event_id.reset();
  if (request.headers.Find(kLastEventField))
    decoded.last_event_id = text(kLastEventField);
  RemoveFields(decoded.forwarded_headers);
  return decoded;
}

runtime::HttpHeaders PeerCodec::EncodeRequestHeaders(
    const forward::CallerRequest& request,
    const forward::SendParameters& parameters) const {
  runtime::HttpHeaders headers = request.forwarded_headers;
  // The caller must not set them.
  RemoveFields(headers);
  const auto add = [&](std::string_view field, std::string value) {
    headers.Add(std::string(field), std::move(value));
  };
  add(kSendField, request.attempt_id);
  add(kConfigField, std::to_string(this->config_version));
  add(kAttemptsField, std::to_string(parameters.max_attempts));
  add(kRemainingField, std::to_string(parameters.remaining.count() / 1000));
  if (!request.key.empty())
    add(kKeyField, request.key);
  if (request.last_event_id)
    add(kLastEventField, *request.last_event_id);
  return headers;
}

forward::ResponseHead PeerCodec::DecodeResponseHead(
    int status,
    const runtime::HttpHeaders& headers) const {
  forward::ResponseHead head =
      this->platform.DecodeResponseHead(status, headers);
  head.attempt_id.reset();
  if (const auto send_id = headers.Find(kSendField))
    head.attempt_id = std::string(*send_id);
  head.not_run = head.attempt_id && headers.Find(kRefusalField);
  return head;
}

void PeerCodec::AddRetryAfter(runtime::HttpHeaders& headers,
                              common::Duration after) const {
  this->platform.AddRetryAfter(headers, after);
}

std::optional<HandedOver> PeerCodec::DecodeHandedOver(
    const runtime::HttpRequest& request) const {
  const auto send_id = request.headers.Find(kSendField);
  const auto version = FindUnsigned(request.headers, kConfigField);
  if (!send_id || !version)
    return std::nullopt;
  constexpr uint64_t kMaxAttempts = 1000;
  const uint64_t attempts = std::clamp<uint64_t>(
      FindUnsigned(request.headers, kAttemptsField).value_or(1), 1,
      kMaxAttempts);
  return HandedOver{this->DecodeRequest(request), std::string(*send_id),
                    *version, static_cast<int64_t>(attempts)};
}

void SetReply(runtime::HttpHeaders& headers,
              const std::string& send_id,
              const Reply& reply) {
  RemoveFields(headers);
  headers.Set(kSendField, send_id);
  if (reply.refusal)
    headers.Set(kRefusalField,
                std::string(kRefusalNames.NameOf(*reply.refusal)));
  if (reply.endpoint)
    headers.Set(kEndpointField, std::to_string(reply.endpoint->started_at_ms) +
                                    "," + reply.endpoint->id);
}

Reply TakeReply(forward::ResponseHead& head) {
  Reply reply;
  const runtime::HttpHeaders& headers = head.forwarded_headers;
  // A reason that a newer version of the program has added is one of the host.
  if (const auto text = headers.Find(kRefusalField))
    reply.refusal = kRefusalNames.ValueOf(*text).value_or(Refusal::kHost);
  if (const auto text = headers.Find(kEndpointField))
    reply.endpoint = ParseEndpoint(*text);
  RemoveFields(head.forwarded_headers);
  return reply;
}

}  // namespace jujuberock::handover
