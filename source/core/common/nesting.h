#ifndef CORE_COMMON_NESTING_H_
#define CORE_COMMON_NESTING_H_

#include <cstddef>
#include <string_view>

namespace jujuberock::common {

// Deepest nesting of arrays and objects that is accepted in text from other
// processes. Copying, comparing and printing a parsed JSON value recurse once
// for each level, on the stack of a fiber. The project's own formats need
// fewer than ten levels.
inline constexpr size_t kNestingLimit = 64;

// Whether arrays and objects in `json` are nested more than `limit` deep.
// Call this before parsing text that another process wrote. It takes one pass
// without recursion. Brackets inside strings do not count. The text need not
// be valid: the result holds for the part before its first syntax error,
// beyond which no parser goes. Comments are not recognized.
bool ExceedsNesting(std::string_view json, size_t limit = kNestingLimit);

}  // namespace jujuberock::common

#endif  // CORE_COMMON_NESTING_H_
