#ifndef CORE_CALLER_PATH_VALIDATION_H_
#define CORE_CALLER_PATH_VALIDATION_H_

#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::caller {

// Returns why the path of a request target is not normalized (RFC 3986, section
// 6.2.2), or std::nullopt if it is. Non-idempotent calls are recognized by the
// path prefixes in the table; an equivalent spelling of such a path would
// bypass this check, although the service treats it as the same path.
std::optional<std::string> FindPathError(std::string_view target);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_PATH_VALIDATION_H_
