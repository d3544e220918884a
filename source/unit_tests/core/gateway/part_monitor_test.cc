#include "core/gateway/part_monitor.h"

#include <catch2/catch.hpp>

namespace jujuberock::gateway {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

dispatch::Prompt MakePrompt() {
  dispatch::Prompt prompt;
  prompt.parts = {{"shared", 100}, {"cause", 100}, {"own", 50}};
  return prompt;
}

dispatch::SendTicket Sent(int ms) {
  dispatch::SendTicket ticket;
  ticket.sent_at = At(ms);
  return ticket;
}

dispatch::SendTicket Started(int sent_ms, int started_ms) {
  dispatch::SendTicket ticket = Sent(sent_ms);
  ticket.started = true;
  ticket.started_at = At(started_ms);
  return ticket;
}

struct Fixture {
  suspects::PartSuspects suspects;
  dispatch::Prompt prompt = MakePrompt();
  PartMonitor monitor{this->suspects, &this->prompt};

  void Crash(const std::string& endpoint, int ms) {
    this->suspects.OnEndpointCrash(
        endpoint, this->monitor.PossibleCauses(Sent(ms - 100), At(ms)), At(ms));
  }
};

TEST_CASE("the last part belongs to the request alone") {
  Fixture f;
  const auto causes = f.monitor.PossibleCauses(Sent(0), At(10));
  REQUIRE(causes.size() == 2);
  CHECK(causes[0].part == suspects::PartFingerprintOf("shared"));
  CHECK(causes[1].part == suspects::PartFingerprintOf("cause"));
  CHECK(causes[1].sent_at == At(0));
}

TEST_CASE("a request without a prompt has no parts") {
  suspects::PartSuspects suspects;
  const PartMonitor monitor(suspects, nullptr);
  CHECK(monitor.PossibleCauses(Sent(0), At(10)).empty());
  CHECK_FALSE(monitor.FindBlocked(At(0)));
}

// Guards against suspecting the runs that an endpoint was answering well when
// another request crashed it.
TEST_CASE("a run that has been answered for a while is not the cause") {
  Fixture f;
  CHECK(f.monitor.PossibleCauses(Started(0, 100), At(400)).size() == 2);
  CHECK(f.monitor.PossibleCauses(Started(0, 100), At(700)).empty());
}

TEST_CASE("the blocked part is named") {
  Fixture f;
  for (int i = 0; i < 3; ++i) {
    f.Crash("e" + std::to_string(i), 1000 * i);
    f.suspects.OnSound(std::vector{suspects::PartFingerprintOf("shared")},
                       At(1000 * i + 10), At(1000 * i + 20));
  }
  f.suspects.Tick(At(3000));
  CHECK(f.monitor.FindBlocked(At(3000)) == "cause");
}

// Guards against learning only at the end of a long stream that its parts are
// sound.
TEST_CASE("a run shows that its parts are sound while it goes on") {
  Fixture f;
  for (int i = 0; i < 3; ++i)
    f.Crash("e" + std::to_string(i), 1000 * i);
  f.monitor.OnSent();
  f.monitor.OnEvent(Started(2000, 2100), At(2200));
  f.suspects.Tick(At(2400));
  f.monitor.OnEvent(Started(2000, 2100), At(2650));
  f.suspects.Tick(At(3000));
  CHECK_FALSE(f.monitor.FindBlocked(At(3000)));
}

}  // namespace
}  // namespace jujuberock::gateway
