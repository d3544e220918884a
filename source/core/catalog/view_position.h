#ifndef CORE_CATALOG_VIEW_POSITION_H_
#define CORE_CATALOG_VIEW_POSITION_H_

#include <cstdint>

namespace jujuberock::catalog {

// The state of the platform's store that a view of one object kind contains:
// all changes up to `revision`, which was given out in this era of the store.
struct ViewPosition {
  uint64_t store_era = 0;
  uint64_t revision = 0;
};

}  // namespace jujuberock::catalog

#endif  // CORE_CATALOG_VIEW_POSITION_H_
