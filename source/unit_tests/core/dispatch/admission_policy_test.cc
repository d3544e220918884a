#include "core/dispatch/admission_policy.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using std::chrono::milliseconds;

AdmissionRequest Request(int held_ms) {
  AdmissionRequest request;
  request.target_latency = milliseconds(600);
  request.elapsed = milliseconds(held_ms);
  request.held = milliseconds(held_ms);
  request.remaining = milliseconds(5000);
  return request;
}

Choice Predicted(int ms, bool idle) {
  Choice choice;
  choice.predicted = milliseconds(ms);
  choice.idle = idle;
  return choice;
}

TEST_CASE("a request that can be on time is sent") {
  CHECK(DecideAdmission(Request(0), Predicted(500, false)).step ==
        AdmissionStep::kSend);
}

// Load pattern: a burst fills every engine's queue beyond the target. Guards
// against engine time for requests that are late anyway.
TEST_CASE("under overload a request waits a little and is refused") {
  CHECK(DecideAdmission(Request(0), Predicted(900, false)).step ==
        AdmissionStep::kWait);
  const auto decision = DecideAdmission(Request(150), Predicted(900, false));
  CHECK(decision.step == AdmissionStep::kRefuse);
  CHECK(decision.retry_after > milliseconds(0));
  CHECK(decision.retry_after < milliseconds(5000) / 3);
}

// Guards against refusals while places are free and nothing waits.
TEST_CASE("nothing is refused while an endpoint is idle") {
  CHECK(DecideAdmission(Request(550), Predicted(2000, true)).step ==
        AdmissionStep::kSend);
}

TEST_CASE("without an endpoint a request waits before it is refused") {
  CHECK(DecideAdmission(Request(0), std::nullopt).step == AdmissionStep::kWait);
  CHECK(DecideAdmission(Request(400), std::nullopt).step ==
        AdmissionStep::kRefuse);
}

}  // namespace
}  // namespace jujuberock::dispatch
