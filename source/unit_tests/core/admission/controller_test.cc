#include "core/admission/controller.h"

#include <catch2/catch.hpp>

#include "core/admission/retry_budget.h"
#include "core/common/random.h"

namespace jujuberock::admission {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(double s) {
  return TimePoint(common::FromSeconds(s));
}

AdmissionRequest Request(const char* team, double now, double patience) {
  return {team, "s", At(now + patience), 1, Duration(0)};
}

// Runs one request so that the controller has an average running time.
void RecordRunTime(Controller& controller, double run_seconds) {
  const Decision first = controller.Submit(Request("first", 0, 60), At(0));
  controller.Finish(first.ticket, At(run_seconds));
}

TEST_CASE("the shorter of configured and caller patience sets the deadline") {
  CHECK(DeadlineOf(At(1), seconds(2), Duration(0)) == At(3));
  CHECK(DeadlineOf(At(1), seconds(2), seconds(1)) == At(2));
  CHECK(DeadlineOf(At(1), seconds(2), seconds(9)) == At(3));
}

TEST_CASE("a request that can not start in time is refused at once") {
  Controller controller;
  controller.SetService("s", 1, 100);
  RecordRunTime(controller, 1);
  CHECK(controller.Submit(Request("a", 1, 0.5), At(1)).state ==
        DecisionState::kAdmitted);
  const Decision late = controller.Submit(Request("a", 1, 0.5), At(1));
  CHECK(late.state == DecisionState::kRefused);
  CHECK(late.code == common::ResultCode::kDeadlineUnreachable);
  CHECK(late.retry_after >= milliseconds(200));
  CHECK(controller.queued("a") == 0);
  // The predicted first token counts too, even on an idle service.
  AdmissionRequest slow = Request("b", 1, 2);
  slow.predicted_first_token = seconds(3);
  CHECK(controller.Submit(slow, At(1)).code ==
        common::ResultCode::kDeadlineUnreachable);
}

// A limit that grows between two ticks lets a queued request start when the
// next one arrives. If the controller mistook that for the admission of the new
// request, the queued one would never be answered.
TEST_CASE("a queued request admitted by a later submit is reported") {
  Controller controller;
  controller.SetService("s", 1, 100);
  RecordRunTime(controller, 0.01);
  REQUIRE(controller.Submit(Request("a", 1, 9), At(1)).state ==
          DecisionState::kAdmitted);
  const Decision waiting = controller.Submit(Request("a", 1, 9), At(1));
  REQUIRE(waiting.state == DecisionState::kQueued);
  controller.SetService("s", 2, 100);
  const Decision next = controller.Submit(Request("a", 1, 9), At(1));
  CHECK(next.state == DecisionState::kQueued);
  CHECK(next.also_admitted == std::vector<Ticket>{waiting.ticket});
  CHECK(controller.service_running("s") == 2);
}

// Predictions are accurate on idle endpoints and too short on busy ones.
TEST_CASE("a prediction gets a safety factor only while others run") {
  Controller controller;
  controller.SetService("s", 1, 100);
  RecordRunTime(controller, 0.01);
  AdmissionRequest request = Request("a", 1, 2);
  request.predicted_first_token = milliseconds(1600);
  CHECK(controller.Submit(request, At(1)).state == DecisionState::kAdmitted);
  CHECK(controller.Submit(request, At(1)).code ==
        common::ResultCode::kDeadlineUnreachable);
}

TEST_CASE("a queued request that becomes late expires and frees its place") {
  Controller controller;
  controller.SetService("s", 1, 1);
  RecordRunTime(controller, 0.1);
  const Decision running = controller.Submit(Request("a", 1, 9), At(1));
  const Decision waiting = controller.Submit(Request("a", 1, 2), At(1));
  CHECK(waiting.state == DecisionState::kQueued);
  CHECK(controller.Submit(Request("a", 1, 2), At(1)).code ==
        common::ResultCode::kQueueFull);
  // Skipped when capacity frees up after its deadline, reported by the tick.
  CHECK(controller.Finish(running.ticket, At(4)).empty());
  CHECK(controller.OnTick(At(4)).expired == std::vector{waiting.ticket});
  CHECK(controller.OnTick(At(4)).expired.empty());
  CHECK(controller.Submit(Request("a", 4, 2), At(4)).state ==
        DecisionState::kAdmitted);
}

TEST_CASE("a team at its limit does not block others") {
  Controller controller;
  controller.SetService("s", 10, 100);
  controller.SetTeam("a", 1, 1);
  RecordRunTime(controller, 1);
  const Decision a1 = controller.Submit(Request("a", 1, 9), At(1));
  const Decision a2 = controller.Submit(Request("a", 1, 9), At(1));
  CHECK(a2.state == DecisionState::kQueued);
  CHECK(controller.Submit(Request("b", 1, 9), At(1)).state ==
        DecisionState::kAdmitted);
  const Decision refused = controller.Submit(Request("a", 1, 0.5), At(1));
  CHECK(refused.code == common::ResultCode::kTeamLimit);
  CHECK(controller.Finish(a1.ticket, At(2)) == std::vector{a2.ticket});
  // A smaller limit stops no running request; a larger one admits at the next
  // tick.
  const Decision a3 = controller.Submit(Request("a", 2, 9), At(2));
  CHECK(a3.state == DecisionState::kQueued);
  controller.SetTeam("a", 1, 2);
  CHECK(controller.OnTick(At(2)).admitted == std::vector{a3.ticket});
  CHECK(controller.running("a") == 2);
}

TEST_CASE("a caller that gives up while queued is removed") {
  Controller controller;
  controller.SetService("s", 1, 10);
  RecordRunTime(controller, 1);
  const Decision first = controller.Submit(Request("a", 1, 99), At(1));
  const Decision second = controller.Submit(Request("a", 1, 99), At(1));
  const Decision third = controller.Submit(Request("a", 1, 99), At(1));
  CHECK(controller.Finish(second.ticket, At(1)).empty());
  CHECK(controller.Finish(first.ticket, At(2)) == std::vector{third.ticket});
  CHECK(controller.Finish(second.ticket, At(2)).empty());
}

// Keeps every team backlogged and returns each team's share of the served
// requests.
std::vector<double> Shares(const FairSchedulerFactory& make_scheduler) {
  const std::vector<std::pair<const char*, double>> teams = {
      {"a", 1}, {"b", 2}, {"c", 5}};
  Controller controller(make_scheduler);
  controller.SetService("s", 1, 1000);
  std::map<Ticket, size_t> team_of;
  std::vector<double> served(teams.size());
  common::Random random(7);
  const auto submit = [&](size_t i) {
    AdmissionRequest request{teams[i].first, "s", At(1e6),
                             1 + 9 * random.NextDouble(), Duration(0)};
    const Decision decision = controller.Submit(request, At(0));
    team_of[decision.ticket] = i;
    return decision;
  };
  Ticket running = 0;
  std::map<Ticket, double> cost;
  for (size_t i = 0; i < teams.size(); ++i) {
    controller.SetTeam(teams[i].first, teams[i].second, UINT32_MAX);
    for (int k = 0; k < 5; ++k) {
      const Decision decision = submit(i);
      if (decision.state == DecisionState::kAdmitted)
        running = decision.ticket;
    }
  }
  for (int step = 0; step < 4000; ++step) {
    const auto next = controller.Finish(running, At(0));
    REQUIRE(next.size() == 1);
    running = next.front();
    served[team_of[running]] += 1.0 / 4000;
    submit(team_of[running]);
  }
  return served;
}

TEST_CASE("backlogged teams are served by weight") {
  for (const FairSchedulerFactory& make_scheduler :
       {FairSchedulerFactory(MakeStartTimeFairScheduler),
        FairSchedulerFactory(MakeDeficitRoundRobin)}) {
    const auto shares = Shares(make_scheduler);
    CHECK(shares[0] == Approx(1.0 / 8).epsilon(0.1));
    CHECK(shares[1] == Approx(2.0 / 8).epsilon(0.1));
    CHECK(shares[2] == Approx(5.0 / 8).epsilon(0.1));
  }
}

// A busy team whose queue is briefly empty must not lose its share.
TEST_CASE("a team catches up within the credit after an empty queue") {
  const auto scheduler = MakeStartTimeFairScheduler();
  scheduler->OnWaiting("a");
  scheduler->OnWaiting("b");
  const std::vector<QueueHead> only_a = {{"a", 1, 1}};
  for (int i = 0; i < 100; ++i)
    scheduler->Pick(only_a);
  scheduler->OnWaiting("b");
  const std::vector<QueueHead> both = {{"a", 1, 1}, {"b", 1, 1}};
  CHECK(scheduler->CreditOf("b", 1) > 1);
  int b_picks = 0;
  while (both[scheduler->Pick(both)].team == "b")
    ++b_picks;
  CHECK(b_picks > 1);
  CHECK(b_picks < 12);
}

TEST_CASE("retries stay within a share of first attempts") {
  RetryBudget budget;
  budget.SetShare("s", 0.1);
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnRequest("s");
    // Every attempt fails, and each failure asks for two retries.
    retries += budget.TryRetry("s") + budget.TryRetry("s");
  }
  CHECK(retries <= 100 + RetryBudget::kMaxBalance);
  CHECK(retries >= 100);
  budget.SetShare("none", 0);
  CHECK_FALSE(budget.TryRetry("none"));
}

}  // namespace
}  // namespace jujuberock::admission
