#ifndef CORE_TABLE_RENDEZVOUS_H_
#define CORE_TABLE_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::table {

// The `count` names with the highest weight for `key` (rendezvous hashing),
// highest first. When a name joins or leaves, at most one place changes.
std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& names,
                                         size_t count);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_RENDEZVOUS_H_
