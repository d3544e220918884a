#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

#include "unit_tests/core/membership/simulated_deployment.h"

namespace jujuberock::membership {
namespace {

using common::Duration;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

// Limits on the time until a change is in force on every reachable host, at the
// small size and at the target size.
constexpr Duration kSmallSizeLimit = seconds(3);
constexpr Duration kTargetSizeLimit = seconds(12);
// Limit on the control traffic of one host at the target size, sent and
// received together.
constexpr double kMaxBytesPerSecond = 6 * 1024;

// A team with five hour bands, as operators configure them.
table::Object TeamRow(const std::string& name, int patience_ms) {
  std::string bands;
  const std::vector<std::string> times = {"00:00", "05:00", "09:00",
                                          "13:00", "19:00", "24:00"};
  for (size_t i = 0; i + 1 < times.size(); ++i) {
    bands += bands.empty() ? "" : ",";
    bands += R"({"from":")" + times[i] + R"(","to":")" + times[i + 1] +
             R"(","weight":1,"max_running":40,"patience_ms":)" +
             std::to_string(patience_ms) + "}";
  }
  const std::string key(64, 'a' + static_cast<char>(name.size() % 6));
  return {"team",
          name,
          0,
          false,
          R"({"keys":[")" + key + R"("],"bands":[)" + bands + "]}",
          ""};
}

table::Object HostRow(const std::string& name, const std::string& zone) {
  return {
      "host",
      name,
      0,
      false,
      R"({"zone":")" + zone + R"(","address":"127.0.0.1:1","state":"live"})",
      ""};
}

// `hosts` hosts in `zones` zones, with `teams` teams in force on all of them.
std::unique_ptr<SimulatedDeployment> MakeDeployment(uint64_t seed,
                                                    size_t hosts,
                                                    size_t zones,
                                                    size_t teams) {
  auto deployment = std::make_unique<SimulatedDeployment>(seed);
  for (size_t i = 0; i < teams; ++i)
    deployment->Write(TeamRow("team" + std::to_string(i), 500));
  for (size_t i = 0; i < hosts; ++i) {
    const std::string zone = "zone" + std::to_string(i % zones);
    const std::string name = "host" + std::to_string(i);
    deployment->Write(HostRow(name, zone));
    deployment->Add(name, zone);
  }
  deployment->Preload();
  deployment->Run(seconds(10));
  return deployment;
}

// The present size of the deployment.
std::unique_ptr<SimulatedDeployment> MakeSmallDeployment(uint64_t seed) {
  return MakeDeployment(seed, 4, 3, 10);
}

// Writes a change and returns how long it took until it was in force
// everywhere.
std::optional<Duration> PropagationTime(SimulatedDeployment* deployment,
                                        Duration limit,
                                        const std::string& zone = "") {
  static int patience = 1000;
  const auto version = deployment->Write(TeamRow("team3", ++patience));
  return deployment->RunUntil(
      [&] { return deployment->InForce("team", "team3", version, zone); },
      limit);
}

std::string FormatTime(const std::optional<Duration>& time) {
  return time ? std::to_string(common::ToMilliseconds(*time)) + " ms"
              : "not within the limit";
}

TEST_CASE("a change is in force within 3 s at today's size") {
  Duration worst(0);
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    auto deployment = MakeSmallDeployment(seed);
    const auto time = PropagationTime(deployment.get(), kSmallSizeLimit);
    REQUIRE(time);
    worst = std::max(worst, *time);
  }
  std::printf("today: in force everywhere after at most %s\n",
              FormatTime(worst).c_str());
}

// A silent watch delivers nothing, so hosts get the change only from the list
// that follows it.
TEST_CASE("silent watches delay a change by less than 3 s") {
  Duration worst(0);
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    auto deployment = MakeSmallDeployment(seed);
    deployment->watch_is_silent = [](const SimulatedDeployment::Host&) {
      return true;
    };
    deployment->Run(seconds(4) + milliseconds(130 * seed));
    const auto time = PropagationTime(deployment.get(), kSmallSizeLimit);
    REQUIRE(time);
    worst = std::max(worst, *time);
  }
  std::printf("today, every watch silent: at most %s\n",
              FormatTime(worst).c_str());
}

TEST_CASE("a killed delegate is replaced and changes still spread") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeDeployment(seed, 12, 3, 10);
    for (const std::string& name :
         deployment->Get("host0").coordinator->Delegates())
      deployment->Get(name).killed = true;
    // No host of the zone watches the platform now, but delegates of other
    // zones still reach it.
    const auto time = PropagationTime(deployment.get(), kTargetSizeLimit);
    INFO("seed " << seed);
    REQUIRE(time);
    deployment->Run(seconds(15));
    REQUIRE(PropagationTime(deployment.get(), kSmallSizeLimit));
  }
}

// A zone may lose its connection to the platform but still reach other zones.
TEST_CASE("a zone without the platform gets changes from other zones") {
  Duration worst(0);
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    auto deployment = MakeSmallDeployment(seed);
    deployment->platform_is_cut = [](const SimulatedDeployment::Host& host) {
      return host.zone == "zone1";
    };
    deployment->Run(seconds(5));
    const auto time = PropagationTime(deployment.get(), kSmallSizeLimit);
    REQUIRE(time);
    worst = std::max(worst, *time);
  }
  std::printf("today, one zone without the platform: at most %s\n",
              FormatTime(worst).c_str());
}

