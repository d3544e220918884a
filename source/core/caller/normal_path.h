#ifndef CORE_CALLER_NORMAL_PATH_H_
#define CORE_CALLER_NORMAL_PATH_H_

#include <optional>
#include <string>
#include <string_view>

namespace jujuberock::caller {

// Why a request target's path is not in normal form (RFC 3986, section 6.2.2);
// nothing when it is. The table marks non-idempotent calls by path prefix, so
// another spelling of a marked path that a service treats as the same would
// get past the mark.
std::optional<std::string> PathProblem(std::string_view target);

}  // namespace jujuberock::caller

#endif  // CORE_CALLER_NORMAL_PATH_H_
