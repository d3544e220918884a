#include <catch2/catch.hpp>

#include <vector>

#include "core/runtime/byte_budget.h"
#include "core/runtime/process_limits.h"

namespace jujuberock::runtime {
namespace {

using common::TimePoint;
using Reservation = ByteBudget::Reservation;

constexpr ByteBudgetLimits kLimits{1000, 200, 50,
                                   std::chrono::milliseconds(100)};
constexpr TimePoint kStart{std::chrono::seconds(1)};

// Guards against counting bytes of requests that have ended.
TEST_CASE("a reservation is released when it ends") {
  ByteBudget budget(kLimits);
  {
    Reservation reservation;
    REQUIRE(reservation.GrowTo(budget, 30));
    REQUIRE(reservation.GrowTo(budget, 300));
    CHECK(budget.held_bytes() == 300);
  }
  CHECK(budget.held_bytes() == 0);
}

// Guards against large bodies that keep the small ones of others out.
TEST_CASE("large reservations leave room for small ones") {
  ByteBudget budget(kLimits);
  Reservation first, second, small;
  REQUIRE(first.GrowTo(budget, 500));
  REQUIRE(second.GrowTo(budget, 300));
  Reservation third;
  CHECK_FALSE(third.GrowTo(budget, 51));
  CHECK_FALSE(second.GrowTo(budget, 301));
  CHECK(second.bytes() == 300);
  CHECK(small.GrowTo(budget, 50));
}

// Guards against a budget below the configured limit of one body, and against
// two such bodies at once.
TEST_CASE("one body beyond the budget is admitted at a time") {
  ByteBudget budget(kLimits);
  Reservation huge, other, small;
  CHECK(huge.GrowTo(budget, 5000));
  CHECK_FALSE(other.GrowTo(budget, 60));
  CHECK(small.GrowTo(budget, 50));
  huge.Release();
  CHECK(other.GrowTo(budget, 60));
}

// Guards against a crowd of small bodies beyond the budget.
TEST_CASE("small reservations are limited by the budget") {
  ByteBudget budget(kLimits);
  std::vector<Reservation> crowd(21);
  for (size_t i = 0; i < 20; ++i)
    REQUIRE(crowd[i].GrowTo(budget, 50));
  CHECK_FALSE(crowd[20].GrowTo(budget, 50));
}

// Guards against bodies that stop short of their end and are never given up,
// and against ending a body that still arrives.
TEST_CASE("the body that has stalled longest makes room") {
  ByteBudget budget(kLimits);
  std::vector<int> ended;
  Reservation first, second, third;
  for (auto* reservation : {&first, &second, &third})
    REQUIRE(reservation->GrowTo(budget, 260));
  first.AllowEnd([&] { ended.push_back(1); }, kStart);
  second.AllowEnd([&] { ended.push_back(2); },
                  kStart - std::chrono::milliseconds(50));
  third.AllowEnd([&] { ended.push_back(3); }, kStart);
  third.OnProgress(kStart + std::chrono::milliseconds(60));
  Reservation next;
  REQUIRE_FALSE(next.GrowTo(budget, 260));
  const auto later = kStart + std::chrono::milliseconds(120);
  CHECK(budget.MakeRoom(next, 260, later));
  CHECK(ended == std::vector<int>{2});
  // What was ended is not counted again, and not ended twice.
  CHECK(budget.MakeRoom(next, 260, later));
  CHECK(ended == std::vector<int>{2});
  CHECK_FALSE(budget.MakeRoom(next, 700, later));
  CHECK(ended == std::vector<int>{2, 1});
  CHECK_FALSE(next.GrowTo(budget, 260));
  second.Release();
  CHECK(next.GrowTo(budget, 260));
}

// Guards against ending a request that is already handled.
TEST_CASE("a complete body is not ended") {
  ByteBudget budget(kLimits);
  bool was_ended = false;
  Reservation body, next;
  REQUIRE(body.GrowTo(budget, 800));
  body.AllowEnd([&] { was_ended = true; }, kStart);
  body.ForbidEnd();
  CHECK_FALSE(budget.MakeRoom(next, 100, kStart + std::chrono::seconds(9)));
  CHECK_FALSE(was_ended);
}

// Guards against limits that a small machine can't hold, and against callers
// that use up the descriptors for endpoints.
TEST_CASE("limits follow from memory and descriptors") {
  constexpr size_t kMb = 1024 * 1024;
  CHECK(BudgetFor({}).total_bytes == 40 * kMb);
  CHECK(BudgetFor({88 * kMb, 0}).total_bytes == 22 * kMb);
  CHECK(MaxCallerConnections({160 * kMb, 4100}) == 1950);
  CHECK(MaxCallerConnections({88 * kMb, 4100}) == 1126);
  CHECK(MaxCallerConnections({0, 100}) > 0);
  CHECK(EffectiveDescriptors(10) == 10);
}

}  // namespace
}  // namespace jujuberock::runtime
