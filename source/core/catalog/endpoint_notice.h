#ifndef CORE_CATALOG_ENDPOINT_NOTICE_H_
#define CORE_CATALOG_ENDPOINT_NOTICE_H_

#include <optional>

#include "core/common/time.h"

namespace jujuberock::catalog {

// What an endpoint says about itself in any of its responses.
struct EndpointNotice {
  // It is draining: it finishes what runs and takes nothing new.
  bool is_leaving = false;
  // It wants nothing more from this host for so long.
  std::optional<common::Duration> retry_after;

  bool IsEmpty() const { return !this->is_leaving && !this->retry_after; }
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_ENDPOINT_NOTICE_H_
