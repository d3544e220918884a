// Injects faults at every step of a non-idempotent call: single faults, pairs
// and random combinations. Guards against a second execution, a false "not run"
// and the loss of an answer that was recorded.

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "simulation.h"

namespace jujuberock::journal {
namespace {

using common::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What a cell guarantees in addition to at most one execution and no false "not
// run".
enum class Guarantee {
  kAnswer,   // a later send receives the stored answer
  kUnknown,  // the answer, or a result that the call may have run
  kTooOld,   // the answer, or a refusal because of its issue time
  kNone,     // the combination can not occur
};

// One row per fault, one letter per step. A: answer, U: may stay unknown, R:
// may be refused as too old. Other letters give the reason why the combination
// can not occur, see ReasonOf().
constexpr std::array<std::string_view, kFaults> kGuaranteeMatrix = {
    // permit_request, head_read, takeover_write, intent_write, grant, forward,
    // run, answer, outcome, outcome_write, outcome_reply
    "UUUUUUUUAAA",  // host_crash: the host may have used the permit
    "AAAAAAAAAAA",  // owner_crash
    "AAAAAAAAAAA",  // host_pause
    "AAAAAAAAAAA",  // owner_pause
    "AAAAAAAAAAA",  // short_outage
    "AAAAAAAAAAA",  // long_outage
    "AAAAAAUUAAA",  // lost: unknown whether the call ran after the first byte
    "sAAAsssssAs",  // reply_lost
    "wwAAwwwwwAw",  // late_effect
    "AAAAAAUAAAA",  // delayed: the bytes arrive after their connection is lost
    "AnAAAcccAAA",  // duplicated
    "AAAAAAAAAAA",  // split_view
    "AAAAAAAAAAA",  // same_key
    "RRRRRRRRRRR",  // clock_ahead
    "AAAAAAAAAAA",  // partition
};

std::string_view ReasonOf(char cell) {
  switch (cell) {
    case 's':
      return "the reply is a separate step";
    case 'w':
      return "only a platform write can take effect late";
    case 'n':
      return "repeating a read has no effect";
    case 'c':
      return "a connection delivers its bytes only once";
    default:
      return "";
  }
}

Guarantee GuaranteeOf(Fault fault, Step step) {
  const char cell =
      kGuaranteeMatrix[static_cast<size_t>(fault)][static_cast<size_t>(step)];
  if (!ReasonOf(cell).empty())
    return Guarantee::kNone;
  if (cell == 'U')
    return Guarantee::kUnknown;
  return cell == 'R' ? Guarantee::kTooOld : Guarantee::kAnswer;
}

// Environment variables allow longer runs when the protocol is changed.
uint64_t FromEnvironment(const char* name, uint64_t default_value) {
  const char* value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : default_value;
}

bool Satisfies(Guarantee guarantee, ResultCode code) {
  if (code == ResultCode::kOk)
    return true;
  if (guarantee == Guarantee::kTooOld)
    return code == ResultCode::kIssueTimeTooOld;
  return guarantee == Guarantee::kUnknown &&
         (code == ResultCode::kOutcomeUnknown ||
          code == ResultCode::kCallInProgress);
}

std::vector<PlannedFault> AllCells() {
  std::vector<PlannedFault> cells;
  for (size_t fault = 0; fault < kFaults; ++fault) {
    for (size_t step = 0; step < kSteps; ++step) {
      const PlannedFault cell{static_cast<Fault>(fault),
                              static_cast<Step>(step), 0};
      if (GuaranteeOf(cell.fault, cell.step) != Guarantee::kNone)
        cells.push_back(cell);
    }
  }
  return cells;
}

std::string NameOf(const PlannedFault& cell) {
  return std::string(kFaultNames.NameOf(cell.fault)) + " at " +
         std::string(kStepNames.NameOf(cell.step));
}

// Host a owns the shard and the first send goes to host b. A second caller
// sends the same call to host c after all faults have ended. Calls with other
// keys cause further writes of the shard.
std::unique_ptr<Simulation> RunScenario(SimulationOptions options) {
  auto simulation = std::make_unique<Simulation>(std::move(options));
  simulation->StartCaller("key-0", 1, milliseconds(10), seconds(14));
  simulation->StartCaller("key-0", 2, seconds(15), seconds(40));
  for (int i = 1; i <= 8; ++i)
    simulation->StartCaller("other-" + std::to_string(i),
                            static_cast<size_t>(i), milliseconds(1100 * i),
                            seconds(20));
  simulation->Run(seconds(41));
  return simulation;
}

TEST_CASE("each fault at each step keeps its guarantee") {
  for (const bool status_call : {false, true}) {
    for (const PlannedFault& cell : AllCells()) {
      INFO(NameOf(cell) << (status_call ? " with a status call" : ""));
      SimulationOptions options;
      options.plan = {cell};
      options.status_call = status_call;
      const auto simulation = RunScenario(options);
      CHECK(simulation->applied_faults() == 1);
      CHECK(simulation->Violation() == "");
      const auto last = simulation->LastResult("key-0");
      REQUIRE(last);
      INFO(common::InfoOf(last->code).name);
      CHECK(Satisfies(GuaranteeOf(cell.fault, cell.step), last->code));
      CHECK(simulation->Executions("key-0") <= 1);
    }
  }
}

// Visits pairs until `visit` returns false. The second fault is injected at the
// first, second or third occurrence of its step.
template <typename Visit>
void ForEachPair(size_t stride, Visit visit) {
  const std::vector<PlannedFault> cells = AllCells();
  size_t number = 0;
  for (const PlannedFault& first : cells) {
    for (PlannedFault second : cells) {
      if (number++ % stride != 0)
        continue;
      second.occurrence = static_cast<int>(number / stride % 3);
      if (!visit(first, second, number))
        return;
    }
  }
}

TEST_CASE("pairs of faults never break a guarantee") {
  size_t runs = 0;
  // A stride that is coprime to the number of cells covers every cell.
  ForEachPair(
      FromEnvironment("JOURNAL_PAIR_STRIDE", 7),
      [&](const PlannedFault& first, const PlannedFault& second,
          size_t number) {
        SimulationOptions options;
        options.seed = number;
        options.plan = {first, second};
        options.seal_threshold_bytes = number % 2 == 0 ? 300 : 64 * 1024;
        options.status_call = number % 3 == 0;
        const auto simulation = RunScenario(options);
        ++runs;
        INFO(NameOf(first) << " and " << NameOf(second) << " ("
                           << second.occurrence << "), seed " << number);
        CHECK(simulation->Violation() == "");
        const auto last = simulation->LastResult("key-0");
        REQUIRE(last);
        INFO(common::InfoOf(last->code).name);
        const bool clock = first.fault == Fault::kClockAhead ||
                           second.fault == Fault::kClockAhead;
        CHECK((Satisfies(Guarantee::kUnknown, last->code) ||
               (clock && Satisfies(Guarantee::kTooOld, last->code))));
        return true;
      });
  CHECK(runs > 2000);
}

std::unique_ptr<Simulation> RunRandom(uint64_t seed,
                                      const Mechanisms& mechanisms) {
  common::Random random(seed);
  const std::vector<PlannedFault> cells = AllCells();
  SimulationOptions options;
  options.seed = seed;
  options.jitter = true;
  options.mechanisms = mechanisms;
  options.status_call = random.NextBelow(3) == 0;
  options.seal_threshold_bytes = random.NextBelow(2) == 0 ? 300 : 64 * 1024;
  const uint64_t faults = 1 + random.NextBelow(6);
  for (uint64_t i = 0; i < faults; ++i) {
    PlannedFault fault = cells[random.NextBelow(cells.size())];
    fault.occurrence = static_cast<int>(random.NextBelow(4));
    options.plan.push_back(fault);
  }
  auto simulation = std::make_unique<Simulation>(options);
  for (uint64_t i = 0; i < 12; ++i)
    simulation->StartCaller("key-" + std::to_string(random.NextBelow(4)),
                            random.NextBelow(Simulation::kHosts),
                            milliseconds(random.NextBelow(9000)), seconds(20));
  simulation->Run(seconds(22));
  return simulation;
}

TEST_CASE("random interleavings never break a guarantee") {
  const uint64_t seeds = FromEnvironment("JOURNAL_RANDOM_SEEDS", 1500);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto simulation = RunRandom(seed, {});
    INFO("seed " << seed);
    REQUIRE(simulation->Violation() == "");
  }
}

// Guards against hosts that take a shard from each other so often that none can
// commit a change.
TEST_CASE("both sides of a partition complete their calls") {
  SimulationOptions options;
  options.jitter = true;
  options.plan = {{Fault::kPartition, Step::kPermitRequest, 0}};
  Simulation simulation(options);
  simulation.StartCaller("key-0", 1, milliseconds(1), seconds(20));
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i)
    simulation.StartCaller("call-" + std::to_string(i),
                           static_cast<size_t>(i % 3),
                           milliseconds(500 + i * 50), seconds(20));
  simulation.Run(seconds(5));
  CHECK(simulation.Violation() == "");
  int done = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto last = simulation.LastResult("call-" + std::to_string(i));
    done += last && last->code == ResultCode::kOk;
  }
  CHECK(done >= kCalls * 9 / 10);
  // A host that lost a shard does not take it over again for 200 ms, so two
  // shards, three hosts and 5 s allow 150 takeovers.
  CHECK(simulation.Takeovers() <= 150);
  if (FromEnvironment("JOURNAL_MATRIX_PRINT", 0) > 0)
    WARN(done << " calls done, " << simulation.Takeovers() << " takeovers");
}

