#ifndef CORE_COMMON_HASH_H_
#define CORE_COMMON_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace jujuberock::common {

// XXH3 of the bytes; the same on every host. Not for keys that an adversary
// may choose to collide with another team's: those carry the team separately.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// 32 lower-case hexadecimal digits of the 128-bit XXH3 of the bytes.
std::string Hash128Hex(std::string_view bytes);

}  // namespace jujuberock::common

#endif  // CORE_COMMON_HASH_H_
