#ifndef CORE_TABLE_PARSE_H_
#define CORE_TABLE_PARSE_H_

#include <string_view>

#include "core/table/types.h"

namespace jujuberock::table {

// Maximum size of the body of a table object. A team with 24 bands and 100 keys
// takes about 10 KB.
constexpr size_t kMaxBodyBytes = 64 * 1024;

// Parse and validate the body of an object. Each throws common::Error
// kInvalidTable with a message that names the object, the field and the
// problem. Unknown fields are errors.
Team ParseTeam(const Object& object);
Service ParseService(const Object& object);
Endpoint ParseEndpoint(const Object& object);
HostEntry ParseHost(const Object& object);
StoreEntry ParseStore(const Object& object);

// Validates an object before it is written. Throws like the functions above,
// also for an unknown kind or an invalid name.
void Validate(const Object& object);

// Whether the name matches [a-z0-9][a-z0-9.-]{0,62}.
bool IsObjectName(std::string_view name);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PARSE_H_
