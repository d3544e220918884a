#ifndef CORE_DISPATCH_SILENCE_LIMIT_H_
#define CORE_DISPATCH_SILENCE_LIMIT_H_

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Targets of a route that requests with prompts use.
struct StreamTargets {
  // Time to the first event.
  common::Duration latency{0};
  // Longest gap between two events.
  common::Duration event_gap{0};

  // The stricter of each target.
  static StreamTargets Stricter(const StreamTargets& a, const StreamTargets& b);
};

// Time without events after which an engine counts as silent, given the
// strictest targets of the streams that it runs for this host. Streams of
// routes that allow long gaps are not cut for gaps that their callers accept.
common::Duration StreamSilenceLimit(const StreamTargets& targets);
// The same for an engine that has sent no event yet.
common::Duration FirstEventSilenceLimit(const StreamTargets& targets);
// Time without events after which a stream counts as stalled, although the
// engine may send bytes that are no events. Callers give up after this time.
common::Duration StreamStallLimit(const StreamTargets& targets);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SILENCE_LIMIT_H_
