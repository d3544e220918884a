#include "platform/codec.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/core/string.hpp>

#include "platform/wire_names.h"

namespace jujuberock::platform_adapter {

namespace {

using boost::beast::iequals;
using common::Duration;

template <typename Names>
bool IsOneOf(std::string_view name, const Names& names) {
  return std::any_of(names.begin(), names.end(), [&](std::string_view other) {
    return iequals({name.data(), name.size()}, {other.data(), other.size()});
  });
}

bool IsField(std::string_view name, std::string_view wanted) {
  return IsOneOf(name, std::array<std::string_view, 1>{wanted});
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

std::vector<std::string_view> Split(std::string_view text) {
  std::vector<std::string_view> items;
  while (true) {
    const size_t comma = text.find(',');
    items.push_back(Trim(text.substr(0, comma)));
    if (comma == std::string_view::npos)
      return items;
    text.remove_prefix(comma + 1);
  }
}

std::optional<int64_t> ToNumber(std::string_view text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0)
    return std::nullopt;
  return number;
}

std::optional<Duration> ToMilliseconds(std::string_view text) {
  // Fractions are dropped: less time is always safe.
  const auto number = ToNumber(text.substr(0, text.find('.')));
  if (!number)
    return std::nullopt;
  return Duration(std::chrono::milliseconds(*number));
}

// Fields that the Connection field of the message names.
std::vector<std::string> NamedByConnection(
    const runtime::HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const runtime::HttpHeader& field : headers.all()) {
    if (!IsField(field.name, wire::kConnection))
      continue;
    for (std::string_view name : Split(field.value)) {
      if (!IsOneOf(name, wire::kEssentialFields))
        names.emplace_back(name);
    }
  }
  return names;
}

std::optional<dispatch::Prompt> DecodePrompt(
    const runtime::HttpHeaders& headers) {
  const auto model = headers.Find(wire::kModel);
  const auto counts = headers.Find(wire::kTokenCount);
  if (!model || !counts)
    return std::nullopt;
  dispatch::Prompt prompt;
  prompt.model = std::string(*model);
  const auto numbers = Split(*counts);
  prompt.prompt_tokens = ToNumber(numbers[0]).value_or(0);
  if (numbers.size() > 1)
    prompt.max_output_tokens = ToNumber(numbers[1]).value_or(0);
  const auto parts = headers.Find(wire::kPromptParts);
  if (!parts)
    return prompt;
  for (std::string_view entry : Split(*parts)) {
    const size_t colon = entry.find(':');
    if (colon == std::string_view::npos)
      continue;
    const auto tokens = ToNumber(entry.substr(colon + 1));
    prompt.parts.push_back(
        {std::string(entry.substr(0, colon)), tokens.value_or(0)});
  }
  return prompt;
}

std::string JoinAddresses(const std::vector<std::string>& addresses) {
  std::string text;
  for (const std::string& address : addresses) {
    if (!text.empty())
      text += ',';
    text += address.empty() ? "-" : address;
  }
  return text;
}

bool HasAddress(const std::vector<std::string>& addresses) {
  return std::any_of(addresses.begin(), addresses.end(),
                     [](const std::string& a) { return !a.empty(); });
}

std::optional<dispatch::LoadReport> DecodeLoad(std::string_view text) {
  const auto numbers = Split(text);
  if (numbers.size() != 3)
    return std::nullopt;
  const auto running = ToNumber(numbers[0]);
  const auto waiting = ToNumber(numbers[1]);
  const auto slots = ToNumber(numbers[2]);
  if (!running || !waiting || !slots)
    return std::nullopt;
  return dispatch::LoadReport{*running, *waiting, *slots};
}

std::optional<Duration> DecodeKeepAlive(std::string_view text) {
  constexpr std::string_view kTimeout = "timeout=";
  for (std::string_view item : Split(text)) {
    if (item.substr(0, kTimeout.size()) != kTimeout)
      continue;
    const auto seconds = ToNumber(item.substr(kTimeout.size()));
    // The endpoint closes at this time; a request must not cross it.
    if (seconds && *seconds > 0)
      return Duration(std::chrono::milliseconds(*seconds * 1000 * 7 / 10));
  }
  return std::nullopt;
}

}  // namespace

