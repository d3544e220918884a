#ifndef CORE_PLATFORM_JSON_SLICES_H_
#define CORE_PLATFORM_JSON_SLICES_H_

#include <optional>
#include <string_view>
#include <vector>

namespace jujuberock::platform {

// These functions split JSON text into the texts of its parts without parsing
// them. Hence a part that no parser accepts, or that is nested too deep for
// one, does not hide the others. They take one pass without recursion.

struct JsonMember {
  // Content of the quotes, in which escapes are not resolved.
  std::string_view name;
  std::string_view value;
};

// Return the members of an object and the elements of an array, in order;
// nullopt if the text is not a single object or array. The values are checked
// only for balanced brackets and closed strings. They refer to `json`.
std::optional<std::vector<JsonMember>> SplitObject(std::string_view json);
std::optional<std::vector<std::string_view>> SplitArray(std::string_view json);

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_JSON_SLICES_H_
