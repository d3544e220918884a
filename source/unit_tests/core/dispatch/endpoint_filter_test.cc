#include "core/dispatch/endpoint_filter.h"

#include <catch2/catch.hpp>

#include "core/dispatch/service_pool.h"

namespace jujuberock::dispatch {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

catalog::Endpoint MakeEndpoint(std::optional<Duration> cold_left, int read_ms) {
  catalog::Endpoint endpoint;
  endpoint.id = "e";
  endpoint.zone = "z1";
  endpoint.slots = 8;
  endpoint.cold_left = cold_left;
  endpoint.read_at = At(read_ms);
  return endpoint;
}

// The endpoints of a service with a cold limit, on the only host.
struct Fixture {
  HostRanking hosts;
  catalog::Evacuations evacuations;
  catalog::Service service;
  ServicePool pool{"z1", 1, 11, FilterInputs{&this->hosts, &this->evacuations}};
  SendRequirements requirements;

  Fixture() {
    this->hosts.SetHosts({"own"}, "own");
    this->service.cold_rate = 2.5;
    this->service.cold_time = seconds(3);
  }

  void Register(std::optional<Duration> cold_left, int read_ms) {
    this->pool.Update(this->service, {MakeEndpoint(cold_left, read_ms)});
  }
  bool Send(int ms) {
    const auto choice = this->pool.Choose(this->requirements, At(ms));
    if (!choice)
      return false;
    SendTicket ticket;
    choice->endpoint->OnSent(ticket, At(ms));
    return true;
  }
  uint64_t Count(Exclusion exclusion, int ms) const {
    return this->pool.CountExclusions(this->requirements,
                                      At(ms))[static_cast<size_t>(exclusion)];
  }
};

// Guards against crashes of cold endpoints by requests, moves or retries: all
// of them ask for a choice and are recorded as sends.
TEST_CASE(
    "a cold endpoint takes its rate, then requests wait for the next share") {
  Fixture f;
  f.Register(seconds(3), 0);
  CHECK(f.Send(10));
  CHECK(f.Send(20));
  CHECK_FALSE(f.Send(30));
  CHECK(f.Count(Exclusion::kCold, 30) == 1);
  CHECK(f.pool.PauseLeft(f.requirements, At(30)) == milliseconds(980));
  CHECK(f.Send(1010));
  CHECK_FALSE(f.Send(1015));
}

TEST_CASE("a service without a cold rate has no limit") {
  Fixture f;
  f.service.cold_rate = 0;
  f.Register(seconds(3), 0);
  for (int i = 0; i < 20; ++i)
    CHECK(f.Send(i));
}

// Guards against a rush on an endpoint whose entry says nothing of its state
// when it appears.
TEST_CASE("a new endpoint is cold until its entry tells") {
  Fixture f;
  f.Register(std::nullopt, 0);
  const auto record = f.pool.Find("e");
  CHECK(f.pool.ColdStateOf(*record, At(2999)) == ColdState::kCold);
  CHECK(f.pool.ColdStateOf(*record, At(4000)) == ColdState::kWarm);
  f.Register(Duration(0), 5000);
  CHECK(f.pool.ColdStateOf(*record, At(5000)) == ColdState::kWarm);
  // It may turn cold again at any moment.
  f.Register(milliseconds(2500), 6000);
  CHECK(f.pool.ColdStateOf(*record, At(6001)) == ColdState::kCold);
  // Other changes of the view bring the same entry again.
  f.Register(milliseconds(2500), 6000);
  CHECK(f.pool.ColdStateOf(*record, At(8500)) == ColdState::kWarming);
}

// Guards against a rush on an endpoint that has restarted under its id and
// address before its registration says so.
TEST_CASE("an endpoint whose process may be another one is cold for a while") {
  Fixture f;
  f.Register(Duration(0), 0);
  const auto record = f.pool.Find("e");
  record->process().OnConnected(At(100));
  record->process().OnClosed(At(1000), At(1000));
  record->process().OnConnectFailed(At(1300));
  CHECK(f.pool.ColdStateOf(*record, At(1300)) == ColdState::kCold);
  record->process().OnConnected(At(2000));
  f.pool.Tick(At(4900));
  CHECK(f.pool.ColdStateOf(*record, At(4999)) == ColdState::kCold);
  // The process that accepted the connection has run since, so it is warm.
  f.pool.Tick(At(5000));
  CHECK(f.pool.ColdStateOf(*record, At(5000)) == ColdState::kWarming);
  CHECK(f.pool.ColdStateOf(*record, At(6000)) == ColdState::kWarm);
}

// Guards against new requests to a zone that the operator empties, and against
// a rush when it is taken back.
TEST_CASE("an evacuated zone takes nothing, and little when it is taken back") {
  Fixture f;
  f.Register(Duration(0), 0);
  f.evacuations.OnStored("z1", {1, 10, false}, At(100));
  CHECK_FALSE(f.Send(100));
  CHECK(f.Count(Exclusion::kEvacuated, 100) == 1);
  // Refused at once: nothing tells when the evacuation ends.
  CHECK(f.pool.PauseLeft(f.requirements, At(100)) == seconds(1));
  const auto change = f.evacuations.OnStored("z1", {1, 20, true}, At(9000));
  REQUIRE(change);
  f.pool.OnZoneReturned(change->zone_hash, At(10700));
  CHECK(f.Send(9000));
  CHECK(f.Send(9001));
  CHECK_FALSE(f.Send(9002));
  CHECK(f.pool.ColdStateOf(*f.pool.Find("e"), At(11700)) == ColdState::kWarm);
}

// Guards against requests that leave the regions which may see them.
TEST_CASE("endpoints outside the homes of the route or the team are excluded") {
  Fixture f;
  f.Register(Duration(0), 0);
  const catalog::ZoneRegions regions({{"z1", "north"}, {"z2", "south"}});
  const std::vector<std::string> any;
  const std::vector<std::string> north = {"north"};
  const std::vector<std::string> south = {"south"};
  f.requirements.homes = {regions, any, any};
  CHECK(f.Send(0));
  f.requirements.homes = {regions, north, any};
  CHECK(f.Send(1));
  f.requirements.homes = {regions, north, south};
  CHECK_FALSE(f.Send(2));
  CHECK(f.Count(Exclusion::kOutsideHome, 2) == 1);
}

// Guards against crashes of an endpoint that has just come back: it has not
// answered yet, and another one of its service says that all are brittle.
TEST_CASE("what one endpoint says of refusals is assumed of the others") {
  Fixture f;
  catalog::Endpoint other = MakeEndpoint(Duration(0), 0);
  other.id = "other";
  f.pool.Update(f.service, {MakeEndpoint(Duration(0), 0), other});
  CHECK(f.Count(Exclusion::kBrittle, 0) == 0);
  const auto record = f.pool.Find("e");
  for (int i = 0; i < 20; ++i) {
    SendTicket ticket;
    record->OnSent(ticket, At(0));
  }
  f.pool.OnBrittle(*f.pool.Find("other"), 4, At(0));
  CHECK(f.pool.IsBrittle(At(0)));
  CHECK(f.Count(Exclusion::kBrittle, 0) == 1);
  f.pool.OnBrittle(*record, std::nullopt, At(1));
  CHECK(f.Count(Exclusion::kBrittle, 1) == 0);
  f.pool.OnBrittle(*record, 4, At(2));
  CHECK(f.Count(Exclusion::kBrittle, 2) == 1);
  // It has not been heard of for long.
  CHECK(f.Count(Exclusion::kBrittle, 10002) == 0);
}

}  // namespace
}  // namespace jujuberock::dispatch
