#include "core/membership/view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdio>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "unit_tests/core/membership/fleet.h"

namespace jujuberock::membership {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

std::unique_ptr<Fleet> MakeZone(uint64_t seed, size_t hosts) {
  auto fleet = std::make_unique<Fleet>(seed);
  for (size_t i = 0; i < hosts; ++i) {
    const std::string name = "host" + std::to_string(i);
    fleet->Write({"host", name, 0, false,
                  R"({"zone":"zone0","address":"127.0.0.1:1","state":"live"})",
                  ""});
    fleet->Add(name, "zone0");
  }
  fleet->Write({"endpoint", "worker-1", 0, false,
                R"({"service":"s","zone":"zone0","address":"127.0.0.1:2",)"
                R"("state":"live"})",
                ""});
  fleet->Preload();
  fleet->Run(seconds(20));
  return fleet;
}

HostState StateAt(Fleet& fleet,
                  const std::string& observer,
                  const std::string& host) {
  const auto members = fleet.Get(observer).coordinator->Members();
  const auto found = members.find(host);
  return found == members.end() ? HostState::kDead : found->second.news.state;
}

// Whether every other running host sees `host` in this state.
bool AllSee(Fleet& fleet, const std::string& host, HostState state) {
  return std::all_of(
      fleet.hosts.begin(), fleet.hosts.end(), [&](const auto& item) {
        const Fleet::Host& observer = *item.second;
        return observer.killed || observer.paused || item.first == host ||
               StateAt(fleet, item.first, host) == state;
      });
}

TEST_CASE("a killed host is dead to its whole zone within seconds") {
  Duration worst(0);
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = MakeZone(seed, 41);
    fleet->Get("host7").killed = true;
    const auto time = fleet->RunUntil(
        [&] { return AllSee(*fleet, "host7", HostState::kDead); }, seconds(30));
    REQUIRE(time);
    worst = std::max(worst, *time);
  }
  std::printf("a killed host is dead to all of 41 hosts after at most %.1f s\n",
              common::ToSeconds(worst));
}

// Without relays and refutation, loss alone would empty the zone.
TEST_CASE("lost messages alone make no host dead") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = MakeZone(seed, 20);
    fleet->loss = 0.1;
    fleet->duplicates = 0.1;
    fleet->jitter = milliseconds(150);
    fleet->Run(minutes(5));
    size_t deaths = 0;
    for (auto& [name, host] : fleet->hosts)
      deaths += static_cast<size_t>(
          std::count_if(host->changes.begin(), host->changes.end(),
                        [](const HostChange& change) {
                          return change.state == HostState::kDead;
                        }));
    CHECK(deaths == 0);
  }
}

// One broken path must not make two healthy hosts look dead.
TEST_CASE("hosts that can not reach each other are reached through others") {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    auto fleet = MakeZone(seed, 8);
    fleet->cut = [](const Fleet::Host& a, const Fleet::Host& b) {
      return a.name + b.name == "host1host2" || a.name + b.name == "host2host1";
    };
    fleet->Run(minutes(2));
    for (auto& [name, host] : fleet->hosts) {
      for (const HostChange& change : host->changes)
        CHECK(change.state == HostState::kAlive);
    }
  }
}

// On resume its own waits look like time-outs of everybody else.
TEST_CASE("a paused host rejoins and suspects nobody") {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    auto fleet = MakeZone(seed, 20);
    // Slow answers, so that some are on their way when the pause begins.
    fleet->jitter = milliseconds(400);
    fleet->Run(seconds(3));
    fleet->Pause("host3");
    REQUIRE(fleet->RunUntil(
        [&] { return AllSee(*fleet, "host3", HostState::kDead); },
        seconds(30)));
    Fleet::Host& host = fleet->Get("host3");
    host.changes.clear();
    fleet->Resume("host3");
    const auto back = fleet->RunUntil(
        [&] { return AllSee(*fleet, "host3", HostState::kAlive); },
        seconds(30));
    REQUIRE(back);
    for (const HostChange& change : host.changes)
      CHECK(change.state == HostState::kAlive);
  }
}

TEST_CASE("the halves of a zone find each other after a partition") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto fleet = MakeZone(seed, 10);
    const auto side = [](const Fleet::Host& host) {
      return host.name < "host5";
    };
    fleet->cut = [&](const Fleet::Host& a, const Fleet::Host& b) {
      return side(a) != side(b);
    };
    fleet->Run(minutes(3));
    CHECK(StateAt(*fleet, "host1", "host8") == HostState::kDead);
    CHECK(StateAt(*fleet, "host1", "host2") == HostState::kAlive);
    fleet->cut = nullptr;
    const auto time = fleet->RunUntil(
        [&] {
          return std::all_of(
              fleet->hosts.begin(), fleet->hosts.end(), [&](auto& item) {
                return AllSee(*fleet, item.first, HostState::kAlive);
              });
        },
        seconds(60));
    CHECK(time);
  }
}

