#include "core/events/explain.h"

#include <algorithm>
#include <optional>
#include <set>

#include <nlohmann/json.hpp>

#include "core/events/event_log.h"

namespace jujuberock::events {

namespace {

using Json = nlohmann::ordered_json;

std::string FieldText(const Json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

std::optional<LoggedLine> ParseLine(const std::string& text) {
  const size_t begin = text.find('{');
  if (begin == std::string::npos)
    return std::nullopt;
  const Json value = Json::parse(text.substr(begin), nullptr, false);
  if (!value.is_object() || !value.contains("event") ||
      !value.contains("time_ms") || !value["time_ms"].is_number())
    return std::nullopt;
  LoggedLine line;
  for (const auto& [name, field] : value.items()) {
    if (name == "time_ms")
      line.time_ms = field.get<int64_t>();
    else if (name == "host")
      line.host = FieldText(field);
    else if (name == "event")
      line.event = FieldText(field);
    else if (name == "request")
      line.request = FieldText(field);
    else
      line.other_fields += " " + name + "=" + FieldText(field);
    if (name == "endpoint")
      line.endpoint = FieldText(field);
  }
  return line;
}

bool IsRequestLine(const LoggedLine& line) {
  return !line.request.empty();
}

// Whether the line is an event, other than of a request, that may have affected
// a request on these hosts and endpoints.
bool IsRelatedEvent(const LoggedLine& line,
                    const std::set<std::string>& hosts,
                    const std::set<std::string>& endpoints) {
  const auto event = kEventNames.ValueOf(line.event);
  if (!event || IsRequestLine(line))
    return false;
  if (!line.endpoint.empty())
    return endpoints.contains(line.endpoint);
  return hosts.contains(line.host);
}

}  // namespace

std::vector<LoggedLine> ReadLogLines(std::istream& in, size_t& skipped) {
  std::vector<LoggedLine> lines;
  std::string text;
  while (std::getline(in, text)) {
    if (auto line = ParseLine(text))
      lines.push_back(std::move(*line));
    else
      ++skipped;
  }
  return lines;
}

std::string ExplainRequest(const std::vector<LoggedLine>& lines,
                           std::string_view request,
                           int64_t before_ms) {
  std::set<std::string> hosts;
  std::set<std::string> endpoints;
  std::optional<int64_t> first;
  int64_t last = 0;
  for (const LoggedLine& line : lines) {
    if (line.request != request)
      continue;
    hosts.insert(line.host);
    if (!line.endpoint.empty())
      endpoints.insert(line.endpoint);
    first = std::min(first.value_or(line.time_ms), line.time_ms);
    last = std::max(last, line.time_ms);
  }
  if (!first)
    return "";
  std::vector<const LoggedLine*> timeline;
  for (const LoggedLine& line : lines) {
    const bool in_range =
        line.time_ms >= *first - before_ms && line.time_ms <= last;
    if (line.request == request ||
        (in_range && IsRelatedEvent(line, hosts, endpoints)))
      timeline.push_back(&line);
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const LoggedLine* a, const LoggedLine* b) {
                     return a->time_ms < b->time_ms;
                   });
  std::string text;
  for (const LoggedLine* line : timeline) {
    const std::string prefix = line->request == request ? "* " : "  ";
    text += prefix + std::to_string(line->time_ms - *first) + " ms " +
            line->host + " " + line->event + line->other_fields + "\n";
  }
  return text;
}

}  // namespace jujuberock::events
