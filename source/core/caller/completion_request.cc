#include "core/caller/completion_request.h"

#include <charconv>
#include <cstdio>
#include <set>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/nesting.h"

namespace jujuberock::caller {

using common::Error;
using common::ResultCode;
using nlohmann::json;

namespace {

constexpr size_t kMaxNameChars = 128;
constexpr size_t kMaxHeaderChars = 255;
constexpr int64_t kMaxDeadlineMs = 24 * 3600 * 1000;
// Maximum nesting of the JSON body. No request needs more.
constexpr size_t kMaxDepth = 32;

[[noreturn]] void ThrowMalformed(const std::string& detail) {
  throw Error(ResultCode::kMalformedRequest, detail);
}

// Throws when a name appears twice in an object. Of such names parsers take
// different ones, so an engine could run another request than this host
// checked.
class DuplicateNameCheck {
 public:
  void OnEvent(json::parse_event_t event, const json& parsed) {
    using Event = json::parse_event_t;
    if (event == Event::object_start)
      this->open_objects.emplace_back();
    if (event == Event::object_end)
      this->open_objects.pop_back();
    if (event != Event::key)
      return;
    const auto& name = parsed.get_ref<const std::string&>();
    if (!this->open_objects.back().insert(name).second)
      ThrowMalformed("the body contains a name twice in one object");
  }

 private:
  // The names seen so far in each object that has not ended.
  std::vector<std::set<std::string>> open_objects;
};

json ParseObject(std::string_view body) {
  if (common::ExceedsNesting(body, kMaxDepth))
    ThrowMalformed("the body is nested more than " + std::to_string(kMaxDepth) +
                   " levels deep");
  DuplicateNameCheck duplicates;
  const auto check = [&](int, json::parse_event_t event, const json& parsed) {
    duplicates.OnEvent(event, parsed);
    return true;
  };
  try {
    json value = json::parse(body, check);
    if (!value.is_object())
      ThrowMalformed("the body must be a JSON object");
    return value;
  } catch (const json::parse_error& error) {
    ThrowMalformed("the body is not valid JSON: error at byte " +
                   std::to_string(error.byte));
  } catch (const json::out_of_range&) {
    ThrowMalformed("the body contains a number out of range");
  }
}

std::string GetString(const json& object, const char* name, bool required) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null()) {
    if (required)
      ThrowMalformed(std::string(name) + " is missing");
    return "";
  }
  if (!found->is_string())
    ThrowMalformed(std::string(name) + " must be a string");
  return found->get<std::string>();
}

std::string GetName(const json& object, const char* name, bool required) {
  std::string text = GetString(object, name, required);
  if ((required && text.empty()) || text.size() > kMaxNameChars)
    ThrowMalformed(std::string(name) + " must have 1 to " +
                   std::to_string(kMaxNameChars) + " characters");
  for (const char c : text) {
    if (static_cast<unsigned char>(c) < ' ')
      ThrowMalformed(std::string(name) + " contains a control character");
  }
  return text;
}

int64_t GetInteger(const json& object,
                   const char* name,
                   int64_t fallback,
                   int64_t minimum,
                   int64_t maximum) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null())
    return fallback;
  const std::string expected = std::string(name) + " must be an integer from " +
                               std::to_string(minimum) + " to " +
                               std::to_string(maximum);
  if (!found->is_number_integer())
    ThrowMalformed(expected);
  const bool too_large =
      found->is_number_unsigned() &&
      found->get<uint64_t>() > static_cast<uint64_t>(maximum);
  if (too_large || found->get<int64_t>() < minimum)
    ThrowMalformed(expected);
  return found->get<int64_t>();
}

bool GetBool(const json& object, const char* name) {
  const auto found = object.find(name);
  if (found == object.end() || found->is_null())
    return false;
  if (!found->is_boolean())
    ThrowMalformed(std::string(name) + " must be true or false");
  return found->get<bool>();
}

std::string RenderChatPrompt(const json& object) {
  const auto messages = object.find("messages");
  if (messages == object.end())
    ThrowMalformed("messages is missing");
  if (!messages->is_array() || messages->empty())
    ThrowMalformed("messages must be a list with at least one message");
  std::string prompt;
  for (const json& message : *messages) {
    if (!message.is_object())
      ThrowMalformed("messages must contain objects");
    prompt += "<|" + GetName(message, "role", true) + "|>\n";
    prompt += GetString(message, "content", true) + "\n";
  }
  return prompt + "<|assistant|>\n";
}

std::string HeaderText(const runtime::HttpHeaders& headers,
                       std::string_view name) {
  const auto value = headers.Find(name);
  if (!value)
    return "";
  if (value->size() > kMaxHeaderChars)
    ThrowMalformed(std::string(name) + " is longer than " +
                   std::to_string(kMaxHeaderChars) + " characters");
  return std::string(*value);
}

