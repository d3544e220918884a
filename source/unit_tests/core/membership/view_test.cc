#include "core/membership/view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "unit_tests/core/membership/simulated_deployment.h"

namespace jujuberock::membership {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::unique_ptr<SimulatedDeployment> MakeZone(uint64_t seed, size_t hosts) {
  auto deployment = std::make_unique<SimulatedDeployment>(seed);
  for (size_t i = 0; i < hosts; ++i) {
    const std::string name = "host" + std::to_string(i);
    deployment->Write(
        {"host", name, 0, false,
         R"({"zone":"zone0","address":"127.0.0.1:1","state":"live"})", ""});
    deployment->Add(name, "zone0");
  }
  deployment->Write({"endpoint", "worker-1", 0, false,
                     R"({"service":"s","zone":"zone0","address":"127.0.0.1:2",)"
                     R"("state":"live"})",
                     ""});
  deployment->Preload();
  deployment->Run(seconds(20));
  return deployment;
}

HostState StateAt(SimulatedDeployment& deployment,
                  const std::string& observer,
                  const std::string& host) {
  const auto members = deployment.Get(observer).coordinator->Members();
  const auto found = members.find(host);
  return found == members.end() ? HostState::kDead : found->second.info.state;
}

// Whether every other running host sees `host` in this state.
bool AllSee(SimulatedDeployment& deployment,
            const std::string& host,
            HostState state) {
  return std::all_of(
      deployment.hosts.begin(), deployment.hosts.end(), [&](const auto& item) {
        const SimulatedDeployment::Host& observer = *item.second;
        return observer.killed || observer.paused || item.first == host ||
               StateAt(deployment, item.first, host) == state;
      });
}

TEST_CASE("a killed host is declared dead by its whole zone within seconds") {
  Duration worst(0);
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeZone(seed, 41);
    deployment->Get("host7").killed = true;
    const auto time = deployment->RunUntil(
        [&] { return AllSee(*deployment, "host7", HostState::kDead); },
        seconds(30));
    REQUIRE(time);
    worst = std::max(worst, *time);
  }
  std::printf(
      "a killed host is dead in the views of all 41 hosts after at most %.1f "
      "s\n",
      common::ToSeconds(worst));
}

// Without indirect probes and refutation, lost messages alone would make hosts
// declare each other dead.
TEST_CASE("lost messages alone make no host look dead") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeZone(seed, 20);
    deployment->loss_rate = 0.1;
    deployment->duplicate_rate = 0.1;
    deployment->max_jitter = milliseconds(150);
    deployment->Run(minutes(5));
    size_t deaths = 0;
    for (auto& [name, host] : deployment->hosts)
      deaths += static_cast<size_t>(
          std::count_if(host->changes.begin(), host->changes.end(),
                        [](const HostChange& change) {
                          return change.state == HostState::kDead;
                        }));
    CHECK(deaths == 0);
  }
}

// A broken path between two healthy hosts must not make them look dead.
TEST_CASE("hosts that can not reach each other are reached through others") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    auto deployment = MakeZone(seed, 8);
    deployment->is_cut = [](const SimulatedDeployment::Host& a,
                            const SimulatedDeployment::Host& b) {
      return a.name + b.name == "host1host2" || a.name + b.name == "host2host1";
    };
    deployment->Run(minutes(2));
    for (auto& [name, host] : deployment->hosts) {
      for (const HostChange& change : host->changes)
        CHECK(change.state == HostState::kAlive);
    }
  }
}

// After a pause, all acks that the host was waiting for look overdue to it.
TEST_CASE("a paused host rejoins and suspects nobody") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    auto deployment = MakeZone(seed, 20);
    // Slow answers, so that some are in flight when the pause begins.
    deployment->max_jitter = milliseconds(400);
    // Hosts probe just after each full second.
    deployment->Run(seconds(3) + milliseconds(250));
    deployment->Pause("host3");
    REQUIRE(deployment->RunUntil(
        [&] { return AllSee(*deployment, "host3", HostState::kDead); },
        seconds(30)));
    SimulatedDeployment::Host& host = deployment->Get("host3");
    host.changes.clear();
    deployment->Resume("host3");
    const auto back = deployment->RunUntil(
        [&] { return AllSee(*deployment, "host3", HostState::kAlive); },
        seconds(30));
    REQUIRE(back);
    for (const HostChange& change : host.changes)
      CHECK(change.state == HostState::kAlive);
  }
}

