#include "core/rollout/rollout_plan.h"

#include <catch2/catch.hpp>
#include <set>

namespace jujuberock::rollout {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

std::vector<PlannedEndpoint> MakeFleet(int count, uint64_t version) {
  std::vector<PlannedEndpoint> endpoints;
  for (int i = 0; i < count; ++i)
    endpoints.push_back({"e" + std::to_string(10 + i), version, i});
  return endpoints;
}

// Guards against a weight update that takes all engines out of service.
TEST_CASE("only a share of the engines is updated at the same time") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  plan.Reserve(MakeFleet(18, 1), At(0));
  CHECK(plan.Reserved().size() == 5);
  CHECK(plan.Upcoming().size() == 5);
  CHECK(plan.Due(At(0)).empty());
  CHECK(plan.Due(At(1000)).size() == 5);
}

TEST_CASE("all engines reach the version") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  auto fleet = MakeFleet(18, 1);
  int now = 0;
  for (; now < 60000; now += 100) {
    plan.Reserve(fleet, At(now));
    if (plan.Reserved().empty())
      break;
    for (const std::string& id : plan.Due(At(now)))
      plan.OnOrdered(id, At(now));
    for (const std::string& id : plan.Ordered()) {
      for (PlannedEndpoint& endpoint : fleet) {
        if (endpoint.id == id)
          endpoint.version = 2;
      }
      plan.OnUpdated(id);
    }
  }
  for (const PlannedEndpoint& endpoint : fleet)
    CHECK(endpoint.version == 2);
  CHECK(now < 8000);
}

// Guards against an order that was lost or refused and is never sent again.
TEST_CASE("an order without effect is sent again") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  plan.Reserve(MakeFleet(1, 1), At(0));
  plan.OnOrdered("e10", At(1000));
  CHECK(plan.Due(At(2000)).empty());
  CHECK(plan.Due(At(6000)).size() == 1);
  plan.OnOrderFailed("e10", At(6000));
  CHECK(plan.Due(At(6100)).empty());
  CHECK(plan.Due(At(6400)).size() == 1);
}

// Guards against orders from two holders to one engine within one lease time,
// and against reservations that deferred engines occupy.
TEST_CASE("engines with orders of a former holder are deferred") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  plan.Defer({"e10", "e11"}, At(3000));
  plan.Reserve(MakeFleet(10, 1), At(0));
  const auto reserved = plan.Reserved();
  const std::set<std::string> ids(reserved.begin(), reserved.end());
  CHECK_FALSE(ids.contains("e10"));
  CHECK_FALSE(ids.contains("e11"));
}

TEST_CASE("a newer version is ordered even while the former one is loading") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  plan.Reserve(MakeFleet(1, 1), At(0));
  plan.OnOrdered("e10", At(1000));
  plan.SetTarget(3);
  CHECK(plan.Due(At(1100)).size() == 1);
}

}  // namespace
}  // namespace jujuberock::rollout
