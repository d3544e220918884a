// Faults at every step of a non-idempotent call, alone, in pairs and at random.
// Guards against a second execution, a false "not run", and an answer that is
// lost although it was recorded.

#include <array>
#include <catch2/catch.hpp>
#include <cstdlib>

#include "world.h"

namespace jujuberock::journal {
namespace {

using common::ResultCode;
using std::chrono::milliseconds;
using std::chrono::seconds;

// What a cell promises besides "never twice" and "not run only if not run".
enum class Promise {
  kAnswer,   // a later send gets the saved answer
  kUnknown,  // the answer, or that the call may have run
  kTooOld,   // the answer, or a refusal because of the issue time
  kNone,     // the cell can not occur
};

// One row for each fault, one letter for each step.
// A answer, U may stay unknown, R may be refused as too old; the others say
// why the cell can not occur.
constexpr std::array<std::string_view, kFaults> kCells = {
    // ask, head_read, takeover_write, intent_write, grant, forward, run,
    // answer, outcome, outcome_write, outcome_reply
    "UUUUUUUUAAA",  // host_crash: it may have used the permit
    "AAAAAAAAAAA",  // owner_crash
    "AAAAAAAAAAA",  // host_pause
    "AAAAAAAAAAA",  // owner_pause
    "AAAAAAAAAAA",  // short_outage
    "AAAAAAAAAAA",  // long_outage
    "AAAAAAUUAAA",  // lost: after the first byte nobody can know
    "sAAAsssssAs",  // reply_lost
    "wwAAwwwwwAw",  // late_effect
    "AAAAAAUAAAA",  // delayed: the bytes outlive their connection
    "AnAAAcccAAA",  // duplicated
    "AAAAAAAAAAA",  // split_view
    "AAAAAAAAAAA",  // same_key
    "RRRRRRRRRRR",  // clock_ahead
    "AAAAAAAAAAA",  // cut
};

std::string_view ReasonOf(char cell) {
  switch (cell) {
    case 's':
      return "the reply is a step of its own";
    case 'w':
      return "only a platform write can take effect late";
    case 'n':
      return "a read twice is a read";
    case 'c':
      return "a connection delivers its bytes once";
    default:
      return "";
  }
}

Promise PromiseOf(Fault fault, Step step) {
  const char cell =
      kCells[static_cast<size_t>(fault)][static_cast<size_t>(step)];
  if (!ReasonOf(cell).empty())
    return Promise::kNone;
  if (cell == 'U')
    return Promise::kUnknown;
  return cell == 'R' ? Promise::kTooOld : Promise::kAnswer;
}

// Longer runs than the default are for looking into a change of the protocol.
uint64_t FromEnvironment(const char* name, uint64_t otherwise) {
  const char* value = std::getenv(name);
  return value ? std::strtoull(value, nullptr, 10) : otherwise;
}

bool Keeps(Promise promise, ResultCode code) {
  if (code == ResultCode::kOk)
    return true;
  if (promise == Promise::kTooOld)
    return code == ResultCode::kIssueTimeTooOld;
  return promise == Promise::kUnknown && (code == ResultCode::kOutcomeUnknown ||
                                          code == ResultCode::kCallInProgress);
}

std::vector<PlannedFault> AllCells() {
  std::vector<PlannedFault> cells;
  for (size_t fault = 0; fault < kFaults; ++fault) {
    for (size_t step = 0; step < kSteps; ++step) {
      const PlannedFault cell{static_cast<Fault>(fault),
                              static_cast<Step>(step), 0};
      if (PromiseOf(cell.fault, cell.step) != Promise::kNone)
        cells.push_back(cell);
    }
  }
  return cells;
}

std::string NameOf(const PlannedFault& cell) {
  return std::string(kFaultNames.NameOf(cell.fault)) + " at " +
         std::string(kStepNames.NameOf(cell.step));
}

// The first send goes to host b while a owns the shard. A second caller sends
// the same call to host c when every fault is over. Other keys keep the shard
// writing.
std::unique_ptr<World> RunScenario(WorldOptions options) {
  auto world = std::make_unique<World>(std::move(options));
  world->StartCaller("key-0", 1, milliseconds(10), seconds(14));
  world->StartCaller("key-0", 2, seconds(15), seconds(40));
  for (int i = 1; i <= 8; ++i)
    world->StartCaller("other-" + std::to_string(i), static_cast<size_t>(i),
                       milliseconds(1100 * i), seconds(20));
  world->Run(seconds(41));
  return world;
}

TEST_CASE("each fault at each step keeps its promise") {
  for (const bool status_call : {false, true}) {
    for (const PlannedFault& cell : AllCells()) {
      INFO(NameOf(cell) << (status_call ? " with a status call" : ""));
      WorldOptions options;
      options.plan = {cell};
      options.status_call = status_call;
      const auto world = RunScenario(options);
      CHECK(world->struck() == 1);
      CHECK(world->Violation() == "");
      const auto last = world->LastResult("key-0");
      REQUIRE(last);
      INFO(common::InfoOf(last->code).name);
      CHECK(Keeps(PromiseOf(cell.fault, cell.step), last->code));
      CHECK(world->Executions("key-0") <= 1);
    }
  }
}

// Visits pairs until `visit` returns false. The second fault may strike the
// first or a later occurrence of its step.
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
  // A stride that is coprime to the number of cells meets every cell.
  ForEachPair(FromEnvironment("JOURNAL_PAIR_STRIDE", 7),
              [&](const PlannedFault& first, const PlannedFault& second,
                  size_t number) {
                WorldOptions options;
                options.seed = number;
                options.plan = {first, second};
                options.head_bytes = number % 2 == 0 ? 300 : 64 * 1024;
                options.status_call = number % 3 == 0;
                const auto world = RunScenario(options);
                ++runs;
                INFO(NameOf(first)
                     << " and " << NameOf(second) << " (" << second.occurrence
                     << "), seed " << number);
                CHECK(world->Violation() == "");
                const auto last = world->LastResult("key-0");
                REQUIRE(last);
                INFO(common::InfoOf(last->code).name);
                const bool clock = first.fault == Fault::kClockAhead ||
                                   second.fault == Fault::kClockAhead;
                CHECK((Keeps(Promise::kUnknown, last->code) ||
                       (clock && Keeps(Promise::kTooOld, last->code))));
                return true;
              });
  CHECK(runs > 2000);
}

std::unique_ptr<World> RunRandom(uint64_t seed, const Mechanisms& mechanisms) {
  common::Random random(seed);
  const std::vector<PlannedFault> cells = AllCells();
  WorldOptions options;
  options.seed = seed;
  options.jitter = true;
  options.mechanisms = mechanisms;
  options.status_call = random.Below(3) == 0;
  options.head_bytes = random.Below(2) == 0 ? 300 : 64 * 1024;
  const uint64_t faults = 1 + random.Below(6);
  for (uint64_t i = 0; i < faults; ++i) {
    PlannedFault fault = cells[random.Below(cells.size())];
    fault.occurrence = static_cast<int>(random.Below(4));
    options.plan.push_back(fault);
  }
  auto world = std::make_unique<World>(options);
  for (uint64_t i = 0; i < 12; ++i)
    world->StartCaller("key-" + std::to_string(random.Below(4)),
                       random.Below(World::kHosts),
                       milliseconds(random.Below(9000)), seconds(20));
  world->Run(seconds(22));
  return world;
}

TEST_CASE("random interleavings never break a guarantee") {
  const uint64_t seeds = FromEnvironment("JOURNAL_RANDOM_SEEDS", 1500);
  for (uint64_t seed = 1; seed <= seeds; ++seed) {
    const auto world = RunRandom(seed, {});
    INFO("seed " << seed);
    REQUIRE(world->Violation() == "");
  }
}

// Guards against hosts that take a shard from each other so often that none
// commits anything.
TEST_CASE("both sides of a cut get their calls through") {
  WorldOptions options;
  options.jitter = true;
  options.plan = {{Fault::kCut, Step::kAsk, 0}};
  World world(options);
  world.StartCaller("key-0", 1, milliseconds(1), seconds(20));
  constexpr int kCalls = 60;
  for (int i = 0; i < kCalls; ++i)
    world.StartCaller("call-" + std::to_string(i), static_cast<size_t>(i % 3),
                      milliseconds(500 + i * 50), seconds(20));
  world.Run(seconds(5));
  CHECK(world.Violation() == "");
  int done = 0;
  for (int i = 0; i < kCalls; ++i) {
    const auto last = world.LastResult("call-" + std::to_string(i));
    done += last && last->code == ResultCode::kOk;
  }
  CHECK(done >= kCalls * 9 / 10);
  // A host that lost a shard leaves it alone for 200 ms: two shards, three
  // hosts and 5 s allow 150.
  CHECK(world.Takeovers() <= 150);
  if (FromEnvironment("JOURNAL_MATRIX_PRINT", 0) > 0)
    WARN(done << " calls done, " << world.Takeovers() << " takeovers");
}

// The matrix is of no use if it passes without the mechanism that a guarantee
// rests on.
TEST_CASE("the matrix finds the violation when a mechanism is off") {
  struct Off {
    std::string_view name;
    bool Mechanisms::*mechanism;
    // Tried before the search over all pairs, which takes longer.
    std::array<PlannedFault, 2> known = {};
  };
  constexpr std::array kOff = {
      Off{"conditional writes", &Mechanisms::conditional_writes},
      Off{"read-back of lost answers",
          &Mechanisms::read_back,
          {PlannedFault{Fault::kLost, Step::kIntentWrite},
           PlannedFault{Fault::kOwnerCrash, Step::kRun}}},
      Off{"single use of a permit", &Mechanisms::single_use},
      Off{"no resend after the first byte", &Mechanisms::no_resend},
      Off{"commit before the grant", &Mechanisms::commit_first},
      Off{"permits bound to a call", &Mechanisms::bound_permits},
      Off{"report of the first byte", &Mechanisms::first_byte},
      Off{"stored retention floor",
          &Mechanisms::stored_floor,
          {PlannedFault{Fault::kClockAhead, Step::kOutcome},
           PlannedFault{Fault::kOwnerCrash, Step::kOutcomeReply}}},
      Off{"search in sealed segments", &Mechanisms::sealed_search},
  };
  for (const Off& off : kOff) {
    std::string found;
    auto search = [&](const PlannedFault& first, const PlannedFault& second) {
      WorldOptions options;
      options.plan = {first, second};
      options.head_bytes = 300;
      options.mechanisms.*off.mechanism = false;
      found = RunScenario(options)->Violation();
      if (!found.empty())
        found += ", by " + NameOf(first) + " and " + NameOf(second);
      return found.empty();
    };
    search(off.known[0], off.known[1]);
    for (const PlannedFault& cell : AllCells()) {
      if (found.empty())
        search(cell, {cell.fault, cell.step, 1});
    }
    if (found.empty())
      ForEachPair(5, [&](const PlannedFault& first, const PlannedFault& second,
                         size_t) { return search(first, second); });
    for (uint64_t seed = 1; seed <= 1500 && found.empty(); ++seed) {
      Mechanisms mechanisms;
      mechanisms.*off.mechanism = false;
      found = RunRandom(seed, mechanisms)->Violation();
      if (!found.empty())
        found += ", by random seed " + std::to_string(seed);
    }
    INFO(off.name);
    CHECK(found != "");
    if (FromEnvironment("JOURNAL_MATRIX_PRINT", 0) > 0)
      WARN(off.name << ": " << found);
  }
}

}  // namespace
}  // namespace jujuberock::journal
