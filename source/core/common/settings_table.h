#ifndef CORE_COMMON_SETTINGS_TABLE_H_
#define CORE_COMMON_SETTINGS_TABLE_H_

#include <iomanip>
#include <sstream>
#include <string>
#include <type_traits>
#include <vector>

#include "core/common/settings.h"

namespace jujuberock::common {

namespace detail {

template <typename Target>
void PrintDefault(std::ostream& out,
                  const SettingDeclaration<Target>& declaration,
                  const Target& defaults) {
  std::visit(
      [&](auto member) {
        const auto& value = defaults.*member;
        using Value = std::decay_t<decltype(value)>;
        if constexpr (std::is_same_v<Value, Duration>)
          out << ToMilliseconds(value);
        else if constexpr (std::is_same_v<Value, bool>)
          out << (value ? "true" : "false");
        else if constexpr (std::is_same_v<Value, std::string>)
          out << (value.empty() ? "" : '`' + value + '`');
        else
          out << value;
      },
      declaration.member);
}

}  // namespace detail

// Renders the declarations as a Markdown table with name, default, unit, range
// and meaning.
template <typename Target>
std::string RenderSettingsTable(
    const std::vector<SettingDeclaration<Target>>& declarations) {
  const Target defaults;
  std::ostringstream out;
  // Enough digits to print every number of the table without an exponent.
  out << std::setprecision(12);
  out << "| setting | default | unit | range | meaning |\n"
         "| --- | --- | --- | --- | --- |\n";
  for (const SettingDeclaration<Target>& declaration : declarations) {
    out << "| `" << declaration.name << "` | ";
    if (declaration.required)
      out << "required";
    else
      detail::PrintDefault(out, declaration, defaults);
    out << " | " << declaration.unit << " | ";
    if (declaration.maximum > declaration.minimum)
      out << declaration.minimum << " to " << declaration.maximum;
    out << " | " << declaration.help << " |\n";
  }
  return out.str();
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_SETTINGS_TABLE_H_
