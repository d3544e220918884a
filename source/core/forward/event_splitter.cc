#include "core/forward/event_splitter.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace jujuberock::forward {

namespace {

// Returns the offset behind the blank line that ends the first event in `text`,
// or npos.
size_t FindEventEnd(std::string_view text) {
  size_t line = 0;
  while (line < text.size()) {
    const size_t end = text.find('\n', line);
    if (end == std::string_view::npos)
      return std::string_view::npos;
    const bool blank = end == line || (end == line + 1 && text[line] == '\r');
    if (blank)
      return end + 1;
    line = end + 1;
  }
  return std::string_view::npos;
}

// Returns the value of the event's first line with this field name, which ends
// with a colon.
std::optional<std::string_view> FindField(std::string_view event,
                                          std::string_view name) {
  size_t line = 0;
  while (line < event.size()) {
    size_t end = event.find('\n', line);
    if (end == std::string_view::npos)
      end = event.size();
    std::string_view text = event.substr(line, end - line);
    if (text.substr(0, name.size()) == name) {
      text.remove_prefix(name.size());
      while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
      while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
        text.remove_suffix(1);
      return text;
    }
    line = end + 1;
  }
  return std::nullopt;
}

std::optional<uint64_t> ParseNumber(std::string_view text) {
  uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end)
    return std::nullopt;
  return number;
}

}  // namespace

bool EventSplitter::AcceptEvent(std::string_view event) {
  const auto id = FindField(event, "id:");
  if (!id)
    return true;
  const auto number = ParseNumber(*id);
  if (number && this->last_numeric_id && *number <= *this->last_numeric_id)
    return false;
  this->last_event_id = std::string(*id);
  if (number)
    this->last_numeric_id = number;
  return true;
}

void EventSplitter::BeginResponse() {
  this->partial_event.clear();
  this->received_event = false;
}

std::string EventSplitter::Push(std::string_view bytes) {
  this->partial_event += bytes;
  this->progressed = false;
  std::string complete;
  size_t begin = 0;
  const std::string_view text = this->partial_event;
  while (true) {
    const size_t length = FindEventEnd(text.substr(begin));
    if (length == std::string_view::npos)
      break;
    const std::string_view event = text.substr(begin, length);
    const bool has_data = FindField(event, "data:").has_value();
    this->received_event |= has_data;
    if (this->AcceptEvent(event)) {
      complete += event;
      this->progressed |= has_data;
    }
    begin += length;
  }
  this->partial_event.erase(0, begin);
  return complete;
}

bool EventSplitter::IsInsideEvent() const {
  std::string_view rest = this->partial_event;
  while (!rest.empty()) {
    const std::string_view line = rest.substr(0, rest.find('\n'));
    if (line.substr(0, 1) != ":" && line != "\r")
      return true;
    rest.remove_prefix(std::min(rest.size(), line.size() + 1));
  }
  return false;
}

std::string EventSplitter::TakePartial() {
  return std::exchange(this->partial_event, {});
}

}  // namespace jujuberock::forward
