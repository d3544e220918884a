#include "core/common/json_number.h"

#include <nlohmann/json.hpp>

#include "core/common/error.h"

namespace jujuberock::common {

uint64_t GetUnsigned(const nlohmann::json& value, uint64_t max) {
  if (!value.is_number_unsigned())
    throw Error(ResultCode::kProtocolError, "expected a non-negative integer");
  const auto number = value.get<uint64_t>();
  if (number > max)
    throw Error(ResultCode::kProtocolError, "the number is too large");
  return number;
}

uint64_t GetUnsignedOrZero(const nlohmann::json& object,
                           const char* name,
                           uint64_t max) {
  const auto found = object.find(name);
  return found == object.end() ? 0 : GetUnsigned(*found, max);
}

}  // namespace jujuberock::common
