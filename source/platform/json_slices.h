#ifndef PLATFORM_JSON_SLICES_H_
#define PLATFORM_JSON_SLICES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace jujuberock::platform_adapter {

// Cuts JSON text into its members or elements without parsing them, so that
// malformed bytes in one of them leave the others readable. Only strings,
// escapes and brackets are recognized, in one pass without recursion. The
// slices point into the text.

struct JsonMember {
  // Without the quotes; escapes are kept. Empty if the member has no name.
  std::string_view name;
  // Without whitespace around it. May be anything but a part of other members.
  std::string_view value;
};

using JsonMembers = std::vector<JsonMember>;

// Returns the members of an object in their order. Returns std::nullopt if the
// text is not an object or ends before its end.
std::optional<JsonMembers> SliceObject(std::string_view text);

// Returns the elements of an array; std::nullopt as SliceObject().
std::optional<std::vector<std::string_view>> SliceArray(std::string_view text);

// Returns the value of the last member with this name, as JSON parsers do.
std::optional<std::string_view> FindMember(const JsonMembers& members,
                                           std::string_view name);

}  // namespace jujuberock::platform_adapter

#endif  // PLATFORM_JSON_SLICES_H_
