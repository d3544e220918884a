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

}  // namespace

StreamTargets StreamTargets::Stricter(const StreamTargets& a,
                                      const StreamTargets& b) {
  return {std::min(a.latency, b.latency), std::min(a.event_gap, b.event_gap)};
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

}  // namespace jujuberock::dispatch
