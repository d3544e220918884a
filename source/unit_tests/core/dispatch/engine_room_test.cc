#include "core/dispatch/engine_room.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr double kTokenMs = 0.02;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

PeerPrompt Prompt(int64_t tokens, int urgency) {
  return {tokens, tokens, milliseconds(400), false, urgency};
}

// Load pattern: other hosts send long prompts of little urgency to every
// engine. Guards against urgent requests that are refused because of a backlog
// that the engines put behind them.
TEST_CASE("less urgent prompts are not ahead of an urgent one") {
  EngineRoom room;
  room.AddOwn(2, 9000, 9010);
  room.AddPeer(Prompt(9000, 2), At(0));
  room.AddPeer(Prompt(500, 0), At(0));
  CHECK(room.OwnPending(0) == 0);
  CHECK(room.OwnPending(2) == 9000);
  CHECK(room.PeerPending(0, kTokenMs, At(0)) == 500);
  CHECK(room.PeerPending(2, kTokenMs, At(0)) == 9500);
  CHECK(room.OwnMemory(0) == 0);
  CHECK(room.PeerMemory(0, At(0)) == 500);
  CHECK(room.OwnMemory(9) + room.PeerMemory(9, At(0)) == 18510);
}

TEST_CASE("an engine prefills the announced prompts in order of urgency") {
  EngineRoom room;
  room.AddPeer(Prompt(4000, 5), At(0));
  room.AddPeer(Prompt(1000, 0), At(0));
  // 30 ms at 0.02 ms per token are 1,500 tokens.
  CHECK(room.PeerPending(0, kTokenMs, At(30)) == Approx(0));
  CHECK(room.PeerPending(5, kTokenMs, At(30)) == Approx(3500));
  CHECK(room.PeerPending(5, kTokenMs, At(5000)) == 0);
  // The time without prompts does not count for later ones.
  room.AddPeer(Prompt(1000, 0), At(9000));
  CHECK(room.PeerPending(0, kTokenMs, At(9000)) == 1000);
}

// Guards against memory and prefill time that stay in use after their sends.
TEST_CASE("a send takes room until it ends") {
  EngineRoom room;
  room.AddOwn(3, 700, 900);
  room.OnOwnStarted(3, 700);
  CHECK(room.OwnPending(9) == 0);
  CHECK(room.OwnMemory(9) == 900);
  room.RemoveOwn(3, 900);
  CHECK(room.OwnMemory(9) == 0);
  room.AddPeer(Prompt(700, 3), At(0));
  CHECK(room.PeerRuns(At(399)) == 1);
  CHECK(room.PeerMemory(9, At(400)) == 0);
  CHECK(room.PeerRuns(At(400)) == 0);
}

// Guards against a datagram whose urgency is outside the known levels.
TEST_CASE("an unknown urgency counts as the nearest known one") {
  EngineRoom room;
  room.AddPeer(Prompt(100, 77), At(0));
  room.AddPeer(Prompt(100, -1), At(0));
  CHECK(room.PeerMemory(0, At(0)) == 100);
  CHECK(room.PeerMemory(9, At(0)) == 200);
}

}  // namespace
}  // namespace jujuberock::dispatch
