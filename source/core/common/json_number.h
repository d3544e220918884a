#ifndef CORE_COMMON_JSON_NUMBER_H_
#define CORE_COMMON_JSON_NUMBER_H_

#include <cstdint>
#include <limits>

#include <nlohmann/json_fwd.hpp>

namespace jujuberock::common {

inline constexpr uint64_t kMaxInt64 = std::numeric_limits<int64_t>::max();

// Returns a number of parsed JSON. Throws common::Error kProtocolError unless
// it is an integer from 0 to `max`: the JSON library converts numbers of other
// types and ranges silently, some of them with undefined results.
uint64_t GetUnsigned(const nlohmann::json& value,
                     uint64_t max = std::numeric_limits<uint64_t>::max());

// The same for a member of an object; 0 if the object has none of this name.
uint64_t GetUnsignedOrZero(const nlohmann::json& object,
                           const char* name,
                           uint64_t max = std::numeric_limits<uint64_t>::max());

}  // namespace jujuberock::common

#endif  // CORE_COMMON_JSON_NUMBER_H_
