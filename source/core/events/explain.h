#ifndef CORE_EVENTS_EXPLAIN_H_
#define CORE_EVENTS_EXPLAIN_H_

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::events {

// A parsed line of the event log.
struct LoggedLine {
  int64_t time_ms = 0;
  std::string host;
  std::string event;
  std::string request;
  std::string endpoint;
  // Other fields as " name=value", in the order of the line; includes the
  // endpoint.
  std::string other_fields;
};

// Parses the log lines of a stream. Ignores text before the JSON object of a
// line, such as the prefix of a log collector. Counts the lines without a valid
// object in `skipped`.
std::vector<LoggedLine> ReadLogLines(std::istream& in, size_t& skipped);

// Renders the timeline of one request from the logs of all hosts. It contains
// the lines of the request and, from `before_ms` before its first line on, the
// events that its hosts logged about its endpoints, the configuration and the
// platform. Empty if no line names the request.
std::string ExplainRequest(const std::vector<LoggedLine>& lines,
                           std::string_view request,
                           int64_t before_ms);

}  // namespace jujuberock::events

#endif  // CORE_EVENTS_EXPLAIN_H_
