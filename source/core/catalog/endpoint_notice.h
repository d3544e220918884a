#ifndef CORE_CATALOG_ENDPOINT_NOTICE_H_
#define CORE_CATALOG_ENDPOINT_NOTICE_H_

#include <cstdint>
#include <optional>

#include "core/common/time.h"

namespace jujuberock::catalog {

// What an endpoint says about itself in any of its responses.
struct EndpointNotice {
  // It is draining: it finishes what runs and takes nothing new.
  bool is_leaving = false;
  // It wants nothing more from this host for so long.
  std::optional<common::Duration> retry_after;
  // It crashes if it refuses more requests than that in a second.
  std::optional<int64_t> brittle_limit;
  // The response is of another endpoint than the intended one, so it says
  // nothing about that.
  bool is_of_other = false;

  bool IsEmpty() const {
    return !this->is_leaving && !this->retry_after && !this->brittle_limit;
  }
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_ENDPOINT_NOTICE_H_
