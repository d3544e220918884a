#ifndef CORE_COMMON_SETTINGS_H_
#define CORE_COMMON_SETTINGS_H_

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "core/common/time.h"

namespace jujuberock::common {

// A problem in a layer of settings. `line` is 0 if the source is not a file.
struct SettingsProblem {
  std::string source;
  size_t line = 0;
  std::string setting;
  std::string message;

  // "file:line: setting: message".
  std::string ToString() const;
};

// A value as it was read, before it is checked against its declaration.
using SettingValue = std::variant<bool, int64_t, double, std::string>;

struct SettingEntry {
  SettingValue value;
  std::string source;
  size_t line = 0;
};

// Reads the layers above the defaults: a file with one flat JSON object, which
// may contain // and /* */ comments, and `--set name=value` options, which
// override the file.
class SettingsReader {
 public:
  // Problems in the text are collected in problems(), not thrown.
  void ReadFile(const std::string& path);
  void ReadText(std::string_view text, const std::string& source);
  void ReadOverride(const std::string& assignment);

  const std::map<std::string, SettingEntry>& entries() const {
    return this->read_entries;
  }
  std::vector<SettingsProblem>& problems() { return this->found_problems; }

 private:
  std::map<std::string, SettingEntry> read_entries;
  std::vector<SettingsProblem> found_problems;
};

// Declares one setting, stored in a member of the struct `Target`. Its default
// is the value of that member in a default-constructed Target.
template <typename Target>
struct SettingDeclaration {
  using Member = std::variant<bool Target::*,
                              int64_t Target::*,
                              double Target::*,
                              std::string Target::*,
                              Duration Target::*>;
  // Returns why a string is not valid, or nothing if it is.
  using TextCheck = std::optional<std::string> (*)(std::string_view);

  std::string_view name;
  Member member;
  // "" for strings and booleans; "ms" for durations.
  std::string_view unit;
  double minimum = 0;
  double maximum = 0;
  std::string_view help;
  bool required = false;
  TextCheck check = nullptr;
};

namespace detail {

std::optional<std::string> CheckRange(double value,
                                      double minimum,
                                      double maximum,
                                      std::string_view unit);
// Return the value as the requested type, or nothing if it has another type.
// Strings from the command line are converted.
std::optional<bool> AsBool(const SettingValue& value);
std::optional<int64_t> AsInteger(const SettingValue& value);
std::optional<double> AsNumber(const SettingValue& value);

// Stores one value in its member. Returns a message if the value is not valid.
template <typename Target>
std::optional<std::string> Store(const SettingDeclaration<Target>& declaration,
                                 const SettingValue& value,
                                 Target& target) {
  const auto in_range = [&](double number) {
    return CheckRange(number, declaration.minimum, declaration.maximum,
                      declaration.unit);
  };
  if (auto* member = std::get_if<bool Target::*>(&declaration.member)) {
    const auto flag = AsBool(value);
    if (!flag)
      return "must be true or false";
    target.** member = *flag;
    return std::nullopt;
  }
  if (auto* member = std::get_if<double Target::*>(&declaration.member)) {
    const auto number = AsNumber(value);
    if (!number)
      return "must be a number";
    if (auto problem = in_range(*number))
      return problem;
    target.** member = *number;
    return std::nullopt;
  }
  if (auto* member = std::get_if<std::string Target::*>(&declaration.member)) {
    const auto* text = std::get_if<std::string>(&value);
    if (!text)
      return "must be a string";
    if (declaration.check) {
      if (auto problem = declaration.check(*text))
        return problem;
    }
    target.** member = *text;
    return std::nullopt;
  }
  const auto number = AsInteger(value);
  if (!number)
    return "must be an integer";
  if (auto problem = in_range(static_cast<double>(*number)))
    return problem;
  if (auto* member = std::get_if<int64_t Target::*>(&declaration.member))
    target.** member = *number;
  if (auto* member = std::get_if<Duration Target::*>(&declaration.member))
    target.** member = std::chrono::milliseconds(*number);
  return std::nullopt;
}

}  // namespace detail

// Checks every entry of the reader against the declarations and stores it in
// `target`. Returns all problems of all layers at once.
template <typename Target>
std::vector<SettingsProblem> ApplySettings(
    const std::vector<SettingDeclaration<Target>>& declarations,
    SettingsReader& reader,
    Target& target) {
  std::vector<SettingsProblem> problems = reader.problems();
  std::map<std::string, SettingEntry> unmatched = reader.entries();
  for (const auto& declaration : declarations) {
    const std::string name(declaration.name);
    const auto found = unmatched.find(name);
    if (found == unmatched.end()) {
      if (declaration.required)
        problems.push_back({"settings", 0, name, "is required"});
      continue;
    }
    const SettingEntry& entry = found->second;
    if (auto message = detail::Store(declaration, entry.value, target))
      problems.push_back({entry.source, entry.line, name, *message});
    unmatched.erase(found);
  }
  for (const auto& [name, entry] : unmatched)
    problems.push_back({entry.source, entry.line, name, "unknown setting"});
  return problems;
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_SETTINGS_H_