TEST_CASE("both halves of a zone rejoin after a partition") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeZone(seed, 10);
    const auto side = [](const SimulatedDeployment::Host& host) {
      return host.name < "host5";
    };
    deployment->is_cut = [&](const SimulatedDeployment::Host& a,
                             const SimulatedDeployment::Host& b) {
      return side(a) != side(b);
    };
    deployment->Run(minutes(3));
    CHECK(StateAt(*deployment, "host1", "host8") == HostState::kDead);
    CHECK(StateAt(*deployment, "host1", "host2") == HostState::kAlive);
    deployment->is_cut = nullptr;
    const auto time = deployment->RunUntil(
        [&] {
          return std::all_of(deployment->hosts.begin(), deployment->hosts.end(),
                             [&](auto& item) {
                               return AllSee(*deployment, item.first,
                                             HostState::kAlive);
                             });
        },
        seconds(60));
    CHECK(time);
  }
}

// One host that sees the endpoint leaving is enough, also when messages get
// lost.
TEST_CASE("a leaving endpoint is excluded in the whole zone within 3 s") {
  for (size_t observers : {size_t{1}, size_t{41}}) {
    Duration worst(0);
    double most_bytes = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      auto deployment = MakeZone(seed, 41);
      deployment->loss_rate = 0.05;
      deployment->ResetCounts();
      size_t left = observers;
      for (auto& [name, host] : deployment->hosts) {
        if (left-- == 0)
          break;
        host->coordinator->OnEndpointReport("worker-1", true,
                                            deployment->now());
      }
      const auto time = deployment->RunUntil(
          [&] {
            return std::all_of(
                deployment->hosts.begin(), deployment->hosts.end(),
                [](auto& item) {
                  return item.second->coordinator->IsLeaving("worker-1");
                });
          },
          seconds(3));
      REQUIRE(time);
      worst = std::max(worst, *time);
      deployment->Run(seconds(3) - *time);
      for (auto& [name, host] : deployment->hosts)
        most_bytes =
            std::max(most_bytes, static_cast<double>(host->bytes) / 3.0);
    }
    std::printf(
        "leaving endpoint seen by %zu of 41 hosts: excluded by all after at "
        "most %.2f s; at most %.0f bytes/s on a host in these 3 s\n",
        observers, common::ToSeconds(worst), most_bytes);
  }
}

// A replaced endpoint has to get requests again; old reports must not prevent
// that.
TEST_CASE("a newer row of an endpoint ends its exclusion") {
  auto deployment = MakeZone(1, 10);
  deployment->Get("host0").coordinator->OnEndpointReport("worker-1", true,
                                                         deployment->now());
  deployment->Run(seconds(3));
  CHECK(deployment->Get("host9").coordinator->IsLeaving("worker-1"));
  deployment->Write({"endpoint", "worker-1", 0, false,
                     R"({"service":"s","zone":"zone0","address":"127.0.0.1:3",)"
                     R"("state":"live"})",
                     ""});
  deployment->Run(seconds(3));
  for (auto& [name, host] : deployment->hosts)
    CHECK_FALSE(host->coordinator->IsLeaving("worker-1"));
}

// The platform may not have noticed that the endpoint was leaving, so no newer
// row would end the exclusion.
TEST_CASE("an exclusion that nobody renews ends") {
  auto deployment = MakeZone(1, 10);
  deployment->Get("host0").coordinator->OnEndpointReport("worker-1", true,
                                                         deployment->now());
  deployment->Run(minutes(1));
  CHECK(deployment->Get("host9").coordinator->IsLeaving("worker-1"));
  deployment->Run(minutes(3));
  for (auto& [name, host] : deployment->hosts)
    CHECK_FALSE(host->coordinator->IsLeaving("worker-1"));
}

