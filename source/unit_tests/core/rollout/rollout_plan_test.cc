#include "core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <set>

#include <catch2/catch.hpp>

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

// The store acknowledges the reservations at once.
void ReserveAndStore(RolloutPlan& plan,
                     const std::vector<PlannedEndpoint>& endpoints,
                     TimePoint now) {
  plan.Reserve(endpoints, now);
  plan.OnStored(plan.Reserved(), now);
}

// Engines that load weights for `load_ms` after an order, driven by a plan in
// steps of 50 ms.
class SimulatedRollout {
 public:
  SimulatedRollout(int engines, int load_ms)
      : fleet(MakeFleet(engines, 1)), load_ms(load_ms) {
    this->plan.SetTarget(2);
  }

  // Returns the time in milliseconds at which all engines have the version.
  int Run() {
    for (int now = 0; now < 60000; now += 50) {
      this->FinishLoads(now);
      ReserveAndStore(this->plan, this->fleet, At(now));
      if (this->plan.Reserved().empty())
        return now;
      for (const std::string& id : this->plan.Due(At(now))) {
        this->plan.OnOrdered(id, At(now));
        this->ordered_at[id] = now;
      }
      this->max_loading = std::max(this->max_loading, this->ordered_at.size());
      this->max_reserved =
          std::max(this->max_reserved, this->plan.Reserved().size());
    }
    return 60000;
  }

  size_t max_loading = 0;
  size_t max_reserved = 0;

 private:
  void FinishLoads(int now) {
    for (PlannedEndpoint& endpoint : this->fleet) {
      const auto order = this->ordered_at.find(endpoint.id);
      if (order == this->ordered_at.end() ||
          now < order->second + this->load_ms)
        continue;
      endpoint.version = 2;
      this->plan.OnUpdated(endpoint.id, At(now));
      this->ordered_at.erase(order);
    }
  }

  RolloutPlan plan{RolloutPlanOptions()};
  std::vector<PlannedEndpoint> fleet;
  int load_ms;
  std::map<std::string, int> ordered_at;
};

// Guards against a weight update that takes all engines out of service.
TEST_CASE("only a share of the engines is updated at the same time") {
  for (const int engines : {1, 3, 9, 18, 60, 140}) {
    for (const int load_ms : {300, 1000, 3000}) {
      INFO(engines << " engines, " << load_ms << " ms");
      SimulatedRollout rollout(engines, load_ms);
      CHECK(rollout.Run() < 60000);
      const size_t limit =
          std::max<size_t>(1, static_cast<size_t>(std::lround(0.2 * engines)));
      CHECK(rollout.max_loading <= limit);
      CHECK(rollout.max_reserved <= 2 * limit);
    }
  }
}

TEST_CASE("no engine gets an order before the other hosts have been told") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  ReserveAndStore(plan, MakeFleet(18, 1), At(0));
  CHECK(plan.Due(At(0)).empty());
  CHECK(plan.Due(At(800)).empty());
  CHECK(plan.Due(At(1000)).size() == plan.Reserved().size());
}

// Guards against an order to an engine whose reservation the store has refused:
// the next holder of the lease would not know of it and order the same engine.
TEST_CASE("a reservation that was not stored leads to no order") {
  RolloutPlan plan{RolloutPlanOptions()};
  plan.SetTarget(2);
  REQUIRE(plan.Reserve(MakeFleet(10, 1), At(0)));
  const std::vector<std::string> reserved = plan.Reserved();
  REQUIRE(reserved.size() == 2);
  CHECK(plan.Due(At(60000)).empty());
  // The notice begins when the store has the reservation.
  plan.OnStored({reserved[0], "other"}, At(60000));
  CHECK(plan.Due(At(60500)).empty());
  plan.OnStored(reserved, At(60500));
  CHECK(plan.Due(At(60900)) == std::vector<std::string>{reserved[0]});
  CHECK(plan.Due(At(61400)) == reserved);
}

// Guards against a second order within the lease time to an engine that the
// former holder has ordered and released.
TEST_CASE("a new holder sends no order before the former ones are old") {
  RolloutPlan plan{RolloutPlanOptions()};
  plan.SetTarget(2);
  plan.DeferAll(At(3000));
  ReserveAndStore(plan, MakeFleet(1, 1), At(0));
  CHECK(plan.Due(At(2999)).empty());
  CHECK(plan.Due(At(3000)).size() == 1);
}

// Load pattern: new weights are named while all engines serve. Guards against
// 900 ms of notice per batch during which nothing loads: nine engines, two at a
// time and about 1 s a load, took 10 s instead of 6 s.
TEST_CASE("the next engines are emptied while the current ones load") {
  SimulatedRollout rollout(9, 970);
  const int ideal_ms = 900 + 5 * 970;
  CHECK(rollout.Run() < ideal_ms * 5 / 4);
}

// Guards against engines that are emptied long before their load can start.
TEST_CASE("engines are not reserved long before they can load") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  auto fleet = MakeFleet(10, 1);
  int now = 0;
  const auto advance = [&](int until) {
    for (; now < until; now += 50) {
      ReserveAndStore(plan, fleet, At(now));
      for (const std::string& id : plan.Due(At(now)))
        plan.OnOrdered(id, At(now));
    }
  };
  advance(950);
  const auto first = plan.Ordered();
  REQUIRE(first.size() == 2);
  advance(4900);
  for (const std::string& id : first) {
    plan.OnUpdated(id, At(now));
    for (PlannedEndpoint& endpoint : fleet)
      endpoint.version = endpoint.id == id ? 2 : endpoint.version;
  }
  // A load takes 4 s here, so the third pair waits for the second one.
  advance(7000);
  CHECK(plan.Reserved().size() == 2);
}

// Guards against loading an engine twice when a newer version is announced in
// the middle of a rollout, while others still have the oldest weights.
TEST_CASE("engines with the oldest weights are updated first") {
  RolloutPlan plan({});
  plan.SetTarget(3);
  auto fleet = MakeFleet(10, 1);
  for (int i = 0; i < 6; ++i)
    fleet[static_cast<size_t>(i)].version = 2;
  ReserveAndStore(plan, fleet, At(0));
  CHECK(plan.Reserved() == std::vector<std::string>{"e16", "e17"});
}

// Guards against a rollout that stops because dead engines, which are still
// registered, occupy all reservations.
TEST_CASE("engines that do not take their order make room for others") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  const auto fleet = MakeFleet(10, 1);
  std::set<std::string> ordered;
  for (int now = 0; now < 6000; now += 50) {
    ReserveAndStore(plan, fleet, At(now));
    for (const std::string& id : plan.Due(At(now))) {
      if (id == "e10" || id == "e11")
        plan.OnOrderFailed(id, At(now));
      else
        ordered.insert(id);
    }
  }
  CHECK_FALSE(ordered.empty());
}

// Guards against an order that was lost or refused and is never sent again.
TEST_CASE("an order without effect is sent again") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  ReserveAndStore(plan, MakeFleet(1, 1), At(0));
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
  ReserveAndStore(plan, MakeFleet(10, 1), At(0));
  const auto reserved = plan.Reserved();
  const std::set<std::string> ids(reserved.begin(), reserved.end());
  CHECK_FALSE(ids.contains("e10"));
  CHECK_FALSE(ids.contains("e11"));
}

TEST_CASE("a newer version is ordered even while the former one is loading") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  ReserveAndStore(plan, MakeFleet(1, 1), At(0));
  plan.OnOrdered("e10", At(1000));
  plan.SetTarget(3);
  CHECK(plan.Due(At(1100)).size() == 1);
}

}  // namespace
}  // namespace jujuberock::rollout
