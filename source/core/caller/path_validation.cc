#include "core/caller/path_validation.h"

#include <cctype>
#include <charconv>

namespace jujuberock::caller {

namespace {

constexpr size_t kEncodedChars = 3;

bool IsUnreserved(unsigned char c) {
  return std::isalnum(c) || c == '-' || c == '.' || c == '_' || c == '~';
}

// Decodes the percent-encoded character that `text` starts with. Returns
// std::nullopt if the two characters after the percent sign are not
// hexadecimal.
std::optional<unsigned char> DecodePercent(std::string_view text) {
  if (text.size() < kEncodedChars)
    return std::nullopt;
  unsigned value = 0;
  const char* end = text.data() + kEncodedChars;
  const auto [stop, error] = std::from_chars(text.data() + 1, end, value, 16);
  if (error != std::errc() || stop != end)
    return std::nullopt;
  return static_cast<unsigned char>(value);
}

std::optional<std::string> FindEncodingError(std::string_view path) {
  for (size_t i = 0; i < path.size(); ++i) {
    const auto c = static_cast<unsigned char>(path[i]);
    if (c <= ' ' || c >= 0x7f || c == '\\')
      return "the path contains a character that must be percent-encoded";
    if (c != '%')
      continue;
    const auto decoded = DecodePercent(path.substr(i));
    if (!decoded)
      return "the path contains malformed percent-encoding";
    if (IsUnreserved(*decoded) || *decoded == '/' || *decoded == '\\')
      return "the path percent-encodes a character that must not be encoded";
  }
  return std::nullopt;
}

std::optional<std::string> FindSegmentError(std::string_view path) {
  size_t start = 1;
  while (start <= path.size()) {
    size_t end = path.find('/', start);
    if (end == std::string_view::npos)
      end = path.size();
    const std::string_view segment = path.substr(start, end - start);
    const bool is_last = end == path.size();
    if (segment == "." || segment == "..")
      return "the path contains a dot segment";
    if (segment.empty() && !is_last)
      return "the path contains an empty segment";
    start = end + 1;
  }
  return std::nullopt;
}

}  // namespace

std::optional<std::string> FindPathError(std::string_view target) {
  const std::string_view path = target.substr(0, target.find_first_of("?#"));
  if (path.empty() || path.front() != '/')
    return "the path must start with /";
  if (auto error_text = FindEncodingError(path))
    return error_text;
  return FindSegmentError(path);
}

}  // namespace jujuberock::caller
