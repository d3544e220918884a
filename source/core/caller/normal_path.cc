#include "core/caller/normal_path.h"

#include <cctype>
#include <charconv>

namespace jujuberock::caller {

namespace {

constexpr size_t kEscapeChars = 3;

bool IsUnreserved(unsigned char c) {
  return std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~';
}

// The character of the escape at the start of `text`, if there is one.
std::optional<unsigned char> Unescape(std::string_view text) {
  if (text.size() < kEscapeChars)
    return std::nullopt;
  unsigned value = 0;
  const char* end = text.data() + kEscapeChars;
  const auto [stop, error] = std::from_chars(text.data() + 1, end, value, 16);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return static_cast<unsigned char>(value);
}

std::optional<std::string> EscapeProblem(std::string_view path) {
  for (size_t i = 0; i < path.size(); ++i) {
    const auto c = static_cast<unsigned char>(path[i]);
    if (c <= ' ' || c >= 0x7f || c == '\\')
      return "the path has a character that must be escaped";
    if (c != '%')
      continue;
    const auto escaped = Unescape(path.substr(i));
    if (!escaped)
      return "the path has a malformed escape";
    if (IsUnreserved(*escaped) || *escaped == '/' || *escaped == '\\')
      return "the path escapes a character that must not be escaped";
  }
  return std::nullopt;
}

std::optional<std::string> SegmentProblem(std::string_view path) {
  size_t start = 1;
  while (start <= path.size()) {
    size_t end = path.find('/', start);
    if (end == std::string_view::npos)
      end = path.size();
    const std::string_view segment = path.substr(start, end - start);
    const bool is_last = end == path.size();
    if (segment == "." || segment == "..")
      return "the path has a dot segment";
    if (segment.empty() && !is_last)
      return "the path has an empty segment";
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> PathProblem(std::string_view target) {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (path.empty() || path.front() != '/')
    return "the path must begin with /";
  if (auto problem = EscapeProblem(path))
    return problem;
  return SegmentProblem(path);
}

}  // namespace jujuberock::caller
