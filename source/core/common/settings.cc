#include "core/common/settings.h"

#include <charconv>
#include <cmath>
#include <cstddef>
#include <fstream>
#include <iterator>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace jujuberock::common {

namespace {

// Counts the lines that the JSON parser has consumed, since the parser reports
// positions only for syntax errors.
class LineIterator {
 public:
  using iterator_category = std::input_iterator_tag;
  using value_type = char;
  using difference_type = std::ptrdiff_t;
  using pointer = const char*;
  using reference = const char&;

  LineIterator(const char* position, size_t* lines)
      : position(position), lines(lines) {}

  reference operator*() const { return *this->position; }
  LineIterator& operator++() {
    if (*this->position == '\n')
      ++*this->lines;
    ++this->position;
    return *this;
  }
  LineIterator operator++(int) {
    LineIterator previous = *this;
    ++*this;
    return previous;
  }
  bool operator==(const LineIterator& other) const {
    return this->position == other.position;
  }
  bool operator!=(const LineIterator& other) const { return !(*this == other); }

 private:
  const char* position;
  size_t* lines;
};

// Reads one flat object. The names of the methods are those of json_sax.
// NOLINTBEGIN(readability-identifier-naming)
class FlatObjectHandler : public nlohmann::json_sax<nlohmann::json> {
 public:
  FlatObjectHandler(std::string source,
                    const size_t* lines,
                    std::map<std::string, SettingEntry>& entries,
                    std::vector<SettingsProblem>& problems)
      : source(std::move(source)),
        lines(lines),
        entries(entries),
        problems(problems) {}

  bool null() override { return this->Reject("must not be null"); }
  bool boolean(bool value) override { return this->Accept(value); }
  bool number_integer(int64_t value) override { return this->Accept(value); }
  bool number_unsigned(uint64_t value) override {
    if (value > static_cast<uint64_t>(std::numeric_limits<int64_t>::max()))
      return this->Reject("is too large");
    return this->Accept(static_cast<int64_t>(value));
  }
  bool number_float(double value, const std::string&) override {
    return this->Accept(value);
  }
  bool string(std::string& value) override { return this->Accept(value); }
  bool binary(nlohmann::json::binary_t&) override { return false; }
  bool start_object(size_t) override {
    if (this->depth == 1)
      this->Reject("must be a single value, not an object or array");
    ++this->depth;
    return true;
  }
  bool end_object() override {
    --this->depth;
    return true;
  }
  bool start_array(size_t) override {
    this->Reject("must be a single value, not an object or array");
    ++this->depth;
    return true;
  }
  bool end_array() override {
    --this->depth;
    return true;
  }
  bool key(std::string& name) override {
    if (this->depth == 1) {
      this->name = name;
      this->line = *this->lines;
    }
    return true;
  }
  bool parse_error(size_t,
                   const std::string&,
                   const nlohmann::detail::exception& error) override {
    this->problems.push_back({this->source, *this->lines, "", error.what()});
    return false;
  }

 private:
  bool Accept(SettingValue value) {
    if (this->depth > 1)
      return true;
    if (this->depth == 0)
      return this->Reject("the settings must be a single JSON object");
    const auto added = this->entries.try_emplace(
        this->name, SettingEntry{std::move(value), this->source, this->line});
    if (!added.second)
      this->Reject("is set twice");
    return true;
  }

  bool Reject(const std::string& message) {
    if (this->depth <= 1)
      this->problems.push_back({this->source, this->line, this->name, message});
    return true;
  }

  std::string source;
  const size_t* lines;
  std::map<std::string, SettingEntry>& entries;
  std::vector<SettingsProblem>& problems;
  std::string name;
  size_t line = 1;
  int depth = 0;
};
// NOLINTEND(readability-identifier-naming)

std::string FormatNumber(double value) {
  std::ostringstream text;
  text.precision(15);
  text << value;
  return text.str();
}

}  // namespace

std::string SettingsProblem::ToString() const {
  std::string text = this->source;
  if (this->line > 0)
    text += ':' + std::to_string(this->line);
  if (!this->setting.empty())
    text += ": " + this->setting;
  return text + ": " + this->message;
}

void SettingsReader::ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    this->found_problems.push_back({path, 0, "", "cannot be read"});
    return;
  }
  std::ostringstream text;
  text << file.rdbuf();
  this->ReadText(text.str(), path);
}

void SettingsReader::ReadText(std::string_view text,
                              const std::string& source) {
  size_t lines = 1;
  FlatObjectHandler handler(source, &lines, this->read_entries,
                            this->found_problems);
  nlohmann::json::sax_parse(LineIterator(text.data(), &lines),
                            LineIterator(text.data() + text.size(), &lines),
                            &handler, nlohmann::json::input_format_t::json,
                            /*strict=*/true, /*ignore_comments=*/true);
}

void SettingsReader::ReadOverride(const std::string& assignment) {
  const size_t separator = assignment.find('=');
  if (separator == std::string::npos || separator == 0) {
    this->found_problems.push_back(
        {"--set", 0, assignment, "must have the form name=value"});
    return;
  }
  this->read_entries[assignment.substr(0, separator)] =
      SettingEntry{assignment.substr(separator + 1), "--set", 0};
}

namespace detail {

std::optional<std::string> CheckRange(double value,
                                      double minimum,
                                      double maximum,
                                      std::string_view unit) {
  if (value >= minimum && value <= maximum)
    return std::nullopt;
  std::string text = "must be between " + FormatNumber(minimum) + " and " +
                     FormatNumber(maximum);
  if (!unit.empty())
    text += " " + std::string(unit);
  return text + ", not " + FormatNumber(value);
}

std::optional<bool> AsBool(const SettingValue& value) {
  if (auto* flag = std::get_if<bool>(&value))
    return *flag;
  if (auto* text = std::get_if<std::string>(&value)) {
    if (*text == "true")
      return true;
    if (*text == "false")
      return false;
  }
  return std::nullopt;
}

std::optional<int64_t> AsInteger(const SettingValue& value) {
  if (auto* number = std::get_if<int64_t>(&value))
    return *number;
  if (auto* text = std::get_if<std::string>(&value)) {
    int64_t number = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end)
      return number;
  }
  return std::nullopt;
}

std::optional<double> AsNumber(const SettingValue& value) {
  if (auto* number = std::get_if<double>(&value))
    return *number;
  if (auto* number = std::get_if<int64_t>(&value))
    return static_cast<double>(*number);
  if (auto* text = std::get_if<std::string>(&value)) {
    double number = 0;
    const char* end = text->data() + text->size();
    const auto parsed = std::from_chars(text->data(), end, number);
    if (parsed.ec == std::errc() && parsed.ptr == end && std::isfinite(number))
      return number;
  }
  return std::nullopt;
}

}  // namespace detail

}  // namespace jujuberock::common
