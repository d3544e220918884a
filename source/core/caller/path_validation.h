#ifndef CORE_CALLER_PATH_VALIDATION_H_
#define CORE_CALLER_PATH_VALIDATION_H_

#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::caller {

// Returns why the path of a request target is not normalized (RFC 3986, section
// 6.2.2), or std::nullopt if it is. The table marks non-idempotent calls by
// path prefix. A service may treat another spelling of a marked path as the
// same path, but the call would run as an unmarked one.
std::optional<std::string> FindPathError(std::string_view target);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_PATH_VALIDATION_H_