common::Duration ParseTimeout(std::string_view text) {
  int64_t milliseconds = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, milliseconds);
  const bool valid = parsed.ec == std::errc() && parsed.ptr == end &&
                     milliseconds > 0 && milliseconds <= kMaxDeadlineMs;
  if (!valid)
    throw Error(ResultCode::kInvalidDeadline,
                "Jujuberock-Deadline-Ms must be an integer from 1 to " +
                    std::to_string(kMaxDeadlineMs));
  return std::chrono::milliseconds(milliseconds);
}

// Parses the UTC offset that an RFC 3339 time ends with.
std::optional<std::chrono::minutes> ParseOffset(std::string_view text) {
  if (text == "Z" || text == "z")
    return std::chrono::minutes(0);
  int hours = 0;
  int minutes = 0;
  char sign = 0;
  if (text.size() != 6 || std::sscanf(std::string(text).c_str(), "%c%2d:%2d",
                                      &sign, &hours, &minutes) != 3)
    return std::nullopt;
  if ((sign != '+' && sign != '-') || hours > 23 || minutes > 59 || hours < 0 ||
      minutes < 0)
    return std::nullopt;
  const std::chrono::minutes offset(hours * 60 + minutes);
  return sign == '-' ? -offset : offset;
}

}  // namespace

CompletionRequest ParseCompletion(CompletionKind kind,
                                  std::string_view body,
                                  int64_t max_tokens_limit) {
  const json object = ParseObject(body);
  CompletionRequest request;
  request.kind = kind;
  request.model = GetName(object, "model", true);
  request.adapter = GetName(object, "adapter", false);
  request.prompt = kind == CompletionKind::kChat
                       ? RenderChatPrompt(object)
                       : GetString(object, "prompt", true);
  if (request.prompt.empty())
    ThrowMalformed("prompt must not be empty");
  request.max_tokens = GetInteger(object, "max_tokens",
                                  std::min(kDefaultMaxTokens, max_tokens_limit),
                                  1, max_tokens_limit);
  request.stream = GetBool(object, "stream");
  request.priority = GetInteger(object, "priority", 0, -100, 100);
  return request;
}

CallHeaders ParseCallHeaders(const runtime::HttpHeaders& headers) {
  CallHeaders parsed;
  parsed.conversation = HeaderText(headers, "Jujuberock-Conversation");
  parsed.idempotency_key = HeaderText(headers, "Idempotency-Key");
  if (const auto id = headers.Find("Last-Event-ID"))
    parsed.last_event_id = std::string(*id);
  if (const auto text = headers.Find("Jujuberock-Deadline-Ms"))
    parsed.timeout = ParseTimeout(*text);
  if (const auto text = headers.Find("Jujuberock-Issued-At")) {
    parsed.issued_at = ParseRfc3339(*text);
    if (!parsed.issued_at)
      ThrowMalformed("Jujuberock-Issued-At must be an RFC 3339 time");
  }
  return parsed;
}

std::optional<common::UnixTime> ParseRfc3339(std::string_view text) {
  constexpr size_t kDateTimeChars = 19;
  if (text.size() < kDateTimeChars + 1 || text.size() > 40)
    return std::nullopt;
  int year = 0;
  unsigned month = 0;
  unsigned day = 0;
  int hour = 0;
  int minute = 0;
  int second = 0;
  char separator = 0;
  int consumed = 0;
  const std::string copy(text);
  const int fields =
      std::sscanf(copy.c_str(), "%4d-%2u-%2u%c%2d:%2d:%2d%n", &year, &month,
                  &day, &separator, &hour, &minute, &second, &consumed);
  if (fields != 7 || consumed != kDateTimeChars ||
      (separator != 'T' && separator != 't' && separator != ' '))
    return std::nullopt;
  const std::chrono::year_month_day date{std::chrono::year(year),
                                         std::chrono::month(month),
                                         std::chrono::day(day)};
  if (!date.ok() || hour < 0 || hour > 23 || minute < 0 || minute > 59 ||
      second < 0 || second > 60)
    return std::nullopt;
  size_t next = kDateTimeChars;
  int64_t milliseconds = 0;
  if (copy[next] == '.') {
    int64_t scale = 100;
    ++next;
    const size_t first_digit = next;
    for (; next < copy.size() && copy[next] >= '0' && copy[next] <= '9';
         ++next) {
      milliseconds += (copy[next] - '0') * scale;
      scale /= 10;
    }
    if (next == first_digit)
      return std::nullopt;
  }
  const auto offset = ParseOffset(std::string_view(copy).substr(next));
  if (!offset)
    return std::nullopt;
  return std::chrono::sys_days(date) + std::chrono::hours(hour) +
         std::chrono::minutes(minute) + std::chrono::seconds(second) +
         std::chrono::milliseconds(milliseconds) - *offset;
}

}  // namespace jujuberock::caller
