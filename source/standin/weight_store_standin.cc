#include "standin/weight_store_standin.h"

#include <algorithm>

#include "core/runtime/sleep.h"
#include "standin/http_json.h"

namespace jujuberock::standin {

namespace {

constexpr common::Duration kTimeSlice = std::chrono::milliseconds(10);

}  // namespace

void WeightStoreStandin::Handle(const runtime::HttpRequest& request,
                                runtime::ResponseWriter& writer) {
  const Target target = ParseTarget(request.target);
  if (target.segments.size() == 2 && target.segments[0] == "control") {
    return SendJson(writer, 200,
                    {{"loads", this->loads},
                     {"active", this->active},
                     {"most_active", this->most_active}});
  }
  if (target.segments.size() != 3 || target.segments[0] != "weights")
    return SendJson(writer, 404, nlohmann::json::object());
  this->SimulateLoad();
  SendJson(writer, 200,
           {{"model", target.segments[1]}, {"version", target.segments[2]}});
}

void WeightStoreStandin::SimulateLoad() {
  ++this->active;
  ++this->loads;
  this->most_active = std::max(this->most_active, this->active);
  common::Duration remaining = this->options.load_time;
  while (remaining > common::Duration::zero()) {
    runtime::SleepFor(kTimeSlice);
    const uint64_t concurrent_loads =
        std::max(this->active, this->options.loads_at_once);
    remaining -= kTimeSlice * this->options.loads_at_once / concurrent_loads;
  }
  --this->active;
}

}  // namespace jujuberock::standin
