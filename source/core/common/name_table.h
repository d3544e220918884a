#ifndef CORE_COMMON_NAME_TABLE_H_
#define CORE_COMMON_NAME_TABLE_H_

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jujuberock::common {

// Maps the enumerators of an enum class, numbered from zero without gaps, to
// names and back.
template <typename Enum, size_t kSize>
class NameTable {
 public:
  constexpr explicit NameTable(std::array<std::string_view, kSize> names)
      : names(names) {}

  constexpr std::string_view NameOf(Enum value) const {
    const auto index = static_cast<size_t>(value);
    return index < kSize ? this->names[index] : "invalid";
  }

  constexpr std::optional<Enum> ValueOf(std::string_view name) const {
    for (size_t i = 0; i < kSize; ++i) {
      if (this->names[i] == name)
        return static_cast<Enum>(i);
    }
    return std::nullopt;
  }

 private:
  std::array<std::string_view, kSize> names;
};

}  // namespace jujuberock::common

#endif  // CORE_COMMON_NAME_TABLE_H_
