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

EndpointChoice Predicted(int ms, bool idle) {
  EndpointChoice choice;
  choice.predicted = milliseconds(ms);
  choice.idle = idle;
  return choice;
}

TEST_CASE("a request that can meet its target latency is sent") {
  CHECK(DecideAdmission(Request(0), Predicted(500, false)).step ==
        AdmissionStep::kSend);
}

// Load pattern: a burst fills the queue of every engine beyond the target
// latency. Guards against engine time spent on requests that will miss their
// target anyway.
TEST_CASE("under overload a request is queued briefly and then refused") {
  CHECK(DecideAdmission(Request(0), Predicted(900, false)).step ==
        AdmissionStep::kWait);
  const auto decision = DecideAdmission(Request(150), Predicted(900, false));
  CHECK(decision.step == AdmissionStep::kRefuse);
  CHECK(decision.retry_after > milliseconds(0));
  CHECK(decision.retry_after < milliseconds(5000) / 3);
}

// Load pattern: long prompts that are not urgent arrive while urgent requests
// wait for room. Guards against engine time that goes to who arrived last.
TEST_CASE("a request waits while another one goes before it") {
  AdmissionRequest request = Request(0);
  request.must_wait = true;
  const auto decision = DecideAdmission(request, Predicted(500, false));
  CHECK(decision.step == AdmissionStep::kWait);
  CHECK(decision.wait_left == milliseconds(120));
  // An idle endpoint is used at once.
  CHECK(DecideAdmission(request, Predicted(500, true)).step ==
        AdmissionStep::kSend);
}

// Guards against refusals while there are free slots and no queue.
TEST_CASE("no request is refused while an endpoint is idle") {
  CHECK(DecideAdmission(Request(550), Predicted(2000, true)).step ==
        AdmissionStep::kSend);
}

TEST_CASE("without an endpoint a request is queued before it is refused") {
  CHECK(DecideAdmission(Request(0), std::nullopt).step == AdmissionStep::kWait);
  CHECK(DecideAdmission(Request(400), std::nullopt).step ==
        AdmissionStep::kRefuse);
}

// Guards against cutting a request that this host has moved while no endpoint
// is ready for it.
TEST_CASE("a request that can't be refused is queued instead") {
  AdmissionRequest request = Request(400);
  request.may_be_refused = false;
  CHECK(DecideAdmission(request, std::nullopt).step == AdmissionStep::kWait);
  CHECK(DecideAdmission(request, Predicted(900, false)).step ==
        AdmissionStep::kWait);
  CHECK(DecideAdmission(request, Predicted(900, true)).step ==
        AdmissionStep::kSend);
}

// Load pattern: a service is overloaded as a whole, and all of its endpoints
// ask for a pause. Guards against holding a request that is known to be
// unservable.
TEST_CASE("a request is refused at once while all endpoints pause for longer") {
  AdmissionRequest request = Request(0);
  request.pause_left = milliseconds(1500);
  const auto decision = DecideAdmission(request, std::nullopt);
  CHECK(decision.step == AdmissionStep::kRefuse);
  CHECK(decision.retry_after == milliseconds(1500));
  request.pause_left = milliseconds(200);
  CHECK(DecideAdmission(request, std::nullopt).step == AdmissionStep::kWait);
}

// Load pattern: twice the load that the engines bear, while streams break off
// and are taken up. Guards against streams that are left unfinished for new
// ones, because their first event would be late by the target of a new request.
TEST_CASE("a stream goes on although its next event is later than the target") {
  AdmissionRequest request = Request(0);
  CHECK(DecideAdmission(request, Predicted(900, false)).step !=
        AdmissionStep::kSend);
  request.is_continuation = true;
  CHECK(DecideAdmission(request, Predicted(900, false)).step ==
        AdmissionStep::kSend);
  // It must still end in time.
  CHECK(DecideAdmission(request, Predicted(4900, false)).step !=
        AdmissionStep::kSend);
  // It waits longer for an endpoint that is away for a moment.
  request.held = request.target_latency;
  CHECK(DecideAdmission(request, std::nullopt).step == AdmissionStep::kWait);
  request.is_continuation = false;
  CHECK(DecideAdmission(request, std::nullopt).step == AdmissionStep::kRefuse);
}

}  // namespace
}  // namespace jujuberock::dispatch
