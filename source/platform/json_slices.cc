#include "platform/json_slices.h"

#include <algorithm>

namespace jujuberock::platform_adapter {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";

std::string_view TrimEnd(std::string_view text) {
  return text.substr(0, text.find_last_not_of(kWhitespace) + 1);
}

// Reads the text of one array or object from its beginning.
class SliceReader {
 public:
  explicit SliceReader(std::string_view text) : text(text) {}

  // Skips whitespace, and `expected` if it follows. Returns whether it does.
  bool Skip(char expected) {
    this->SkipWhitespace();
    if (this->at == this->text.size() || this->text[this->at] != expected)
      return false;
    ++this->at;
    return true;
  }

  bool IsAtEnd() {
    this->SkipWhitespace();
    return this->at == this->text.size();
  }

  // Returns the name of the next member and skips the colon behind it. Skips
  // nothing and returns an empty name if there is none.
  std::string_view TakeName() {
    this->SkipWhitespace();
    const size_t begin = this->at;
    if (this->SkipString()) {
      const auto quoted = this->text.substr(begin, this->at - begin);
      if (this->Skip(':'))
        return quoted.substr(1, quoted.size() - 2);
    }
    this->at = begin;
    return {};
  }

  // Returns the text up to the next comma or closing bracket that is not inside
  // a string or a nested value. Returns std::nullopt if there is none.
  std::optional<std::string_view> TakeValue() {
    this->SkipWhitespace();
    const size_t begin = this->at;
    size_t depth = 0;
    while (this->at < this->text.size()) {
      const char c = this->text[this->at];
      const bool is_closing = c == ']' || c == '}';
      if (depth == 0 && (c == ',' || is_closing))
        return TrimEnd(this->text.substr(begin, this->at - begin));
      if (c == '"') {
        if (!this->SkipString())
          return std::nullopt;
        continue;
      }
      if (c == '[' || c == '{')
        ++depth;
      else if (is_closing)
        --depth;
      ++this->at;
    }
    return std::nullopt;
  }

 private:
  void SkipWhitespace() {
    this->at = std::min(this->text.size(),
                        this->text.find_first_not_of(kWhitespace, this->at));
  }

  // Skips a string. Returns false if none begins here or it has no end.
  bool SkipString() {
    if (this->at == this->text.size() || this->text[this->at] != '"')
      return false;
    size_t next = this->at + 1;
    while (next < this->text.size() && this->text[next] != '"')
      next += this->text[next] == '\\' ? 2 : 1;
    if (next >= this->text.size())
      return false;
    this->at = next + 1;
    return true;
  }

  std::string_view text;
  size_t at = 0;
};

// Calls `take` for each member or element between the brackets. Returns false
// if `take` does, or if the text is not one whole value with these brackets.
template <typename Take>
bool ForEachSlice(SliceReader& reader, char open, char close, Take take) {
  if (!reader.Skip(open))
    return false;
  if (reader.Skip(close))
    return reader.IsAtEnd();
  do {
    if (!take())
      return false;
  } while (reader.Skip(','));
  return reader.Skip(close) && reader.IsAtEnd();
}

}  // namespace

std::optional<JsonMembers> SliceObject(std::string_view text) {
  SliceReader reader(text);
  JsonMembers members;
  const bool is_whole = ForEachSlice(reader, '{', '}', [&] {
    const std::string_view name = reader.TakeName();
    const auto value = reader.TakeValue();
    if (value)
      members.push_back({name, *value});
    return value.has_value();
  });
  if (!is_whole)
    return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SliceArray(std::string_view text) {
  SliceReader reader(text);
  std::vector<std::string_view> elements;
  const bool is_whole = ForEachSlice(reader, '[', ']', [&] {
    const auto value = reader.TakeValue();
    if (value)
      elements.push_back(*value);
    return value.has_value();
  });
  if (!is_whole)
    return std::nullopt;
  return elements;
}

std::optional<std::string_view> FindMember(const JsonMembers& members,
                                           std::string_view name) {
  const auto found =
      std::find_if(members.rbegin(), members.rend(),
                   [&](const JsonMember& m) { return m.name == name; });
  if (found == members.rend())
    return std::nullopt;
  return found->value;
}

}  // namespace jujuberock::platform_adapter
