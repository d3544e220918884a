#ifndef CORE_DISPATCH_ENDPOINT_CHOICE_H_
#define CORE_DISPATCH_ENDPOINT_CHOICE_H_

#include <cstdint>
#include <memory>

#include "core/common/time.h"
#include "core/dispatch/endpoint_record.h"

namespace jujuberock::dispatch {

// An endpoint that may take a request, and what a run there is expected to
// need.
struct EndpointChoice {
  std::shared_ptr<EndpointRecord> endpoint;
  // Expected time to the first byte.
  common::Duration predicted{0};
  // The same on an engine on which work takes its usual time.
  common::Duration usual_time{0};
  // Whether the endpoint has a free slot and enough memory, and no request is
  // waiting there.
  bool idle = false;
  // What the prediction takes for the engine's backlog: tokens to be prefilled
  // before this request, and KV memory that its run and others need.
  int64_t ahead_tokens = 0;
  int64_t memory_tokens = 0;
  // Tokens that the engine must prefill.
  int64_t uncached_tokens = 0;
  // The same plus the tokens that it prefills before, or those that it could
  // prefill during the fetches.
  int64_t predicted_tokens = 0;
  // Tokens that the engine is assumed to have cached.
  int64_t cached_tokens = 0;
  // Time to fetch the tokens that are neither cached nor prefilled, and the
  // part of it during which the transfers occupy the links.
  double fetch_ms = 0;
  double link_ms = 0;
  // Whether the run is expected to stream many events, so that pauses between
  // tokens are likely to affect it.
  bool is_long = false;
  // Expected time until the run ends.
  common::Duration run_time{0};
};

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_ENDPOINT_CHOICE_H_
