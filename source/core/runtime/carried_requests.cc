#include "core/runtime/carried_requests.h"

#include <algorithm>

#include "core/common/hash.h"

namespace jujuberock::runtime {

void CarriedRequests::Add(std::string_view id) {
  this->hashes.push_back(common::Hash64(id));
}

bool CarriedRequests::Contains(std::string_view id) const {
  return std::find(this->hashes.begin(), this->hashes.end(),
                   common::Hash64(id)) != this->hashes.end();
}

}  // namespace jujuberock::runtime