TEST_CASE("a host that stops is seen leaving by its zone at once") {
  auto deployment = MakeZone(1, 41);
  SimulatedDeployment::Host& host = deployment->Get("host3");
  host.coordinator->OnStop(deployment->now());
  const auto time = deployment->RunUntil(
      [&] { return AllSee(*deployment, "host3", HostState::kLeaving); },
      seconds(3));
  REQUIRE(time);
}

// The cost per host must not grow with the size of its zone.
TEST_CASE("traffic of a host does not depend on the size of the zone") {
  std::vector<double> rates;
  for (size_t hosts : {size_t{10}, size_t{80}}) {
    auto deployment = MakeZone(1, hosts);
    // Wait until the gossip of the start has been sent.
    deployment->Run(minutes(3));
    deployment->ResetCounts();
    deployment->Run(seconds(60));
    double total = 0;
    for (auto& [name, host] : deployment->hosts)
      total += static_cast<double>(host->bytes);
    rates.push_back(total / 60.0 / static_cast<double>(hosts));
  }
  std::printf("bytes/s per host in a quiet zone: %.0f of 10, %.0f of 80\n",
              rates[0], rates[1]);
  CHECK(rates[1] < rates[0] * 1.5);
}

TEST_CASE("a summary of a zone reaches the hosts of other zones") {
  SimulatedDeployment deployment(1);
  for (int i = 0; i < 12; ++i) {
    const std::string name = "host" + std::to_string(i);
    const std::string zone = "zone" + std::to_string(i % 3);
    deployment.Write(
        {"host", name, 0, false,
         R"({"zone":")" + zone + R"(","address":"127.0.0.1:1","state":"live"})",
         ""});
    deployment.Add(name, zone);
  }
  deployment.Preload();
  deployment.Run(seconds(30));
  deployment.Get("host4").killed = true;
  deployment.Run(seconds(40));
  for (const char* name : {"host0", "host3", "host11"}) {
    const auto zones =
        deployment.Get(name).coordinator->Zones(deployment.now());
    REQUIRE(zones.contains("zone1"));
    CHECK(zones.at("zone1").summary.live_hosts == 3);
    CHECK(zones.at("zone1").summary.delegates.size() == 2);
  }
}

TEST_CASE(
    "a host that the platform no longer lists is removed after the grace "
    "time") {
  Options options;
  View view({"a", "z", "127.0.0.1:1", 5, HostState::kAlive}, options, 1);
  common::TimePoint now(seconds(1));
  Message probe;
  probe.sender = {"b", "z", "127.0.0.1:2", 9, HostState::kAlive};
  view.OnMessage("b", probe, now);
  const table::Snapshot empty{std::chrono::minutes(0)};
  view.OnPlatformList(empty, now + minutes(9));
  CHECK(view.members().contains("b"));
  view.OnPlatformList(empty, now + minutes(11));
  CHECK_FALSE(view.members().contains("b"));
}

TEST_CASE("malformed messages are refused with a protocol error") {
  Message message;
  message.sender = {"b", "z", "127.0.0.1:2", 9, HostState::kAlive};
  message.gossip = {LeavingEndpoint{"e", 3, 1},
                    ZoneSummary{"y", "c", 4, 2, {{"c", "127.0.0.1:3"}}},
                    message.sender};
  const std::string good = Encode(message);
  CHECK(DecodeMessage(good).gossip == message.gossip);
  common::Random random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good.substr(0, random.NextBelow(good.size() + 1));
    for (uint64_t flips = random.NextBelow(4); flips > 0 && !bad.empty();
         --flips)
      bad[random.NextBelow(bad.size())] = static_cast<char>(random.Next());
    try {
      DecodeMessage(bad);
    } catch (const common::Error& error) {
      REQUIRE(error.code() == common::ResultCode::kProtocolError);
    }
  }
}

}  // namespace
}  // namespace jujuberock::membership
