#ifndef CORE_COMMON_JSON_DECODE_H_
#define CORE_COMMON_JSON_DECODE_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "core/common/error.h"
#include "core/common/nesting.h"

namespace jujuberock::common {

// Parses JSON that another process wrote and returns what `decode` makes of the
// value. Throws Error kProtocolError, with a message that begins with `source`,
// if the text is not JSON or is nested too deep, or if `decode` throws a
// nlohmann::json::exception. Include it in .cc files only.
template <typename Decode>
auto DecodeJson(std::string_view source, std::string_view text, Decode decode) {
  const auto message = [&](const char* what) {
    return std::string(source) + ": " + what;
  };
  if (ExceedsNesting(text))
    throw Error(ResultCode::kProtocolError, message("nested too deep"));
  try {
    return decode(nlohmann::json::parse(text));
  } catch (const nlohmann::json::exception& error) {
    throw Error(ResultCode::kProtocolError, message(error.what()));
  }
}

}  // namespace jujuberock::common

#endif  // CORE_COMMON_JSON_DECODE_H_
