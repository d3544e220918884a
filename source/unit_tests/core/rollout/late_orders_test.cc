#include "core/rollout/rollout_plan.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>

#include <catch2/catch.hpp>

namespace jujuberock::rollout {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr int kStepMs = 50;
constexpr int kLoadMs = 540;
constexpr int kOrderTimeoutMs = 500;
constexpr int kReportAgeMs = 300;
constexpr uint64_t kFirstVersion = 1;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

struct Report {
  int at = 0;
  uint64_t version = kFirstVersion;
  uint64_t sequence = 0;
  bool busy = false;
};

// An engine that refuses an order while it loads, or if the order expects
// another sequence number. An unanswered order is executed later.
class SimulatedEngine {
 public:
  void Step(int now) {
    if (this->state.busy && now >= this->load_ends_at) {
      this->state.busy = false;
      this->state.version = this->loading_version;
    }
    for (const LateOrder& order : this->late_orders) {
      if (order.at <= now)
        this->Execute(order.version, order.expected, now);
    }
    std::erase_if(this->late_orders,
                  [now](const LateOrder& order) { return order.at <= now; });
    this->state.at = now;
    this->history.push_back(this->state);
    while (this->history.front().at < now - kReportAgeMs)
      this->history.pop_front();
  }

  bool Execute(uint64_t version, uint64_t expected, int now) {
    if (this->state.busy || this->state.sequence != expected)
      return false;
    ++this->state.sequence;
    this->state.busy = true;
    this->loading_version = version;
    this->load_ends_at = now + this->load_ms;
    return true;
  }

  void ExecuteLater(uint64_t version, uint64_t expected, int at) {
    this->late_orders.push_back({at, version, expected});
  }

  const Report& report() const { return this->history.front(); }
  bool busy() const { return this->state.busy; }
  uint64_t version() const { return this->state.version; }
  uint64_t loads() const { return this->state.sequence; }

  int load_ms = kLoadMs;

 private:
  struct LateOrder {
    int at = 0;
    uint64_t version = 0;
    uint64_t expected = 0;
  };

  Report state;
  std::deque<Report> history;
  std::vector<LateOrder> late_orders;
  uint64_t loading_version = 0;
  int load_ends_at = 0;
};

// Rolls a version out with orders of which a share gets no answer and is
// executed 2 to 12 s later.
class LateOrdersRollout {
 public:
  LateOrdersRollout(int engines, double late_share, unsigned seed)
      : late_share(late_share), random(seed) {
    for (int i = 0; i < engines; ++i)
      this->engines["e" + std::to_string(10 + i)];
    this->plan.SetTarget(kFirstVersion + 1);
  }

  // Returns the time in milliseconds at which all engines have the target.
  int RunToEnd() {
    while (this->now < kMaxMs) {
      if (this->CountOutdated() == 0)
        return this->now;
      this->Step();
    }
    return kMaxMs;
  }

  void RunUntil(int until) {
    while (this->now < until)
      this->Step();
  }

  size_t CountOutdated() const {
    size_t count = 0;
    for (const auto& [id, engine] : this->engines)
      count += engine.version() < this->plan.target() ? 1 : 0;
    return count;
  }

  RolloutPlan plan{RolloutPlanOptions()};
  std::map<std::string, SimulatedEngine> engines;
  size_t max_loading = 0;

 private:
  static constexpr int kMaxMs = 60000;

  void Step() {
    for (auto& [id, engine] : this->engines)
      engine.Step(this->now);
    this->ReportUnanswered();
    std::vector<PlannedEndpoint> endpoints;
    for (const auto& [id, engine] : this->engines)
      endpoints.push_back({id, engine.report().version, 0});
    this->plan.Reserve(endpoints, At(this->now));
    this->plan.OnStored(this->plan.Reserved(), At(this->now));
    for (const std::string& id : this->plan.Due(At(this->now)))
      this->SendOrder(id);
    for (const std::string& id : this->plan.Ordered())
      this->Poll(id);
    this->max_loading = std::max(this->max_loading, this->CountLoading());
    this->now += kStepMs;
  }

  // Returns whether the engine can get an order.
  bool Poll(const std::string& id) {
    if (this->unanswered.contains(id))
      return false;
    const Report& report = this->engines[id].report();
    if (report.version >= this->plan.target()) {
      this->plan.OnUpdated(id, At(this->now));
      return false;
    }
    this->plan.OnReport(id, report.busy, At(this->now));
    return !report.busy;
  }

