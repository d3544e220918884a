#include "core/dispatch/endpoint_health.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;
using State = EndpointHealth::State;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

TEST_CASE("an unreachable endpoint is ejected immediately") {
  EndpointHealth health;
  CHECK(health.OnOutcome(SendOutcome::kNoRoute, 0, At(0)));
  CHECK(health.StateAt(At(1)) == State::kEjected);
}

// Load pattern: engines crash and come back under other ids, while their old
// entries stay registered. Guards against all hosts trying them every second.
TEST_CASE(
    "an endpoint that was replaced is tried again only after the maximum") {
  EndpointHealth health;
  CHECK(health.OnOutcome(SendOutcome::kReplaced, 0, At(0)));
  CHECK(health.StateAt(At(3999)) == State::kEjected);
  CHECK(health.StateAt(At(4000)) == State::kProbation);
}

TEST_CASE("a single failure does not eject an endpoint") {
  EndpointHealth health;
  CHECK_FALSE(health.OnOutcome(SendOutcome::kError, 0, At(0)));
  CHECK(health.StateAt(At(1)) == State::kHealthy);
}

// Guards against an endpoint that fails some of its requests but still gets its
// full share of the traffic.
TEST_CASE("an endpoint that fails half of its requests is ejected") {
  EndpointHealth health;
  bool ejected = false;
  for (int i = 0; i < 40 && !ejected; ++i) {
    const auto outcome = i % 2 ? SendOutcome::kGood : SendOutcome::kError;
    ejected = health.OnOutcome(outcome, 0.05, At(i));
  }
  CHECK(ejected);
}

// Guards against ejecting endpoints for failures that occur on every endpoint
// of the service.
TEST_CASE("the usual failure rate of the service ejects no endpoint") {
  EndpointHealth health;
  for (int i = 0; i < 200; ++i) {
    const auto outcome = i % 7 ? SendOutcome::kGood : SendOutcome::kError;
    CHECK_FALSE(health.OnOutcome(outcome, 0.14, At(i)));
  }
}

TEST_CASE("success on probation readmits, failure ejects for longer") {
  EndpointHealth health;
  health.OnOutcome(SendOutcome::kSilent, 0, At(0));
  CHECK(health.StateAt(At(800)) == State::kProbation);
  SECTION("good") {
    health.OnOutcome(SendOutcome::kGood, 0, At(800));
    CHECK(health.StateAt(At(801)) == State::kHealthy);
  }
  SECTION("bad") {
    health.OnOutcome(SendOutcome::kError, 0, At(800));
    CHECK(health.StateAt(At(800 + 1300)) == State::kEjected);
    CHECK(health.StateAt(At(800 + 1500)) == State::kProbation);
  }
}

}  // namespace
}  // namespace jujuberock::dispatch
