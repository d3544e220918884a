#include "core/dispatch/silence_limit.h"

#include <algorithm>

#include "core/common/scale.h"

namespace jujuberock::dispatch {

namespace {

using common::Duration;
using common::Scale;

// Engines send events far more often than this, even if a route allows longer
// gaps.
constexpr Duration kMinStreamSilence = std::chrono::milliseconds(700);
constexpr double kStreamSilenceGapFactor = 1.75;
constexpr Duration kMinFirstEventSilence = std::chrono::milliseconds(1500);
constexpr double kFirstEventSilenceFactor = 2.5;
constexpr Duration kMinStreamStall = std::chrono::seconds(2);
constexpr double kStreamStallLatencyFactor = 4;
constexpr double kStreamStallGapFactor = 8;
constexpr double kStalledMoveShare = 0.75;
// Callers count from the arrival of the last event, which may be delayed.
constexpr Duration kCallerDelay = std::chrono::milliseconds(500);
constexpr Duration kMinPlainSilence = std::chrono::milliseconds(250);
constexpr double kPlainSilenceLatencyFactor = 8;
constexpr double kEjectedSilenceShare = 0.5;

Duration PlainSilenceLimit(const SendProgress& send) {
  return std::max(kMinPlainSilence,
                  Scale(send.usual_latency, kPlainSilenceLatencyFactor));
}

// A plain service has no queue whose length explains a late first event.
Duration PlainFirstEventSilenceLimit(const SendProgress& send) {
  return std::max(PlainSilenceLimit(send),
                  Scale(send.targets.latency, kFirstEventSilenceFactor));
}

// Not above the time after which the stream is moved: a moved stream is no
// longer in progress, so its endpoint would never be found silent.
Duration PlainHeadSilenceLimit(const SendProgress& send) {
  return std::max(kMinPlainSilence,
                  Scale(send.targets.latency, kPlainMoveTargetShare));
}

Duration SendSilenceLimit(const SendProgress& send) {
  if (send.kind == AnswerKind::kWhole)
    return PlainSilenceLimit(send);
  if (send.has_first_event)
    return StreamSilenceLimit(send.targets);
  if (send.kind == AnswerKind::kEngineStream)
    return FirstEventSilenceLimit(send.targets);
  return send.has_head ? PlainFirstEventSilenceLimit(send)
                       : PlainHeadSilenceLimit(send);
}

}  // namespace

Duration EndpointSilenceLimit(const std::vector<SendProgress>& sends) {
  Duration limit = Duration::max();
  for (const SendProgress& send : sends)
    limit = std::min(limit, SendSilenceLimit(send));
  return limit;
}

Duration EjectedSilenceLimit(const StreamTargets& targets) {
  return std::max(Scale(StreamSilenceLimit(targets), kEjectedSilenceShare),
                  targets.event_gap);
}

Duration StreamSilenceLimit(const StreamTargets& targets) {
  return std::max(kMinStreamSilence,
                  Scale(targets.event_gap, kStreamSilenceGapFactor));
}

Duration FirstEventSilenceLimit(const StreamTargets& targets) {
  return std::max(kMinFirstEventSilence,
                  Scale(targets.latency, kFirstEventSilenceFactor));
}

Duration StreamStallLimit(const StreamTargets& targets) {
  return std::max({kMinStreamStall,
                   Scale(targets.latency, kStreamStallLatencyFactor),
                   Scale(targets.event_gap, kStreamStallGapFactor)});
}

Duration StalledMoveLimit(const StreamTargets& targets) {
  return Scale(StreamStallLimit(targets), kStalledMoveShare);
}

Duration StalledEndLimit(const StreamTargets& targets) {
  return StreamStallLimit(targets) + kCallerDelay;
}

}  // namespace jujuberock::dispatch