  void SendOrder(const std::string& id) {
    if (!this->Poll(id))
      return;
    SimulatedEngine& engine = this->engines[id];
    const uint64_t expected = engine.report().sequence;
    if (std::bernoulli_distribution(this->late_share)(this->random)) {
      const int delay =
          std::uniform_int_distribution<int>(2000, 12000)(this->random);
      engine.ExecuteLater(this->plan.target(), expected, this->now + delay);
      this->unanswered[id] = this->now + kOrderTimeoutMs;
    } else if (engine.Execute(this->plan.target(), expected, this->now)) {
      this->plan.OnOrdered(id, At(this->now));
    } else {
      this->plan.OnOrderFailed(id, At(this->now));
    }
  }

  void ReportUnanswered() {
    for (const auto& [id, timeout_at] : this->unanswered) {
      if (timeout_at <= this->now)
        this->plan.OnOrderUnanswered(id, At(this->now));
    }
    std::erase_if(this->unanswered, [this](const auto& entry) {
      return entry.second <= this->now;
    });
  }

  size_t CountLoading() const {
    size_t loading = 0;
    for (const auto& [id, engine] : this->engines)
      loading += engine.busy() ? 1 : 0;
    return loading;
  }

  double late_share;
  std::mt19937 random;
  int now = 0;
  // Time at which the call to each engine times out.
  std::map<std::string, int> unanswered;
};

size_t MaxLoading(size_t engines) {
  return static_cast<size_t>(std::lround(0.2 * static_cast<double>(engines)));
}

// Load pattern: new weights are named while half of the orders get no answer
// and are executed 2 to 12 s later. Guards against unanswered orders that each
// occupied a load for 5 s, so that engines still had the older weights after
// 12 s, 1.5 times the bound of a version.
TEST_CASE("late orders do not keep the rollout from its end") {
  constexpr int kBoundMs = 12000;
  for (unsigned seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    LateOrdersRollout rollout(18, 0.5, seed);
    CHECK(rollout.RunToEnd() <= kBoundMs);
  }
}

// Guards against late orders that load weights again, and against more
// concurrent loads because of them.
TEST_CASE("an order that is repeated and executed late loads once") {
  for (unsigned seed = 1; seed <= 100; ++seed) {
    INFO("seed " << seed);
    LateOrdersRollout rollout(18, 0.5, seed);
    rollout.RunToEnd();
    rollout.RunUntil(30000);
    CHECK(rollout.max_loading <= MaxLoading(18));
    for (const auto& [id, engine] : rollout.engines)
      CHECK(engine.loads() == 1);
  }
}

// Guards against an order that is sent again only seconds after it was not
// answered, and against another engine that loads in the meantime.
TEST_CASE("an unanswered order is sent again and counts towards the limit") {
  RolloutPlan plan({});
  plan.SetTarget(2);
  std::vector<PlannedEndpoint> endpoints;
  for (int i = 0; i < 10; ++i)
    endpoints.push_back({"e" + std::to_string(10 + i), kFirstVersion, 0});
  plan.Reserve(endpoints, At(0));
  plan.OnStored(plan.Reserved(), At(0));
  REQUIRE(plan.Due(At(1000)) == std::vector<std::string>{"e10", "e11"});
  plan.OnOrdered("e10", At(1000));
  plan.OnOrderUnanswered("e11", At(1500));
  plan.Reserve(endpoints, At(1500));
  plan.OnStored(plan.Reserved(), At(1500));
  CHECK(plan.Due(At(2500)) == std::vector<std::string>{"e11"});
  // The first order is executed after all.
  plan.OnReport("e11", true, At(2500));
  CHECK(plan.Due(At(2600)).empty());
  CHECK(plan.Ordered() == std::vector<std::string>{"e10", "e11"});
}

// Load pattern: a version is named while engines load the former one, some of
// them slowly. Guards against slow loads that no longer counted towards the
// limit of concurrent loads after the target had changed.
TEST_CASE("loads of a former target count towards the limit") {
  for (unsigned seed = 1; seed <= 20; ++seed) {
    INFO("seed " << seed);
    LateOrdersRollout rollout(18, 0, seed);
    int index = 0;
    for (auto& [id, engine] : rollout.engines)
      engine.load_ms = ++index % 3 == 0 ? 8 * kLoadMs : kLoadMs;
    rollout.RunUntil(2000 + static_cast<int>(seed) * 100);
    rollout.plan.SetTarget(kFirstVersion + 2);
    rollout.RunToEnd();
    CHECK(rollout.CountOutdated() == 0);
    CHECK(rollout.max_loading <= MaxLoading(18));
  }
}

}  // namespace
}  // namespace jujuberock::rollout
