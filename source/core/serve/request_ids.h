#ifndef CORE_SERVE_REQUEST_IDS_H_
#define CORE_SERVE_REQUEST_IDS_H_

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

#include "core/routing/types.h"

namespace jujuberock::serve {

// Generates the ids of attempts: a number inside the host, a text towards
// endpoints. The text contains the host's name and differs on every start.
class RequestIds {
 public:
  explicit RequestIds(std::string prefix) : prefix(std::move(prefix)) {}

  routing::RequestId Next() { return this->last_id.fetch_add(1) + 1; }
  std::string TextOf(routing::RequestId id) const {
    return this->prefix + "-" + std::to_string(id);
  }

 private:
  std::string prefix;
  std::atomic<uint64_t> last_id{0};
};

}  // namespace jujuberock::serve

#endif  // CORE_SERVE_REQUEST_IDS_H_
