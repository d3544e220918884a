#ifndef CORE_PLATFORM_ERA_TOKEN_H_
#define CORE_PLATFORM_ERA_TOKEN_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "core/platform/object.h"

namespace jujuberock::platform {

// The store keeps the token of an object's writer. These functions add the era
// of the store to it, which the store itself does not keep with the object.

// Returns the token with the era; unchanged for era 0.
std::string AddEra(uint64_t era, std::string_view token);

// Takes the era out of the object's token and completes its version with it.
// Objects without an era are of era 0. Any writer can choose a token, so an era
// after `newest_era`, the one of the store, counts as that era.
void TakeEra(Object& object, uint64_t newest_era);

}  // namespace jujuberock::platform

#endif  // CORE_PLATFORM_ERA_TOKEN_H_
