#include "core/dispatch/silence_limit.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;

// Guards against cutting a slow but sound stream: a route that allows gaps of
// 1 s had its streams moved after 700 ms without an event.
TEST_CASE("a gap that the route allows is no silence") {
  for (const int gap_ms : {250, 400, 1000, 5000}) {
    INFO(gap_ms);
    const StreamTargets targets{milliseconds(600), milliseconds(gap_ms)};
    CHECK(StreamSilenceLimit(targets) > milliseconds(gap_ms));
    CHECK(StreamStallLimit(targets) > StreamSilenceLimit(targets));
  }
}

TEST_CASE("a first event that is late by its target only is no silence") {
  for (const int latency_ms : {400, 600, 3000}) {
    INFO(latency_ms);
    const StreamTargets targets{milliseconds(latency_ms), milliseconds(250)};
    CHECK(FirstEventSilenceLimit(targets) > 2 * milliseconds(latency_ms));
  }
}

// Callers give up after the longest of 2 s, four times the target and eight
// times the gap.
TEST_CASE("a stream stalls when its caller gives up") {
  CHECK(StreamStallLimit({milliseconds(400), milliseconds(100)}) ==
        milliseconds(2000));
  CHECK(StreamStallLimit({milliseconds(600), milliseconds(100)}) ==
        milliseconds(2400));
  CHECK(StreamStallLimit({milliseconds(400), milliseconds(400)}) ==
        milliseconds(3200));
}

TEST_CASE("an engine is judged by the strictest of its streams") {
  const auto targets =
      StreamTargets::Stricter({milliseconds(400), milliseconds(1000)},
                              {milliseconds(600), milliseconds(250)});
  CHECK(targets.latency == milliseconds(400));
  CHECK(targets.event_gap == milliseconds(250));
}

}  // namespace
}  // namespace jujuberock::dispatch
