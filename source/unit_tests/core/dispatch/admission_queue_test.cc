#include "core/dispatch/admission_queue.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

WaitingRequest Waiting(int urgency, int latest_start_ms, double work_ms) {
  WaitingRequest request;
  request.urgency = urgency;
  request.latest_start = At(latest_start_ms);
  request.work_ms = work_ms;
  return request;
}

// Load pattern: long prompts of little urgency arrive faster than the engines
// read them, among short urgent ones. Guards against short urgent prompts that
// wait behind them.
TEST_CASE("a more urgent request goes first, whatever it needs") {
  const WaitingRequest urgent = Waiting(0, 5000, 900);
  const WaitingRequest other = Waiting(2, 100, 10);
  CHECK(GoesBefore(urgent, other, At(0)));
  CHECK_FALSE(GoesBefore(other, urgent, At(0)));
}

// Load pattern: a crowd of equal requests whose callers set different
// deadlines. Guards against room for a caller that could wait, while another
// one misses its deadline.
TEST_CASE("of equally urgent requests the nearest deadline goes first") {
  CHECK(GoesBefore(Waiting(1, 300, 50), Waiting(1, 900, 5), At(0)));
  // One that can't be in time any more does not delay one that can.
  CHECK(GoesBefore(Waiting(1, 900, 50), Waiting(1, -10, 5), At(0)));
}

// Guards against a long prompt that takes the room of several short ones that
// would all be in time.
TEST_CASE("at about the same deadline the least work goes first") {
  CHECK(GoesBefore(Waiting(1, 450, 5), Waiting(1, 410, 50), At(0)));
}

// Load pattern: urgent requests alone exceed what the engines can do. Guards
// against a team or a size of prompts that gets nothing.
TEST_CASE("a request of a group below its floor goes first") {
  WaitingRequest starved = Waiting(9, 900, 500);
  starved.is_below_floor = true;
  CHECK(GoesBefore(starved, Waiting(0, 100, 5), At(0)));
}

TEST_CASE("the queue lists the first requests in order") {
  AdmissionQueue queue;
  const auto long_prompt = queue.Add(Waiting(2, 800, 400));
  const auto second = queue.Add(Waiting(0, 800, 20));
  const auto third = queue.Add(Waiting(0, 800, 20));
  const auto first = queue.Add(Waiting(0, 300, 20));
  CHECK(queue.First(10, At(0)) ==
        std::vector<AdmissionQueue::Place>{first, second, third, long_prompt});
  CHECK(queue.First(1, At(0)) == std::vector<AdmissionQueue::Place>{first});
  // Once its deadline has passed, it no longer goes first.
  CHECK(queue.First(1, At(400)) == std::vector<AdmissionQueue::Place>{second});
  queue.Remove(second);
  CHECK(queue.First(1, At(400)) == std::vector<AdmissionQueue::Place>{third});
}

// Guards against arrivals that overtake the requests that wait for room, and
// against requests that wait behind one that no endpoint may take.
TEST_CASE("an arrival waits only behind requests that wait for room") {
  AdmissionQueue queue;
  CHECK_FALSE(queue.MustWait(Waiting(2, 800, 400), At(0)));
  const auto place = queue.Add(Waiting(0, 800, 20));
  CHECK(queue.MustWait(Waiting(2, 800, 400), At(0)));
  CHECK_FALSE(queue.MustWait(Waiting(0, 300, 20), At(0)));
  queue.SetWaitsForRoom(place, false);
  CHECK_FALSE(queue.MustWait(Waiting(2, 800, 400), At(0)));
}

}  // namespace
}  // namespace jujuberock::dispatch
