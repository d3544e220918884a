#ifndef CORE_COMMON_JSON_SLICES_H_
#define CORE_COMMON_JSON_SLICES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace jujuberock::common {

// These functions split JSON text into the texts of its parts without parsing
// them. Hence a part that no parser accepts, or that is nested too deep for
// one, does not hide the others. They take one pass without recursion.

struct JsonMember {
  // Content of the quotes, in which escapes are not resolved.
  std::string_view name;
  std::string_view value;
};

using JsonMembers = std::vector<JsonMember>;

// Return the members of an object and the elements of an array, in order;
// nullopt if the text is not a single object or array. The values are checked
// only for balanced brackets and closed strings. They refer to `json`.
std::optional<JsonMembers> SplitObject(std::string_view json);
std::optional<std::vector<std::string_view>> SplitArray(std::string_view json);

// The same as SplitObject(), but a value may be any text in which brackets are
// balanced and strings are closed. A member that does not begin with a name and
// a colon has an empty name, and all of its text is the value.
std::optional<JsonMembers> SplitMalformedObject(std::string_view json);

// Returns the value of the last member with this name, as JSON parsers do;
// nullopt if there is none.
std::optional<std::string_view> FindMember(const JsonMembers& members,
                                           std::string_view name);

}  // namespace jujuberock::common

#endif  // CORE_COMMON_JSON_SLICES_H_