TEST_CASE("a zone that was cut off catches up after the partition heals") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeDeployment(seed, 12, 3, 10);
    const auto alone = [](const SimulatedDeployment::Host& host) {
      return host.zone == "zone2";
    };
    deployment->platform_is_cut = alone;
    deployment->is_cut = [&](const SimulatedDeployment::Host& a,
                             const SimulatedDeployment::Host& b) {
      return alone(a) != alone(b);
    };
    CHECK(PropagationTime(deployment.get(), seconds(60)) == std::nullopt);
    CHECK(deployment->Get("host2").coordinator->ready());
    deployment->is_cut = nullptr;
    const auto found = deployment->Get("host0").table->Find("team", "team3");
    const auto time = deployment->RunUntil(
        [&] { return deployment->InForce("team", "team3", found->version); },
        kTargetSizeLimit);
    REQUIRE(time);
  }
}

TEST_CASE("a host that starts without the platform merges from its peers") {
  auto deployment = MakeDeployment(1, 12, 3, 10);
  const auto version = deployment->Write(TeamRow("team3", 77));
  deployment->Run(seconds(5));
  deployment->platform_is_cut = [](const SimulatedDeployment::Host&) {
    return true;
  };
  SimulatedDeployment::Host& host =
      deployment->Restart("host4", {"host1", "host7"});
  CHECK_FALSE(host.coordinator->ready());
  const auto time = deployment->RunUntil(
      [&] { return host.coordinator->ready(); }, seconds(5));
  REQUIRE(time);
  CHECK(host.table->Find("team", "team3")->version == version);
  std::printf("start without the platform: ready after %s\n",
              FormatTime(time).c_str());
}

TEST_CASE("hosts that start with no source report that they are not ready") {
  SimulatedDeployment deployment(1);
  deployment.platform_is_cut = [](const SimulatedDeployment::Host&) {
    return true;
  };
  const std::vector<std::string> names = {"a", "b"};
  for (const std::string& name : names)
    deployment.Add(name, "zone0");
  for (const std::string& name : names)
    deployment.Get(name).coordinator->AddSeed(
        {names[name == "a"], "zone0", "127.0.0.1:1", 0, HostState::kAlive});
  deployment.Run(seconds(30));
  CHECK_FALSE(deployment.Get("a").coordinator->ready());
  CHECK_FALSE(deployment.Get("b").coordinator->ready());
  deployment.Write(TeamRow("team3", 1));
  deployment.platform_is_cut = nullptr;
  deployment.Run(seconds(5));
  CHECK(deployment.Get("a").coordinator->ready());
  CHECK(deployment.Get("b").coordinator->ready());
}

// Operators have to see which host lacks a change, and since when.
TEST_CASE("a host that lacks a change is reported with the time") {
  auto deployment = MakeDeployment(1, 12, 3, 10);
  const std::string isolated_host = "host5";
  deployment->is_cut = [&](const SimulatedDeployment::Host& a,
                           const SimulatedDeployment::Host& b) {
    return a.name == isolated_host || b.name == isolated_host;
  };
  deployment->platform_is_cut = [&](const SimulatedDeployment::Host& h) {
    return h.name == isolated_host;
  };
  deployment->Run(seconds(1));
  deployment->Write(TeamRow("team3", 1));
  deployment->Run(seconds(20));
  const auto lagging_hosts_seen_by = [&](const std::string& name) {
    deployment->RequestDigests(name);
    return deployment->Get(name).coordinator->LaggingHosts(deployment->now());
  };
  for (const char* name : {"host2", "host0"}) {
    const auto lagging_hosts = lagging_hosts_seen_by(name);
    REQUIRE(lagging_hosts.size() == 1);
    CHECK(lagging_hosts[0].host == isolated_host);
    CHECK_FALSE(lagging_hosts[0].confirmed);
    REQUIRE(lagging_hosts[0].oldest_missing);
    CHECK(lagging_hosts[0].oldest_missing->name == "team3");
    CHECK(lagging_hosts[0].missing_for > seconds(15));
  }
  deployment->is_cut = nullptr;
  deployment->platform_is_cut = nullptr;
  deployment->Run(seconds(20));
  CHECK(lagging_hosts_seen_by("host2").empty());
}

// A host that was paused during a deletion still has the old row and sends it
// to its peers after it resumes.
TEST_CASE("a paused host does not bring back rows that changed meanwhile") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeDeployment(seed, 12, 3, 10);
    deployment->max_jitter = milliseconds(200);
    deployment->duplicate_rate = 0.2;
    deployment->loss_rate = 0.05;
    deployment->Pause("host3");
    table::Object gone = TeamRow("team3", 1);
    gone.deleted = true;
    gone.body.clear();
    const auto deleted = deployment->Write(gone);
    const auto changed = deployment->Write(TeamRow("team4", 4));
    deployment->Run(seconds(20));
    deployment->Resume("host3");
    for (int i = 0; i < 100; ++i) {
      deployment->Run(milliseconds(200));
      for (auto& [name, host] : deployment->hosts) {
        if (name == "host3")
          continue;
        REQUIRE(host->table->Find("team", "team3")->version == deleted);
        REQUIRE(host->table->Find("team", "team4")->version == changed);
      }
    }
    CHECK(deployment->InForce("team", "team3", deleted));
    CHECK(deployment->Get("host3").table->Current()->FindTeam("team3") ==
          nullptr);
  }
}

