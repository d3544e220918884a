#ifndef CORE_TABLE_PARSE_H_
#define CORE_TABLE_PARSE_H_

#include <string_view>

#include "core/table/types.h"

namespace jujuberock::table {

// Largest body of one table object. 24 bands and 100 keys take about 10 KB.
constexpr size_t kMaxBodyBytes = 64 * 1024;

// Parse and validate the body of one object. Each throws common::Error
// kInvalidTable whose text names the object, the field and what is wrong with
// it. Unknown fields are errors.
Team ParseTeam(const Object& object);
Service ParseService(const Object& object);
Endpoint ParseEndpoint(const Object& object);
HostEntry ParseHost(const Object& object);
StoreEntry ParseStore(const Object& object);

// Validates an object before it is written; throws as the functions above,
// also for an unknown kind or a malformed name.
void Validate(const Object& object);

// Whether the name matches [a-z0-9][a-z0-9.-]{0,62}.
bool IsObjectName(std::string_view name);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_PARSE_H_