forward::CallerRequest PlatformCodec::DecodeRequest(
    const runtime::HttpRequest& request) const {
  const runtime::HttpHeaders& headers = request.headers;
  forward::CallerRequest decoded;
  decoded.method = request.method;
  decoded.target = request.target;
  decoded.body = request.body;
  const auto text = [&](std::string_view name) {
    return std::string(headers.Find(name).value_or(""));
  };
  decoded.host = text("Host");
  decoded.attempt_id = text(wire::kAttemptId);
  decoded.key = text(wire::kKey);
  if (const auto left = headers.Find(wire::kRemaining))
    decoded.remaining = ToMilliseconds(*left);
  if (const auto id = headers.Find(wire::kLastEventId))
    decoded.last_event_id = std::string(*id);
  decoded.prompt = DecodePrompt(headers);
  const auto named = NamedByConnection(headers);
  for (const runtime::HttpHeader& field : headers.all()) {
    const bool dropped = IsOneOf(field.name, wire::kConnectionFields) ||
                         IsOneOf(field.name, wire::kSystemFields) ||
                         IsOneOf(field.name, named) ||
                         IsField(field.name, wire::kLastEventId);
    if (!dropped)
      decoded.passed_on.Add(field.name, field.value);
  }
  return decoded;
}

runtime::HttpHeaders PlatformCodec::EncodeSend(
    const forward::CallerRequest& request,
    const forward::SendOrder& order) const {
  runtime::HttpHeaders headers = request.passed_on;
  const auto add = [&](std::string_view name, std::string value) {
    headers.Add(std::string(name), std::move(value));
  };
  add(wire::kExpectInstance, order.endpoint_id);
  add(wire::kRemaining, std::to_string(order.remaining.count() / 1000));
  if (order.team)
    add(wire::kTeam, *order.team);
  if (order.urgency)
    add(wire::kUrgency, std::to_string(*order.urgency));
  if (order.cache_salt)
    add(wire::kCacheSalt, *order.cache_salt);
  if (order.expected_version)
    add(wire::kExpectVersion, std::to_string(*order.expected_version));
  if (HasAddress(order.cache_sources))
    add(wire::kCacheSource, JoinAddresses(order.cache_sources));
  if (HasAddress(order.cache_targets))
    add(wire::kCacheTarget, JoinAddresses(order.cache_targets));
  if (order.cache_until_ms)
    add(wire::kCacheUntil, std::to_string(*order.cache_until_ms));
  const auto& last =
      order.last_event_id ? order.last_event_id : request.last_event_id;
  if (last)
    add(wire::kLastEventId, *last);
  return headers;
}

forward::AnswerHead PlatformCodec::DecodeAnswer(
    int status,
    const runtime::HttpHeaders& headers) const {
  forward::AnswerHead head;
  head.status = status;
  if (const auto id = headers.Find(wire::kAttemptId))
    head.attempt_id = std::string(*id);
  // 421 always means that another endpoint was meant.
  head.not_run = headers.Find(wire::kNotRun).has_value() || status == 421;
  head.is_signed = headers.Find(wire::kSignature).has_value();
  if (const auto load = headers.Find(wire::kLoad))
    head.load = DecodeLoad(*load);
  if (const auto version = headers.Find(wire::kWeightVersions)) {
    if (const auto number = ToNumber(*version))
      head.weight_version = static_cast<uint64_t>(*number);
  }
  if (const auto keep_alive = headers.Find(wire::kKeepAlive))
    head.keep_alive = DecodeKeepAlive(*keep_alive);
  if (const auto connection = headers.Find(wire::kConnection))
    head.closes = IsField(Trim(*connection), "close");
  const auto named = NamedByConnection(headers);
  for (const runtime::HttpHeader& field : headers.all()) {
    const bool dropped = IsOneOf(field.name, wire::kConnectionFields) ||
                         IsOneOf(field.name, named);
    if (!dropped)
      head.passed_on.Add(field.name, field.value);
  }
  return head;
}

void PlatformCodec::AddRetryAfter(runtime::HttpHeaders& headers,
                                  common::Duration after) const {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", common::ToSeconds(after));
  headers.Set(wire::kRetryAfter, text);
}

}  // namespace jujuberock::platform_adapter
