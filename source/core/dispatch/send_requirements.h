#ifndef CORE_DISPATCH_SEND_REQUIREMENTS_H_
#define CORE_DISPATCH_SEND_REQUIREMENTS_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/catalog/homes.h"
#include "core/common/time.h"
#include "core/dispatch/prompt.h"
#include "core/dispatch/stored_part.h"

namespace jujuberock::dispatch {

// Properties of a request that the choice of an endpoint depends on.
struct SendRequirements {
  int urgency = 0;
  // Null for plain services.
  const Prompt* prompt = nullptr;
  std::string_view salt;
  // Weight versions that the request must, or should preferably, run on; 0 for
  // any.
  uint64_t required_version = 0;
  uint64_t preferred_version = 0;
  // Returns the latest time at which a run on a version may begin, if there is
  // one. May be empty.
  std::function<std::optional<common::TimePoint>(uint64_t version)>
      start_deadline;
  // Software version of the endpoints that may go on with the stream; any if
  // not set.
  std::optional<std::string> software;
  // Only endpoints whose process is certain to be the one that is registered,
  // because the software version matters.
  bool certain_only = false;
  // Endpoints that this request was already sent to.
  const std::set<std::string>* tried = nullptr;
  // Returns, for each part of the prompt, the stored copy that an engine of
  // this weight version can fetch instead of prefilling the part. May be empty.
  std::function<const std::vector<StoredPart>&(uint64_t version)> stored;
  FetchLimits fetch_limits;
  // The request was in flight on an endpoint that crashed, so it should run
  // where it affects the fewest other requests.
  bool isolate = false;
  // Regions that may see the request.
  catalog::Homes homes = {};
  // Only endpoints that are healthy and have not just refused a request.
  bool ready_only = false;
  // The request has already found a dead endpoint, so it is not the one to try
  // whether another endpoint has recovered.
  bool avoid_probation = false;
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SEND_REQUIREMENTS_H_