// Any host that sees it leaving tells all, also when messages get lost.
TEST_CASE("a leaving endpoint is excluded in the whole zone within 3 s") {
  for (size_t observers : {size_t{1}, size_t{41}}) {
    Duration worst(0);
    double most_bytes = 0;
    for (uint64_t seed = 1; seed <= 10; ++seed) {
      auto fleet = MakeZone(seed, 41);
      fleet->loss = 0.05;
      fleet->ResetCounts();
      size_t left = observers;
      for (auto& [name, host] : fleet->hosts) {
        if (left-- == 0)
          break;
        host->coordinator->OnEndpointReport("worker-1", true, fleet->now());
      }
      const auto time = fleet->RunUntil(
          [&] {
            return std::all_of(
                fleet->hosts.begin(), fleet->hosts.end(), [](auto& item) {
                  return item.second->coordinator->IsLeaving("worker-1");
                });
          },
          seconds(3));
      REQUIRE(time);
      worst = std::max(worst, *time);
      fleet->Run(seconds(3) - *time);
      for (auto& [name, host] : fleet->hosts)
        most_bytes =
            std::max(most_bytes, static_cast<double>(host->bytes) / 3.0);
    }
    std::printf(
        "leaving endpoint seen by %zu of 41 hosts: excluded by all after at "
        "most %.2f s; at most %.0f bytes/s on a host in these 3 s\n",
        observers, common::ToSeconds(worst), most_bytes);
  }
}

// A replaced endpoint must get work again, a stale report must not stop that.
TEST_CASE("a newer row of an endpoint ends its exclusion") {
  auto fleet = MakeZone(1, 10);
  fleet->Get("host0").coordinator->OnEndpointReport("worker-1", true,
                                                    fleet->now());
  fleet->Run(seconds(3));
  CHECK(fleet->Get("host9").coordinator->IsLeaving("worker-1"));
  fleet->Write({"endpoint", "worker-1", 0, false,
                R"({"service":"s","zone":"zone0","address":"127.0.0.1:3",)"
                R"("state":"live"})",
                ""});
  fleet->Run(seconds(3));
  for (auto& [name, host] : fleet->hosts)
    CHECK_FALSE(host->coordinator->IsLeaving("worker-1"));
}

// The platform may never have noticed that the endpoint was away.
TEST_CASE("an exclusion that nobody renews ends") {
  auto fleet = MakeZone(1, 10);
  fleet->Get("host0").coordinator->OnEndpointReport("worker-1", true,
                                                    fleet->now());
  fleet->Run(minutes(1));
  CHECK(fleet->Get("host9").coordinator->IsLeaving("worker-1"));
  fleet->Run(minutes(3));
  for (auto& [name, host] : fleet->hosts)
    CHECK_FALSE(host->coordinator->IsLeaving("worker-1"));
}

TEST_CASE("a host that stops is left out by its zone at once") {
  auto fleet = MakeZone(1, 41);
  Fleet::Host& host = fleet->Get("host3");
  host.coordinator->OnStop(fleet->now());
  const auto time = fleet->RunUntil(
      [&] { return AllSee(*fleet, "host3", HostState::kLeaving); }, seconds(3));
  REQUIRE(time);
}

// The cost of a host must not grow with its zone.
TEST_CASE("traffic of a host does not depend on the size of the zone") {
  std::vector<double> rates;
  for (size_t hosts : {size_t{10}, size_t{80}}) {
    auto fleet = MakeZone(1, hosts);
    // The news of the start has to drain first.
    fleet->Run(minutes(3));
    fleet->ResetCounts();
    fleet->Run(seconds(60));
    double total = 0;
    for (auto& [name, host] : fleet->hosts)
      total += static_cast<double>(host->bytes);
    rates.push_back(total / 60.0 / static_cast<double>(hosts));
  }
  std::printf("bytes/s per host in a quiet zone: %.0f of 10, %.0f of 80\n",
              rates[0], rates[1]);
  CHECK(rates[1] < rates[0] * 1.5);
}

TEST_CASE("a summary of a zone reaches the hosts of other zones") {
  Fleet fleet(1);
  for (int i = 0; i < 12; ++i) {
    const std::string name = "host" + std::to_string(i);
    const std::string zone = "zone" + std::to_string(i % 3);
    fleet.Write(
        {"host", name, 0, false,
         R"({"zone":")" + zone + R"(","address":"127.0.0.1:1","state":"live"})",
         ""});
    fleet.Add(name, zone);
  }
  fleet.Preload();
  fleet.Run(seconds(30));
  fleet.Get("host4").killed = true;
  fleet.Run(seconds(40));
  for (const char* name : {"host0", "host3", "host11"}) {
    const auto zones = fleet.Get(name).coordinator->Zones(fleet.now());
    REQUIRE(zones.contains("zone1"));
    CHECK(zones.at("zone1").news.live_hosts == 3);
    CHECK(zones.at("zone1").news.contacts.size() == 2);
  }
}

TEST_CASE("a host that the platform dropped is forgotten after the grace") {
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

TEST_CASE("malformed messages are refused as such") {
  Message message;
  message.sender = {"b", "z", "127.0.0.1:2", 9, HostState::kAlive};
  message.news = {LeavingNews{"e", 3, 1},
                  ZoneNews{"y", "c", 4, 2, {{"c", "127.0.0.1:3"}}},
                  message.sender};
  const std::string good = Encode(message);
  CHECK(DecodeMessage(good).news == message.news);
  common::Random random(1);
  for (int i = 0; i < 20'000; ++i) {
    std::string bad = good.substr(0, random.Below(good.size() + 1));
    for (uint64_t flips = random.Below(4); flips > 0 && !bad.empty(); --flips)
      bad[random.Below(bad.size())] = static_cast<char>(random.Next());
    try {
      DecodeMessage(bad);
    } catch (const common::Error& error) {
      REQUIRE(error.code() == common::ResultCode::kProtocolError);
    }
  }
}

}  // namespace
}  // namespace jujuberock::membership