// Many edits with lost, duplicated and reordered messages: the version of a row
// must never fall on any host.
TEST_CASE("no host ever goes back to an older row") {
  for (uint64_t seed = 1; seed <= 5; ++seed) {
    auto deployment = MakeDeployment(seed, 12, 3, 10);
    deployment->max_jitter = milliseconds(500);
    deployment->duplicate_rate = 0.3;
    deployment->loss_rate = 0.2;
    std::map<std::pair<std::string, std::string>, table::Version> seen;
    common::Random random(seed);
    for (int i = 0; i < 300; ++i) {
      const std::string team = "team" + std::to_string(random.NextBelow(10));
      table::Object row = TeamRow(team, i + 1);
      row.deleted = random.NextBelow(4) == 0;
      deployment->Write(row);
      if (i % 60 == 30)
        deployment->Pause("host7");
      if (i % 60 == 50)
        deployment->Resume("host7");
      deployment->Run(milliseconds(100));
      for (auto& [name, host] : deployment->hosts) {
        const auto found = host->table->Find("team", team);
        auto& last = seen[{name, team}];
        REQUIRE((found && found->version >= last));
        last = found->version;
      }
    }
    deployment->loss_rate = 0;
    deployment->Run(seconds(15));
    const auto digest = deployment->Get("host0").table->Summary();
    for (auto& [name, host] : deployment->hosts)
      CHECK(host->table->Summary() == digest);
  }
}

double Percentile(std::vector<double> values, double share) {
  std::sort(values.begin(), values.end());
  return values[static_cast<size_t>(share * (values.size() - 1))];
}

// The target rate is 4,700 changes a day, one in 18 s.
TEST_CASE("the target size stays within its limits on time and traffic") {
  constexpr size_t kHosts = 370;
  constexpr size_t kZones = 9;
  auto deployment = MakeDeployment(7, kHosts, kZones, 420);
  deployment->ResetCounts();
  const auto cpu_begin = std::clock();
  const auto begin = deployment->now();
  Duration worst(0);
  for (int change = 0; change < 4; ++change) {
    const auto next = deployment->now() + seconds(18);
    const auto time = PropagationTime(deployment.get(), kTargetSizeLimit);
    REQUIRE(time);
    worst = std::max(worst, *time);
    deployment->Run(next - deployment->now());
  }
  const double length = common::ToSeconds(deployment->now() - begin);
  const double cpu =
      static_cast<double>(std::clock() - cpu_begin) / CLOCKS_PER_SEC;
  std::vector<double> rates;
  std::map<std::string, uint64_t> by_message;
  double messages = 0;
  for (auto& [name, host] : deployment->hosts) {
    rates.push_back(static_cast<double>(host->bytes) / length);
    messages += static_cast<double>(host->messages) / length / kHosts;
    for (const auto& [message, bytes] : host->bytes_by_message)
      by_message[message] += bytes;
  }
  std::printf(
      "target (%zu hosts, %zu zones, 1 change in 18 s): in force after at most "
      "%s\n  bytes/s per host, sent and received: median %.0f, p99 %.0f, "
      "highest %.0f; messages/s %.1f\n  platform calls/s %.1f, lists %llu; CPU "
      "of all decisions %.2f%% of a core per host\n",
      kHosts, kZones, FormatTime(worst).c_str(), Percentile(rates, 0.5),
      Percentile(rates, 0.99), Percentile(rates, 1.0), messages,
      deployment->platform_calls / length,
      static_cast<unsigned long long>(deployment->platform_lists),
      100 * cpu / length / kHosts);
  for (const auto& [message, bytes] : by_message)
    std::printf("  %s: %.0f bytes/s per host\n", message.c_str(),
                bytes / length / kHosts);
  CHECK(Percentile(rates, 1.0) < kMaxBytesPerSecond);
  // Per zone: two delegates, five kinds of objects and one call in 2 s each,
  // plus a tenth.
  CHECK(deployment->platform_calls / length <= kZones * 2 * 5 / 2.0 * 1.1);

  // Again with one zone cut off from the platform and one host paused.
  deployment->platform_is_cut = [](const SimulatedDeployment::Host& host) {
    return host.zone == "zone1";
  };
  deployment->Pause("host5");
  deployment->Run(seconds(6));
  const auto time_with_cut =
      PropagationTime(deployment.get(), kTargetSizeLimit);
  std::printf("  one zone without the platform: %s\n",
              FormatTime(time_with_cut).c_str());
  CHECK(time_with_cut);
}

}  // namespace
}  // namespace jujuberock::membership
