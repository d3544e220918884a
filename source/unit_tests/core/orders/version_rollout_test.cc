#include "core/orders/version_rollout.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/common/random.h"

namespace jujuberock::orders {
namespace {

using common::Duration;
using common::TimePoint;
using platform::Object;
using platform::WriteResult;
using platform::WriteState;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStep = milliseconds(100);
constexpr Duration kLoadTime = milliseconds(500);

// The faults that the scenario injects. Each has its own switch, so that the
// test can run every combination.
struct Faults {
  bool pause_holder = false;
  bool crash_holder = false;
  bool lose_write_answers = false;
  bool platform_outage = false;
  bool lose_orders = false;
  bool restart_engine = false;
  bool endpoints_check_fence = true;
};

struct Engine {
  std::string name;
  bool checks_fence = true;
  uint64_t fence = 0;
  std::string version = "v1";
  std::string loading;
  TimePoint load_ends;

  OrderResult Accept(const SendOrder& order, TimePoint now) {
    if (this->checks_fence && order.fence < this->fence)
      return OrderResult::kStaleFence;
    this->fence = std::max(this->fence, order.fence);
    if (this->version == order.version || this->loading == order.version)
      return OrderResult::kAccepted;
    this->loading = order.version;
    this->load_ends = now + kLoadTime;
    return OrderResult::kAccepted;
  }

  void Advance(TimePoint now) {
    if (this->loading.empty() || now < this->load_ends)
      return;
    this->version = this->loading;
    this->loading.clear();
  }
};

// Simulates one service with six engines, two hosts and the platform in steps
// of 100 ms.
class Scenario {
 public:
  Scenario(Faults faults, uint64_t seed, size_t loads_at_once)
      : faults(faults), random(seed), loads_at_once(loads_at_once) {
    for (int i = 0; i < 6; ++i) {
      Engine engine;
      engine.name = "engine-" + std::to_string(i);
      engine.checks_fence = faults.endpoints_check_fence;
      this->engines.push_back(engine);
    }
    for (int i = 0; i < 2; ++i)
      this->hosts.push_back(this->MakeHost(i));
  }

  // Returns whether every engine runs the desired version at the end.
  bool Run(const std::string& version, int steps) {
    this->desired = version;
    for (auto& host : this->hosts)
      host.rollout->SetDesired({"model", version, this->loads_at_once});
    for (int step = 0; step < steps; ++step)
      this->Step(step, steps);
    return std::all_of(
        this->engines.begin(), this->engines.end(),
        [&](const Engine& engine) { return engine.version == version; });
  }

  size_t max_loads() const { return this->max_seen_loads; }

 private:
  struct Host {
    std::string name;
    std::unique_ptr<VersionRollout> rollout;
    std::deque<Action> pending;
    bool paused = false;
    bool dead = false;
  };

  Host MakeHost(int index) {
    Host host;
    host.name = "host-" + std::to_string(index);
    host.rollout = std::make_unique<VersionRollout>("service", host.name,
                                                    RolloutOptions());
    std::set<std::string> names;
    for (const Engine& engine : this->engines)
      names.insert(engine.name);
    host.rollout->SetEndpoints(names);
    return host;
  }

  void Step(int step, int steps) {
    this->now += kStep;
    // Faults stop after two thirds of the steps, so that the final state can be
    // checked.
    const bool faulty = step < steps * 2 / 3;
    this->platform_down =
        faulty && this->faults.platform_outage && (step / 20) % 2 == 1;
    this->InjectHostFaults(step, faulty);
    for (Engine& engine : this->engines)
      engine.Advance(this->now);
    for (Host& host : this->hosts)
      this->StepHost(host, faulty);
    this->RecordLoads();
  }

