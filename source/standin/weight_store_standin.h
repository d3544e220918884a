#ifndef STANDIN_WEIGHT_STORE_STANDIN_H_
#define STANDIN_WEIGHT_STORE_STANDIN_H_

#include <cstdint>

#include "core/common/time.h"
#include "standin/standin.h"

namespace jujuberock::standin {

struct WeightStoreOptions {
  // Length of one load while at most `loads_at_once` run.
  common::Duration load_time = std::chrono::milliseconds(500);
  uint64_t loads_at_once = 3;
};

// The weight store, section 5.5 of the design. Loads above the allowed number
// share the link, so that all of them slow down.
class WeightStoreStandin : public Standin {
 public:
  explicit WeightStoreStandin(WeightStoreOptions options) : options(options) {}

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  void Load();

  WeightStoreOptions options;
  uint64_t active = 0;
  uint64_t most_active = 0;
  uint64_t loads = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_WEIGHT_STORE_STANDIN_H_
