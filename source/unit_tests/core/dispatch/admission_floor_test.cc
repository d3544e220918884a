#include "core/dispatch/admission_floor.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

// Of 100 requests of each group in 10 s, admits those of `admitted` in 100.
struct Group {
  std::string name;
  int admitted = 0;
};
void Decide(AdmissionFloor& floor, const std::vector<Group>& all) {
  for (int i = 0; i < 100; ++i) {
    for (const Group& group : all) {
      if (i * 37 % 100 < group.admitted)
        floor.OnAdmitted({group.name}, At(100 * i));
      else
        floor.OnRefused({group.name}, At(100 * i));
    }
  }
}

// Load pattern: one team sends a burst of urgent requests, and another one's
// are turned away for them. Guards against a team that gets less than half of
// what all get.
TEST_CASE(
    "a team that is admitted less than half as often is below the floor") {
  AdmissionFloor floor;
  Decide(floor, {{"team:a", 90}, {"team:b", 20}});
  CHECK(floor.IsBelow({"team:b"}, At(10000)));
  CHECK_FALSE(floor.IsBelow({"team:a"}, At(10000)));
  CHECK(floor.IsBelow({"team:a", "team:b"}, At(10000)));
}

// Guards against groups that go first although everybody is refused alike.
TEST_CASE("in an overload that all share no group is below the floor") {
  AdmissionFloor floor;
  Decide(floor, {{"team:a", 30}, {"team:b", 25}});
  CHECK_FALSE(floor.IsBelow({"team:a"}, At(10000)));
  CHECK_FALSE(floor.IsBelow({"team:b"}, At(10000)));
}

// Guards against a verdict on a group from a few refusals, and against one that
// outlives the overload.
TEST_CASE("a group is judged only while it has recent decisions") {
  AdmissionFloor floor;
  Decide(floor, {{"team:a", 100}, {"team:c", 0}});
  floor.OnRefused({"team:b"}, At(10000));
  CHECK_FALSE(floor.IsBelow({"team:b"}, At(10000)));
  CHECK(floor.IsBelow({"team:c"}, At(10000)));
  CHECK_FALSE(floor.IsBelow({"team:c"}, At(40000)));
}

// Load pattern: prompts of one route whose sizes differ by a factor of ten.
// Guards against an order by work under which the largest prompts get nothing.
TEST_CASE(
    "the largest tenth of the prompts and the next fifth are told apart") {
  AdmissionFloor floor;
  std::vector<int> counts(3, 0);
  for (int i = 0; i < 4000; ++i) {
    const int64_t tokens = 100 + i * 37 % 1000;
    const SizeClass size = floor.SizeOf("r", tokens);
    if (i >= 1000)
      ++counts[static_cast<size_t>(size)];
  }
  CHECK(counts[static_cast<size_t>(SizeClass::kLargest)] > 180);
  CHECK(counts[static_cast<size_t>(SizeClass::kLargest)] < 480);
  CHECK(counts[static_cast<size_t>(SizeClass::kLarge)] > 400);
  CHECK(counts[static_cast<size_t>(SizeClass::kLarge)] < 850);
}

}  // namespace
}  // namespace jujuberock::dispatch