// Guards against a matrix that passes without the mechanisms that the
// guarantees depend on.
TEST_CASE("the matrix finds a violation when a mechanism is disabled") {
  struct DisabledMechanism {
    std::string_view name;
    bool Mechanisms::*mechanism;
    // Faults known to cause a violation; tried first because the search over
    // all pairs takes longer.
    std::array<PlannedFault, 2> known_faults = {};
  };
  constexpr std::array kDisabledMechanisms = {
      DisabledMechanism{"conditional writes", &Mechanisms::conditional_writes},
      DisabledMechanism{"read-back of lost replies",
                        &Mechanisms::read_back,
                        {PlannedFault{Fault::kLost, Step::kIntentWrite},
                         PlannedFault{Fault::kOwnerCrash, Step::kRun}}},
      DisabledMechanism{"single use of a permit", &Mechanisms::single_use},
      DisabledMechanism{"no resend after the first byte",
                        &Mechanisms::no_resend},
      DisabledMechanism{"commit before the grant", &Mechanisms::commit_first},
      DisabledMechanism{"permits bound to a call", &Mechanisms::bound_permits},
      DisabledMechanism{"report of the first byte", &Mechanisms::first_byte},
      DisabledMechanism{
          "stored retention floor",
          &Mechanisms::stored_floor,
          {PlannedFault{Fault::kClockAhead, Step::kOutcome},
           PlannedFault{Fault::kOwnerCrash, Step::kOutcomeReply}}},
      DisabledMechanism{"search in sealed segments",
                        &Mechanisms::sealed_search},
  };
  for (const DisabledMechanism& disabled : kDisabledMechanisms) {
    std::string found;
    auto search = [&](const PlannedFault& first, const PlannedFault& second) {
      SimulationOptions options;
      options.plan = {first, second};
      options.seal_threshold_bytes = 300;
      options.mechanisms.*disabled.mechanism = false;
      found = RunScenario(options)->Violation();
      if (!found.empty())
        found += ", by " + NameOf(first) + " and " + NameOf(second);
      return found.empty();
    };
    search(disabled.known_faults[0], disabled.known_faults[1]);
    for (const PlannedFault& cell : AllCells()) {
      if (found.empty())
        search(cell, {cell.fault, cell.step, 1});
    }
    if (found.empty())
      ForEachPair(5, [&](const PlannedFault& first, const PlannedFault& second,
                         size_t) { return search(first, second); });
    for (uint64_t seed = 1; seed <= 1500 && found.empty(); ++seed) {
      Mechanisms mechanisms;
      mechanisms.*disabled.mechanism = false;
      found = RunRandom(seed, mechanisms)->Violation();
      if (!found.empty())
        found += ", by random seed " + std::to_string(seed);
    }
    INFO(disabled.name);
    CHECK(found != "");
    if (FromEnvironment("JOURNAL_MATRIX_PRINT", 0) > 0)
      WARN(disabled.name << ": " << found);
  }
}

}  // namespace
}  // namespace jujuberock::journal