  void InjectHostFaults(int step, bool faulty) {
    Host& first = this->hosts[0];
    Host& second = this->hosts[1];
    // The second host is preferred while the first is paused or crashed and for
    // a while after it returns, as with a lagging membership view.
    const int phase = step % 60;
    const bool disturbed =
        faulty && (this->faults.pause_holder || this->faults.crash_holder);
    const bool away = disturbed && phase >= 6 && phase < 36;
    if (away && !first.paused && this->faults.crash_holder) {
      first = this->MakeHost(0);
      first.rollout->SetDesired({"model", this->desired, this->loads_at_once});
    }
    first.paused = away;
    first.rollout->SetPreferred(!disturbed || phase < 20);
    second.rollout->SetPreferred(disturbed && phase >= 10);
    if (faulty && this->faults.restart_engine && phase == 15) {
      Engine& engine =
          this->engines[this->random.NextBelow(this->engines.size())];
      engine.loading.clear();
      engine.version = "v1";
      if (!engine.checks_fence)
        engine.fence = 0;
    }
  }

  void StepHost(Host& host, bool faulty) {
    if (host.paused)
      return;
    for (const Engine& engine : this->engines) {
      host.rollout->OnReport(
          {engine.name, engine.fence, engine.version, !engine.loading.empty()},
          this->now);
    }
    this->Queue(host, host.rollout->OnTick(this->now));
    // One action per step, so that a pause can fall between the decision on an
    // action and its execution.
    if (host.pending.empty())
      return;
    const Action action = host.pending.front();
    host.pending.pop_front();
    this->Perform(host, action, faulty);
  }

  void Queue(Host& host, const Actions& actions) {
    host.pending.insert(host.pending.end(), actions.begin(), actions.end());
  }

  void Perform(Host& host, const Action& action, bool faulty) {
    if (std::holds_alternative<ReadOrderObject>(action)) {
      this->Queue(host, host.rollout->OnReadReply(this->platform_down,
                                                  this->object, this->now));
    } else if (const auto* write = std::get_if<WriteOrderObject>(&action)) {
      const WriteResult result = this->Write(*write, faulty);
      this->Queue(host, host.rollout->OnWriteReply(result, this->now));
    } else if (const auto* order = std::get_if<SendOrder>(&action)) {
      this->Send(host, *order, faulty);
    }
  }

  WriteResult Write(const WriteOrderObject& write, bool faulty) {
    WriteResult result;
    if (this->platform_down) {
      result.state = WriteState::kRejected;
      return result;
    }
    const platform::Version current = this->object ? this->object->version : 0;
    if (write.expected != current) {
      result.state = WriteState::kConflict;
      result.current = this->object;
      return result;
    }
    this->object = Object{"order", "service",  ++this->version_counter,
                          false,   write.body, write.token};
    result.version = this->version_counter;
    const bool lost = faulty && this->faults.lose_write_answers &&
                      this->random.NextBelow(2) == 0;
    result.state = lost ? WriteState::kUnknown : WriteState::kWritten;
    return result;
  }

  void Send(Host& host, const SendOrder& order, bool faulty) {
    if (this->now > order.expires_at)
      return;
    const bool lost =
        faulty && this->faults.lose_orders && this->random.NextBelow(3) == 0;
    OrderResult result = OrderResult::kFailed;
    for (Engine& engine : this->engines) {
      if (engine.name == order.endpoint && !lost)
        result = engine.Accept(order, this->now);
    }
    this->Queue(host,
                host.rollout->OnOrderReply(order.endpoint, result, this->now));
  }

  void RecordLoads() {
    const auto loads = static_cast<size_t>(std::count_if(
        this->engines.begin(), this->engines.end(),
        [](const Engine& engine) { return !engine.loading.empty(); }));
    this->max_seen_loads = std::max(this->max_seen_loads, loads);
  }

