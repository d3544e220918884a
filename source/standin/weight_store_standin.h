#ifndef STANDIN_WEIGHT_STORE_STANDIN_H_
#define STANDIN_WEIGHT_STORE_STANDIN_H_

#include <cstdint>

#include "core/common/time.h"
#include "standin/standin.h"

namespace jujuberock::standin {

struct WeightStoreOptions {
  // Duration of one load while at most `loads_at_once` are in progress.
  common::Duration load_time = std::chrono::milliseconds(500);
  uint64_t loads_at_once = 3;
};

// Simulates the weight store, section 5.5 of the design. If more than
// `loads_at_once` loads are in progress, they share the bandwidth and all of
// them slow down.
class WeightStoreStandin : public Standin {
 public:
  explicit WeightStoreStandin(WeightStoreOptions options) : options(options) {}

  void Handle(const runtime::HttpRequest& request,
              runtime::ResponseWriter& writer) override;

 private:
  void SimulateLoad();

  WeightStoreOptions options;
  uint64_t active = 0;
  uint64_t most_active = 0;
  uint64_t loads = 0;
};

}  // namespace jujuberock::standin

#endif  // STANDIN_WEIGHT_STORE_STANDIN_H_
