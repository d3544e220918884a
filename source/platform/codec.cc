#include "platform/codec.h"

#include <algorithm>
#include <charconv>
#include <cstdio>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/beast/core/string.hpp>

#include "platform/notice.h"
#include "platform/wire_names.h"

namespace jujuberock::platform_adapter {

namespace {

using boost::beast::iequals;
using common::Duration;

template <typename Names>
bool EqualsAnyIgnoreCase(std::string_view name, const Names& names) {
  return std::any_of(names.begin(), names.end(), [&](std::string_view other) {
    return iequals({name.data(), name.size()}, {other.data(), other.size()});
  });
}

bool EqualsIgnoreCase(std::string_view name, std::string_view expected) {
  return EqualsAnyIgnoreCase(name, std::array<std::string_view, 1>{expected});
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
    text.remove_suffix(1);
  return text;
}

// Splits a comma-separated list and trims its items.
std::vector<std::string_view> SplitList(std::string_view text) {
  std::vector<std::string_view> items;
  while (true) {
    const size_t comma = text.find(',');
    items.push_back(Trim(text.substr(0, comma)));
    if (comma == std::string_view::npos)
      return items;
    text.remove_prefix(comma + 1);
  }
}

// Returns std::nullopt unless `text` is a non-negative decimal integer.
std::optional<int64_t> ParseUnsigned(std::string_view text) {
  int64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number < 0)
    return std::nullopt;
  return number;
}

// Longer times are cut to this, so that they can be computed with.
constexpr int64_t kMaxMs = 24 * 60 * 60 * 1000;

std::optional<Duration> ParseMilliseconds(std::string_view text) {
  // Truncates fractions, because a shorter deadline is always safe.
  const auto number = ParseUnsigned(text.substr(0, text.find('.')));
  if (!number)
    return std::nullopt;
  return Duration(std::chrono::milliseconds(std::min(*number, kMaxMs)));
}

// Returns the connection options (RFC 9110, section 7.6.1): the fields that the
// message's Connection field lists, apart from the protected ones.
std::vector<std::string> ConnectionOptions(
    const runtime::HttpHeaders& headers) {
  std::vector<std::string> names;
  for (const runtime::HttpHeader& field : headers.all()) {
    if (!EqualsIgnoreCase(field.name, wire::kConnection))
      continue;
    for (std::string_view name : SplitList(field.value)) {
      if (!EqualsAnyIgnoreCase(name, wire::kProtectedFields))
        names.emplace_back(name);
    }
  }
  return names;
}

bool IsEncoded(const runtime::HttpHeaders& headers) {
  const auto encoding = headers.Find(wire::kContentEncoding);
  return encoding && !EqualsIgnoreCase(Trim(*encoding), wire::kIdentity);
}

std::optional<dispatch::Prompt> DecodePrompt(
    const runtime::HttpHeaders& headers) {
  const auto model = headers.Find(wire::kModel);
  const auto counts = headers.Find(wire::kTokenCount);
  if (!model || !counts)
    return std::nullopt;
  dispatch::Prompt prompt;
  prompt.model = std::string(*model);
  const auto numbers = SplitList(*counts);
  prompt.prompt_tokens = ParseUnsigned(numbers[0]).value_or(0);
  if (numbers.size() > 1)
    prompt.max_output_tokens = ParseUnsigned(numbers[1]).value_or(0);
  const auto parts = headers.Find(wire::kPromptParts);
  if (!parts)
    return prompt;
  for (std::string_view entry : SplitList(*parts)) {
    const size_t colon = entry.find(':');
    if (colon == std::string_view::npos)
      continue;
    const auto tokens = ParseUnsigned(entry.substr(colon + 1));
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

bool HasAnyAddress(const std::vector<std::string>& addresses) {
  return std::any_of(addresses.begin(), addresses.end(),
                     [](const std::string& a) { return !a.empty(); });
}

// Decodes "running,waiting,slots" or "running,waiting,slots,time", where time
// is how long work takes at this moment in percent of the usual time. Figures
// that later versions append are ignored, and a malformed time costs only
// itself.
std::optional<dispatch::LoadReport> DecodeLoad(std::string_view text) {
  constexpr double kUsualTime = 100;
  const auto numbers = SplitList(text);
  if (numbers.size() < 3)
    return std::nullopt;
  const auto running = ParseUnsigned(numbers[0]);
  const auto waiting = ParseUnsigned(numbers[1]);
  const auto slots = ParseUnsigned(numbers[2]);
  if (!running || !waiting || !slots)
    return std::nullopt;
  dispatch::LoadReport load{*running, *waiting, *slots};
  const auto time =
      numbers.size() > 3 ? ParseUnsigned(numbers[3]) : std::nullopt;
  if (time && *time > 0)
    load.work_factor = static_cast<double>(*time) / kUsualTime;
  return load;
}

std::optional<Duration> DecodeKeepAlive(std::string_view text) {
  constexpr std::string_view kTimeout = "timeout=";
  for (std::string_view item : SplitList(text)) {
    if (item.substr(0, kTimeout.size()) != kTimeout)
      continue;
    const auto seconds = ParseUnsigned(item.substr(kTimeout.size()));
    // The endpoint closes the idle connection after this time. Only 70% of it
    // is used, so that no request is sent while the endpoint closes.
    if (seconds && *seconds > 0)
      return Duration(std::chrono::milliseconds(
          std::min(*seconds, kMaxMs / 1000) * 1000 * 7 / 10));
  }
  return std::nullopt;
}

}  // namespace

std::string_view PlatformCodec::attempt_id_field() const {
  return wire::kAttemptId;
}

forward::CallerRequest PlatformCodec::DecodeRequest(
    const runtime::HttpRequest& request) const {
  const runtime::HttpHeaders& headers = request.headers;
  forward::CallerRequest decoded;
  decoded.method = request.method;
  decoded.target = request.target;
  const auto text = [&](std::string_view name) {
    return std::string(headers.Find(name).value_or(""));
  };
  decoded.host = text("Host");
  decoded.attempt_id = text(wire::kAttemptId);
  decoded.key = text(wire::kApiKey);
  if (const auto remaining_ms = headers.Find(wire::kDeadlineRemaining))
    decoded.remaining = ParseMilliseconds(*remaining_ms);
  if (const auto id = headers.Find(wire::kLastEventId))
    decoded.last_event_id = std::string(*id);
  decoded.first_attempt = text(wire::kResumes);
  decoded.prompt = DecodePrompt(headers);
  const auto connection_options = ConnectionOptions(headers);
  for (const runtime::HttpHeader& field : headers.all()) {
    const bool is_stripped =
        EqualsAnyIgnoreCase(field.name, wire::kHopByHopFields) ||
        EqualsAnyIgnoreCase(field.name, wire::kReservedFields) ||
        EqualsAnyIgnoreCase(field.name, connection_options) ||
        EqualsIgnoreCase(field.name, wire::kLastEventId);
    if (!is_stripped)
      decoded.forwarded_headers.Add(field.name, field.value);
  }
  return decoded;
}

runtime::HttpHeaders PlatformCodec::EncodeRequestHeaders(
    const forward::CallerRequest& request,
    const forward::SendParameters& parameters) const {
  runtime::HttpHeaders headers = request.forwarded_headers;
  const auto add = [&](std::string_view name, std::string value) {
    headers.Add(std::string(name), std::move(value));
  };
  add(wire::kExpectInstance, parameters.endpoint_id);
  add(wire::kDeadlineRemaining,
      std::to_string(parameters.remaining.count() / 1000));
  if (parameters.team)
    add(wire::kTeam, *parameters.team);
  if (parameters.urgency)
    add(wire::kUrgency, std::to_string(*parameters.urgency));
  if (parameters.cache_salt)
    add(wire::kCacheSalt, *parameters.cache_salt);
  if (parameters.expected_version)
    add(wire::kExpectVersion, std::to_string(*parameters.expected_version));
  if (HasAnyAddress(parameters.cache_sources))
    add(wire::kCacheSource, JoinAddresses(parameters.cache_sources));
  if (HasAnyAddress(parameters.cache_targets))
    add(wire::kCacheTarget, JoinAddresses(parameters.cache_targets));
  if (parameters.cache_until_ms)
    add(wire::kCacheUntil, std::to_string(*parameters.cache_until_ms));
  const auto& last_event_id_field = parameters.last_event_id
                                        ? parameters.last_event_id
                                        : request.last_event_id;
  if (last_event_id_field)
    add(wire::kLastEventId, *last_event_id_field);
  return headers;
}

forward::ResponseHead PlatformCodec::DecodeResponseHead(
    int status,
    const runtime::HttpHeaders& headers) const {
  forward::ResponseHead head;
  head.status = status;
  if (const auto id = headers.Find(wire::kAttemptId))
    head.attempt_id = std::string(*id);
  // 421 (Misdirected Request) always means that the request was addressed to
  // another endpoint.
  head.not_run = headers.Find(wire::kNotExecuted).has_value() || status == 421;
  head.notice = DecodeNotice(status, headers);
  head.promises_not_run = std::find(wire::kPromisingStatuses.begin(),
                                    wire::kPromisingStatuses.end(),
                                    status) != wire::kPromisingStatuses.end();
  head.is_encoded = IsEncoded(headers);
  if (const auto load = headers.Find(wire::kServerLoad))
    head.load = DecodeLoad(*load);
  if (const auto version = headers.Find(wire::kWeightVersions)) {
    if (const auto number = ParseUnsigned(*version))
      head.weight_version = static_cast<uint64_t>(*number);
  }
  if (const auto keep_alive = headers.Find(wire::kKeepAlive))
    head.keep_alive = DecodeKeepAlive(*keep_alive);
  if (const auto connection = headers.Find(wire::kConnection))
    head.closes_connection =
        EqualsAnyIgnoreCase("close", SplitList(*connection));
  const auto connection_options = ConnectionOptions(headers);
  for (const runtime::HttpHeader& field : headers.all()) {
    const bool is_stripped =
        EqualsAnyIgnoreCase(field.name, wire::kHopByHopFields) ||
        EqualsAnyIgnoreCase(field.name, connection_options);
    if (!is_stripped)
      head.forwarded_headers.Add(field.name, field.value);
  }
  head.is_signed =
      !head.forwarded_headers.Find(wire::kServerStamp).value_or("").empty();
  return head;
}

void PlatformCodec::AddRetryAfter(runtime::HttpHeaders& headers,
                                  common::Duration after) const {
  char text[32];
  std::snprintf(text, sizeof(text), "%.3f", common::ToSeconds(after));
  headers.Set(wire::kRetryAfter, text);
}

}  // namespace jujuberock::platform_adapter
