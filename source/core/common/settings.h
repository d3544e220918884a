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

// A mistake in a layer of settings. `line` is 0 where there is no file.
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

// Reads the layers above the defaults. The file is one flat JSON object that
// may contain // and /* */ comments; `--set name=value` overrides it.
class SettingsReader {
 public:
  // Problems of the text are kept, not thrown.
  void ReadFile(const std::string& path);
  void ReadText(std::string_view text, const std::string& source);
  void ReadOverride(const std::string& assignment);

  const std::map<std::string, SettingEntry>& entries() const {
    return this->read;
  }
  std::vector<SettingsProblem>& problems() { return this->found; }

 private:
  std::map<std::string, SettingEntry> read;
  std::vector<SettingsProblem> found;
};

// The declaration of one setting of the struct `Target`: its default is the
// value of the member in a default-constructed Target.
template <typename Target>
struct SettingDeclaration {
  using Member = std::variant<bool Target::*,
                              int64_t Target::*,
                              double Target::*,
                              std::string Target::*,
                              Duration Target::*>;
  // Tells why a text is not acceptable; nothing when it is.
  using TextCheck = std::optional<std::string> (*)(std::string_view);

  std::string_view name;
  Member member;
  // "" for texts and switches; durations are given in "ms".
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
// The value as the wanted type; texts of the command line are converted.
std::optional<bool> AsBool(const SettingValue& value);
std::optional<int64_t> AsInteger(const SettingValue& value);
std::optional<double> AsNumber(const SettingValue& value);

// Stores one entry in its member; returns a message on a mistake.
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
      return "must be a text";
    if (declaration.check) {
      if (auto problem = declaration.check(*text))
        return problem;
    }
    target.** member = *text;
    return std::nullopt;
  }
  const auto number = AsInteger(value);
  if (!number)
    return "must be a whole number";
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
// `target`. Returns all mistakes of all layers at once.
template <typename Target>
std::vector<SettingsProblem> ApplySettings(
    const std::vector<SettingDeclaration<Target>>& declarations,
    SettingsReader& reader,
    Target& target) {
  std::vector<SettingsProblem> problems = reader.problems();
  std::map<std::string, SettingEntry> left = reader.entries();
  for (const auto& declaration : declarations) {
    const std::string name(declaration.name);
    const auto found = left.find(name);
    if (found == left.end()) {
      if (declaration.required)
        problems.push_back({"settings", 0, name, "is required"});
      continue;
    }
    const SettingEntry& entry = found->second;
    if (auto message = detail::Store(declaration, entry.value, target))
      problems.push_back({entry.source, entry.line, name, *message});
    left.erase(found);
  }
  for (const auto& [name, entry] : left)
    problems.push_back({entry.source, entry.line, name, "unknown setting"});
  return problems;
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_SETTINGS_H_