  Faults faults;
  common::Random random;
  size_t loads_at_once;
  TimePoint now;
  std::string desired;
  std::vector<Engine> engines;
  std::vector<Host> hosts;
  std::optional<Object> object;
  platform::Version version_counter = 0;
  bool platform_down = false;
  size_t max_seen_loads = 0;
};

// Guards against a rollout that stalls after a fault, ends with another
// version, or runs more loads at once than the weight store and the service can
// sustain.
TEST_CASE("a rollout ends at the desired version under every set of faults") {
  constexpr int kFaultBits = 7;
  constexpr int kSteps = 1200;
  for (int bits = 0; bits < (1 << kFaultBits); ++bits) {
    Faults faults;
    faults.pause_holder = bits & 1;
    faults.crash_holder = bits & 2;
    faults.lose_write_answers = bits & 4;
    faults.platform_outage = bits & 8;
    faults.lose_orders = bits & 16;
    faults.restart_engine = bits & 32;
    faults.endpoints_check_fence = bits & 64;
    for (uint64_t seed = 1; seed <= 3; ++seed) {
      CAPTURE(bits, seed);
      Scenario scenario(faults, seed, 2);
      REQUIRE(scenario.Run("v2", kSteps));
      CHECK(scenario.max_loads() <= 2);
    }
  }
}

// A host that was paused while it held the orders must not bring back the
// version that it was rolling out before the pause.
TEST_CASE("a fenced endpoint refuses the order of a paused former holder") {
  Engine engine;
  REQUIRE(engine.Accept({"engine", 2, "model", "v3", {}}, TimePoint()) ==
          OrderResult::kAccepted);
  VersionRollout former("service", "host-0", RolloutOptions());
  former.SetDesired({"model", "v2", 1});
  former.SetPreferred(true);
  former.SetEndpoints({"engine"});
  former.OnTick(TimePoint());
  former.OnReadReply(false, std::nullopt, TimePoint());
  former.OnWriteReply({WriteState::kWritten, 1, std::nullopt, ""}, TimePoint());
  REQUIRE(former.holds_orders());
  former.OnReport({"engine", 0, "v1", false}, TimePoint());
  const Actions orders = former.OnTick(TimePoint());
  REQUIRE(orders.size() == 1);
  const auto& order = std::get<SendOrder>(orders[0]);
  REQUIRE(order.fence == 1);
  CHECK(engine.Accept(order, TimePoint()) == OrderResult::kStaleFence);
  former.OnOrderReply("engine", OrderResult::kStaleFence, TimePoint());
  CHECK_FALSE(former.holds_orders());
}

// Endpoints that ignore fencing numbers never refuse an order, so a former
// holder has to learn from their reports that it was replaced.
TEST_CASE("a holder that sees a higher fencing number stops ordering") {
  VersionRollout rollout("service", "host-0", RolloutOptions());
  rollout.SetDesired({"model", "v2", 1});
  rollout.SetPreferred(true);
  rollout.SetEndpoints({"engine"});
  rollout.OnTick(TimePoint());
  rollout.OnReadReply(false, std::nullopt, TimePoint());
  rollout.OnWriteReply({WriteState::kWritten, 1, std::nullopt, ""},
                       TimePoint());
  REQUIRE(rollout.holds_orders());
  rollout.OnReport({"engine", 2, "v3", false}, TimePoint(seconds(5)));
  CHECK(rollout.OnTick(TimePoint(seconds(5))).empty());
  CHECK_FALSE(rollout.holds_orders());
}

// Endpoints that ignore fencing numbers could execute an earlier holder's order
// after the new holder's, so the new holder waits until the former have
// expired.
TEST_CASE("a new holder waits until the orders of the former holder expired") {
  VersionRollout rollout("service", "host-1", RolloutOptions());
  rollout.SetDesired({"model", "v2", 1});
  rollout.SetPreferred(true);
  rollout.SetEndpoints({"engine"});
  rollout.OnTick(TimePoint());
  Object object{
      "order",     "service", 7, false, R"({"term":4,"holder":"host-0"})",
      "host-0/1/1"};
  rollout.OnReadReply(false, object, TimePoint());
  rollout.OnWriteReply({WriteState::kWritten, 8, std::nullopt, ""},
                       TimePoint());
  REQUIRE(rollout.term() == 5);
  const EndpointReport report{"engine", 4, "v1", false};
  rollout.OnReport(report, TimePoint(seconds(1)));
  CHECK(rollout.OnTick(TimePoint(seconds(1))).empty());
  rollout.OnReport(report, TimePoint(seconds(4)));
  CHECK(rollout.OnTick(TimePoint(seconds(4))).size() == 1);
}

// Guards against a fencing number that two holders use, because the store came
// back from a copy that lacks the object of the first one, or has an older one.
TEST_CASE("terms of a later era are above those of a former one") {
  const Object older{
      "order",     "service", 7, false, R"({"term":4,"holder":"host-0"})",
      "host-0/1/1"};
  for (const std::optional<Object>& copied :
       {std::optional<Object>(), std::optional<Object>(older)}) {
    INFO("the copy has an object: " << copied.has_value());
    VersionRollout rollout("service", "host-1", RolloutOptions());
    rollout.SetDesired({"model", "v2", 1});
    rollout.SetPreferred(true);
    rollout.SetEndpoints({"engine"});
    rollout.OnTick(TimePoint());
    rollout.OnReadReply(false, copied, TimePoint());
    const platform::Version written = platform::MakeVersion(1, 8);
    const Actions again = rollout.OnWriteReply(
        {WriteState::kWritten, written, std::nullopt, ""}, TimePoint());
    REQUIRE_FALSE(rollout.holds_orders());
    REQUIRE(again.size() == 1);
    REQUIRE(std::get<WriteOrderObject>(again[0]).expected == written);
    rollout.OnWriteReply(
        {WriteState::kWritten, platform::MakeVersion(1, 9), std::nullopt, ""},
        TimePoint());
    REQUIRE(rollout.holds_orders());
    CHECK(rollout.term() > uint64_t{1} << 32);
    // The orders of the former holder must have expired.
    rollout.OnReport({"engine", 4, "v1", false}, TimePoint(seconds(1)));
    CHECK(rollout.OnTick(TimePoint(seconds(1))).empty());
  }
}

// Guards against an order object that ends the rollout of its service, and of
// those behind it, for good. It must not be overwritten: its term is unknown.
TEST_CASE("an order object that can not be read is read again") {
  const std::string deep =
      std::string(200'000, '[') + std::string(200'000, ']');
  for (const std::string& body :
       {deep, R"({"term":1,"holder":"h","x":)" + deep + "}",
        std::string(R"({"term":1e400,"holder":"h"})"),
        std::string(R"({"term":"1","holder":"h"})"),
        std::string(R"({"term":-1,"holder":"h"})"),
        std::string(R"({"term":1.5,"holder":"h"})"),
        std::string("{\"term\":1,\"holder\":\"\xff\"}"), std::string("[]"),
        std::string("")}) {
    INFO(body.substr(0, 60));
    VersionRollout rollout("service", "host", {});
    rollout.SetDesired({"model", "v2", 1});
    rollout.SetPreferred(true);
    rollout.SetEndpoints({"engine"});
    TimePoint now{seconds(1)};
    REQUIRE(rollout.OnTick(now).size() == 1);
    REQUIRE(rollout
                .OnReadReply(
                    false, Object{"order", "service", 5, false, body, ""}, now)
                .empty());
    CHECK(rollout.object_malformed());
    CHECK(rollout.OnTick(now).empty());
    now += seconds(2);
    const Actions again = rollout.OnTick(now);
    REQUIRE(again.size() == 1);
    CHECK(std::holds_alternative<ReadOrderObject>(again[0]));
    const Object mended{
        "order", "service", 6, false, R"({"term":3,"holder":"h"})", ""};
    const Actions claim = rollout.OnReadReply(false, mended, now);
    REQUIRE(claim.size() == 1);
    CHECK(std::get<WriteOrderObject>(claim[0]).expected == 6);
    CHECK_FALSE(rollout.object_malformed());
  }
}

}  // namespace
}  // namespace jujuberock::orders
