#include "core/common/json_slices.h"

#include <algorithm>
#include <cstddef>

namespace jujuberock::common {

namespace {

constexpr std::string_view kWhitespace = " \t\r\n";
constexpr std::string_view kScalarEnd = " \t\r\n,:[]{}\"";

// Reads the text from left to right. A method that finds something else than it
// reads returns false or nullopt, after which no more may be read.
class Cursor {
 public:
  explicit Cursor(std::string_view text) : text(text) {}

  bool TakeSymbol(char symbol) {
    this->SkipWhitespace();
    if (this->at == this->text.size() || this->text[this->at] != symbol)
      return false;
    ++this->at;
    return true;
  }

  // Reads a string and returns the content of its quotes.
  std::optional<std::string_view> TakeString() {
    if (!this->TakeSymbol('"'))
      return std::nullopt;
    const size_t begin = this->at;
    if (!this->SkipToEndOfString())
      return std::nullopt;
    return this->text.substr(begin, this->at - 1 - begin);
  }

  std::optional<std::string_view> TakeValue() {
    this->SkipWhitespace();
    const size_t begin = this->at;
    if (!this->SkipValue())
      return std::nullopt;
    return this->text.substr(begin, this->at - begin);
  }

  // Reads the name of a member and the colon behind it. Reads nothing and
  // returns an empty name if there is no such beginning of a member.
  std::string_view TakeNameIfAny() {
    const size_t begin = this->at;
    const auto name = this->TakeString();
    if (name && this->TakeSymbol(':'))
      return *name;
    this->at = begin;
    return {};
  }

  // Reads the text up to the next comma or closing bracket that is not inside a
  // string or a nested value.
  std::optional<std::string_view> TakeMalformedValue() {
    this->SkipWhitespace();
    const size_t begin = this->at;
    while (this->at < this->text.size()) {
      const char c = this->text[this->at];
      if (c == ',' || c == ']' || c == '}')
        return TrimEnd(this->text.substr(begin, this->at - begin));
      const bool is_skippable = c == '[' || c == '{' || c == '"';
      if (!is_skippable)
        ++this->at;
      else if (!this->SkipValue())
        return std::nullopt;
    }
    return std::nullopt;
  }

  bool IsAtEnd() {
    this->SkipWhitespace();
    return this->at == this->text.size();
  }

 private:
  static std::string_view TrimEnd(std::string_view text) {
    return text.substr(0, text.find_last_not_of(kWhitespace) + 1);
  }

  void SkipWhitespace() { this->SkipTo(kWhitespace, false); }

  // Skips to the first character that is in `set`, or not in it.
  void SkipTo(std::string_view set, bool in_set) {
    const size_t end = in_set ? this->text.find_first_of(set, this->at)
                              : this->text.find_first_not_of(set, this->at);
    this->at = end == std::string_view::npos ? this->text.size() : end;
  }

  // Skips the rest of a string and the quote that ends it.
  bool SkipToEndOfString() {
    while (this->at < this->text.size()) {
      const char c = this->text[this->at++];
      if (c == '"')
        return true;
      if (c == '\\')
        ++this->at;
    }
    return false;
  }

  bool SkipValue() {
    if (this->at == this->text.size())
      return false;
    const char first = this->text[this->at];
    if (first == '[' || first == '{')
      return this->SkipContainer();
    if (first == '"') {
      ++this->at;
      return this->SkipToEndOfString();
    }
    const size_t begin = this->at;
    this->SkipTo(kScalarEnd, true);
    return this->at > begin;
  }

  bool SkipContainer() {
    size_t depth = 0;
    while (this->at < this->text.size()) {
      const char c = this->text[this->at++];
      if (c == '"' && !this->SkipToEndOfString())
        return false;
      if (c == '[' || c == '{')
        ++depth;
      if ((c == ']' || c == '}') && --depth == 0)
        return true;
    }
    return false;
  }

  std::string_view text;
  size_t at = 0;
};

// Reads the parts between `open` and `close`, separated by commas. `take_part`
// returns whether it has read one.
template <typename TakePart>
bool TakeParts(Cursor& cursor, char open, char close, TakePart take_part) {
  if (!cursor.TakeSymbol(open))
    return false;
  if (cursor.TakeSymbol(close))
    return cursor.IsAtEnd();
  do {
    if (!take_part())
      return false;
  } while (cursor.TakeSymbol(','));
  return cursor.TakeSymbol(close) && cursor.IsAtEnd();
}

}  // namespace

std::optional<JsonMembers> SplitObject(std::string_view json) {
  Cursor cursor(json);
  JsonMembers members;
  const auto take_member = [&] {
    const auto name = cursor.TakeString();
    if (!name || !cursor.TakeSymbol(':'))
      return false;
    const auto value = cursor.TakeValue();
    if (value)
      members.push_back({*name, *value});
    return value.has_value();
  };
  if (!TakeParts(cursor, '{', '}', take_member))
    return std::nullopt;
  return members;
}

std::optional<std::vector<std::string_view>> SplitArray(std::string_view json) {
  Cursor cursor(json);
  std::vector<std::string_view> elements;
  const auto take_element = [&] {
    const auto value = cursor.TakeValue();
    if (value)
      elements.push_back(*value);
    return value.has_value();
  };
  if (!TakeParts(cursor, '[', ']', take_element))
    return std::nullopt;
  return elements;
}

std::optional<JsonMembers> SplitMalformedObject(std::string_view json) {
  Cursor cursor(json);
  JsonMembers members;
  const auto take_member = [&] {
    const auto name = cursor.TakeNameIfAny();
    const auto value = cursor.TakeMalformedValue();
    if (value)
      members.push_back({name, *value});
    return value.has_value();
  };
  if (!TakeParts(cursor, '{', '}', take_member))
    return std::nullopt;
  return members;
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

}  // namespace jujuberock::common
