#ifndef CORE_DISPATCH_SILENCE_LIMIT_H_
#define CORE_DISPATCH_SILENCE_LIMIT_H_

#include <vector>

#include "core/common/time.h"

namespace jujuberock::dispatch {

// Targets of a route.
struct StreamTargets {
  // Time to the first event, or to a whole answer.
  common::Duration latency{0};
  // Longest gap between two events.
  common::Duration event_gap{0};
};

enum class AnswerKind {
  kWhole,         // an answer of a plain service
  kStream,        // a stream of a plain service
  kEngineStream,  // a stream of an engine
};

// A send in progress, as far as it determines when its endpoint counts as
// silent.
struct SendProgress {
  AnswerKind kind = AnswerKind::kWhole;
  StreamTargets targets;
  // Whether the head of the response has arrived.
  bool has_head = false;
  // Whether the first event of a stream has arrived.
  bool has_first_event = false;
  // Usual time of whole answers of the endpoint.
  common::Duration usual_latency{0};
};

// Share of the target latency after which a request to a plain service that may
// be repeated is sent to another endpoint if no head has arrived.
inline constexpr double kPlainMoveTargetShare = 0.8;

// Time without bytes after which an endpoint counts as silent, given all sends
// of this host that it is working on: the limit of the strictest of them. Must
// not be called without sends.
common::Duration EndpointSilenceLimit(const std::vector<SendProgress>& sends);
// Time without bytes after which a send that may be repeated leaves an endpoint
// that is ejected. Shorter than the limit above, but no pause that the route
// allows, since an endpoint may be ejected for other requests.
common::Duration EjectedSilenceLimit(const StreamTargets& targets);

// Time without events after which an endpoint that streams them counts as
// silent. Streams of routes that allow long gaps are not cut for gaps that
// their callers accept.
common::Duration StreamSilenceLimit(const StreamTargets& targets);
// The same for an engine that has sent no event yet.
common::Duration FirstEventSilenceLimit(const StreamTargets& targets);
// Time without events after which callers give up a stream.
common::Duration StreamStallLimit(const StreamTargets& targets);
// Time without events after which a started stream is moved if that is
// possible, although the engine may send bytes that are no events. Before its
// caller gives up.
common::Duration StalledMoveLimit(const StreamTargets& targets);
// Time without events after which a stream is ended. After its caller has given
// up: until then, a silent endpoint may go on.
common::Duration StalledEndLimit(const StreamTargets& targets);

}  // namespace jujuberock::dispatch

#endif  // CORE_DISPATCH_SILENCE_LIMIT_H_
