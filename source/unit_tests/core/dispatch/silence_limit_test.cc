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

// Guards against ending a stream whose caller still waits, and against moving
// one when its caller has left.
TEST_CASE("a stalled stream is moved before its caller gives up") {
  for (const int gap_ms : {100, 400}) {
    const StreamTargets targets{milliseconds(400), milliseconds(gap_ms)};
    const auto limit = StreamStallLimit(targets);
    CHECK(StalledMoveLimit(targets) > StreamSilenceLimit(targets));
    CHECK(StalledMoveLimit(targets) < limit);
    CHECK(StalledEndLimit(targets) > limit + milliseconds(100));
  }
}

SendProgress StreamOf(AnswerKind kind, int gap_ms, bool has_first_event) {
  return {kind,
          {milliseconds(400), milliseconds(gap_ms)},
          true,
          has_first_event,
          milliseconds(1)};
}

const SendProgress kCall{AnswerKind::kWhole,
                         {milliseconds(300), {}},
                         false,
                         false,
                         milliseconds(10)};

TEST_CASE("an engine is judged by the strictest of its streams") {
  SendProgress slow{AnswerKind::kEngineStream,
                    {milliseconds(400), milliseconds(1000)},
                    true,
                    true};
  SendProgress fast{AnswerKind::kEngineStream,
                    {milliseconds(600), milliseconds(250)},
                    true,
                    true};
  CHECK(EndpointSilenceLimit({slow, fast}) == StreamSilenceLimit(fast.targets));
  CHECK(EndpointSilenceLimit({fast, slow}) == StreamSilenceLimit(fast.targets));
  slow.has_first_event = fast.has_first_event = false;
  CHECK(EndpointSilenceLimit({slow, fast}) ==
        FirstEventSilenceLimit(slow.targets));
}

// Guards against judging a sound slow stream by a route that has only waiting
// requests on the engine.
TEST_CASE("a waiting send does not shorten the pauses of running streams") {
  const auto slow = StreamOf(AnswerKind::kEngineStream, 1000, true);
  const auto waiting = StreamOf(AnswerKind::kEngineStream, 250, false);
  CHECK(EndpointSilenceLimit({slow, waiting}) > milliseconds(1000));
}

// Guards against cutting slow but sound streams: streams of plain services were
// judged by the time of whole answers, and moved after 875 ms without an event
// on a route that allows gaps of 1 s.
TEST_CASE("a stream of a plain service may pause as its route allows") {
  const auto stream = StreamOf(AnswerKind::kStream, 1000, true);
  CHECK(EndpointSilenceLimit({stream}) == StreamSilenceLimit(stream.targets));
  const auto waiting = StreamOf(AnswerKind::kStream, 1000, false);
  CHECK(EndpointSilenceLimit({waiting}) == milliseconds(1000));
}

TEST_CASE("a silent plain endpoint is found by its usual latency") {
  CHECK(EndpointSilenceLimit({kCall}) == milliseconds(250));
  const auto stream = StreamOf(AnswerKind::kStream, 1000, true);
  CHECK(EndpointSilenceLimit({stream, kCall}) == milliseconds(250));
  SendProgress slow_call = kCall;
  slow_call.usual_latency = milliseconds(100);
  CHECK(EndpointSilenceLimit({slow_call}) == milliseconds(800));
}

// Guards against an endpoint that never counts as silent, because each stream
// leaves it before its limit.
TEST_CASE("an endpoint is silent when streams without a head are moved") {
  auto waiting = StreamOf(AnswerKind::kStream, 1000, false);
  waiting.has_head = false;
  CHECK(EndpointSilenceLimit({waiting}) == milliseconds(320));
  waiting.targets.latency = milliseconds(100);
  CHECK(EndpointSilenceLimit({waiting}) == milliseconds(250));
}

// An endpoint may be ejected for other requests than the paused stream.
TEST_CASE("an allowed pause does not move a stream off an ejected endpoint") {
  CHECK(EjectedSilenceLimit({milliseconds(400), milliseconds(250)}) ==
        milliseconds(350));
  CHECK(EjectedSilenceLimit({milliseconds(400), milliseconds(1000)}) ==
        milliseconds(1000));
  CHECK(EjectedSilenceLimit({milliseconds(400), {}}) == milliseconds(350));
}

}  // namespace
}  // namespace jujuberock::dispatch
