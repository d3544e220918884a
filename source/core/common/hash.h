#ifndef CORE_COMMON_HASH_H_
#define CORE_COMMON_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::common {

// 64-bit XXH3 of the bytes, identical on every host. Not collision-resistant
// against an adversary, so keys must contain the team separately if one team
// could choose them to collide with another team's.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// 128-bit XXH3 of the bytes as 32 lowercase hexadecimal digits.
std::string Hash128Hex(std::string_view bytes);

}  // namespace jujuberock::common

#endif  // CORE_COMMON_HASH_H_
