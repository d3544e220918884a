#ifndef CORE_TABLE_RENDEZVOUS_H_
#define CORE_TABLE_RENDEZVOUS_H_

#include <string>
#include <string_view>
#include <vector>

namespace jujuberock::table {

// Returns the `count` names with the highest rendezvous hash for `key`, highest
// first. Adding or removing a name changes at most one member of the result.
std::vector<std::string> TopByRendezvous(std::string_view key,
                                         const std::vector<std::string>& names,
                                         size_t count);

}  // namespace jujuberock::table

#endif  // CORE_TABLE_RENDEZVOUS_H_
