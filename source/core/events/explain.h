#ifndef CORE_EVENTS_EXPLAIN_H_
#define CORE_EVENTS_EXPLAIN_H_

#include <cstdint>
#include <istream>
#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::events {

// One line of a log, as far as a story needs it.
struct LoggedLine {
  int64_t time_ms = 0;
  std::string host;
  std::string event;
  std::string request;
  std::string endpoint;
  // The other fields, as "name=value" in the order of the line.
  std::string rest;
};

// The log lines of a stream. Text before the JSON object of a line is passed
// over, as collectors put there; lines without one are counted in `skipped`.
std::vector<LoggedLine> ReadLogLines(std::istream& in, size_t& skipped);

// The story of one request over the logs of all hosts: its own lines in order
// of time, and between them the lines about what the hosts believed of its
// endpoints, the configuration and the platform, from `before_ms` before its
// first line on. Empty when no line names the request.
std::string ExplainRequest(const std::vector<LoggedLine>& lines,
                           std::string_view request,
                           int64_t before_ms);

}  // namespace jujuberock::events

#endif  // CORE_EVENTS_EXPLAIN_H_
