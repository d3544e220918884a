#include "core/dispatch/cold_limit.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/random.h"
#include "core/dispatch/host_ranking.h"

namespace jujuberock::dispatch {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

ColdLimit::Terms OneHost(double rate) {
  return {.rate = rate, .rank = 0, .hosts = 1};
}

// Hosts that all have a request for every endpoint of a zone at any time.
class EagerHosts {
 public:
  static constexpr int kEndpoints = 6;
  static constexpr int kColdMs = 3000;

  EagerHosts(int count, double rate, int unknown_to_each) : rate(rate) {
    std::set<std::string> names;
    for (int i = 0; i < count; ++i)
      names.insert("host." + std::to_string(i));
    for (const std::string& name : names) {
      std::set<std::string> known = names;
      for (int i = 0; i < unknown_to_each; ++i)
        known.erase("host." + std::to_string(this->random.Next() %
                                             static_cast<uint64_t>(count)));
      known.insert(name);
      Host& host = this->hosts.emplace_back();
      host.ranking.SetHosts(known, name);
      host.limits.resize(kEndpoints);
    }
  }

  // The endpoints come back at 0 and are cold. Each host learns that up to
  // 400 ms later; until then it knows no such endpoint.
  void Run(int end_ms) {
    for (Host& host : this->hosts)
      host.learned_ms = static_cast<int>(this->random.Next() % 400);
    for (int ms = 0; ms < end_ms; ms += 5) {
      for (Host& host : this->hosts)
        this->Step(host, ms);
    }
  }

  // The largest number of sends to one endpoint in any second of this time.
  size_t Busiest(int from_ms, int until_ms) const {
    size_t busiest = 0;
    for (const auto& sends : this->sends) {
      for (size_t i = 0; i < sends.size(); ++i) {
        if (sends[i] < from_ms || sends[i] >= until_ms)
          continue;
        const auto end = std::lower_bound(sends.begin(), sends.end(),
                                          std::min(until_ms, sends[i] + 1000));
        busiest =
            std::max(busiest, static_cast<size_t>(end - sends.begin()) - i);
      }
    }
    return busiest;
  }
  // Sends a second to the endpoint that gets the fewest.
  double Slowest(int from_ms, int until_ms) const {
    double slowest = 1e9;
    for (const auto& sends : this->sends) {
      const auto count = std::count_if(sends.begin(), sends.end(), [&](int ms) {
        return ms >= from_ms && ms < until_ms;
      });
      slowest = std::min(
          slowest, 1000.0 * static_cast<double>(count) / (until_ms - from_ms));
    }
    return slowest;
  }

 private:
  struct Host {
    HostRanking ranking;
    std::vector<ColdLimit> limits;
    int learned_ms = 0;
  };

  void Step(Host& host, int ms) {
    if (ms < host.learned_ms)
      return;
    for (size_t i = 0; i < host.limits.size(); ++i) {
      ColdLimit& limit = host.limits[i];
      if (!limit.cold_until())
        limit.OnEntry(At(host.learned_ms + kColdMs), At(host.learned_ms));
      const ColdLimit::Terms terms{
          .rate = this->rate,
          .rank = host.ranking.RankFor("endpoint-" + std::to_string(i)),
          .hosts = host.ranking.count()};
      if (!limit.Allows(terms, At(ms)))
        continue;
      limit.OnSent(At(ms));
      this->sends[i].push_back(ms);
    }
  }

  double rate;
  common::Random random{20261206};
  std::vector<Host> hosts;
  std::vector<std::vector<int>> sends{kEndpoints};
};

// Guards against crashes of endpoints that come back cold, when each host keeps
// to a limit of its own and the sum of all does not. Load: all endpoints of a
// zone come back together while every host has more requests than they take,
// and the hosts' views of each other differ by a few.
TEST_CASE("the hosts together keep to the limit of a cold endpoint") {
  for (const int hosts : {4, 26, 83, 370}) {
    for (const double rate : {7.9, 17.3}) {
      for (const int unknown : {0, 3}) {
        CAPTURE(hosts, rate, unknown);
        EagerHosts all(hosts, rate, std::min(unknown, hosts / 4));
        all.Run(EagerHosts::kColdMs);
        const double bound = rate * 1.5 + 5;
        CHECK(static_cast<double>(all.Busiest(0, EagerHosts::kColdMs)) <=
              bound);
        if (unknown == 0)
          CHECK(static_cast<double>(all.Busiest(0, EagerHosts::kColdMs)) <=
                std::floor(rate));
        CHECK(all.Slowest(1000, EagerHosts::kColdMs) >= std::floor(rate) / 2);
      }
    }
  }
}

// Guards against a rush of all hosts on the endpoints that have the least to
// do, at the moment at which their cold time ends.
TEST_CASE("the load of an endpoint grows slowly after its cold time") {
  EagerHosts all(83, 17.3, 0);
  all.Run(EagerHosts::kColdMs + 1000);
  CHECK(all.Busiest(EagerHosts::kColdMs, EagerHosts::kColdMs + 400) <= 50);
  CHECK(all.Busiest(0, EagerHosts::kColdMs + 1000) <= 83);
}

// Guards against a burst in the second in which an endpoint turns cold.
TEST_CASE("sends before the endpoint turned cold count") {
  ColdLimit limit;
  for (int i = 0; i < 10; ++i) {
    CHECK(limit.Allows(OneHost(5.9), At(i)));
    limit.OnSent(At(i));
  }
  limit.OnEntry(At(3000), At(10));
  CHECK(limit.StateAt(At(10)) == ColdState::kCold);
  CHECK_FALSE(limit.Allows(OneHost(5.9), At(10)));
  // The fifth send from the end is the first that must be over.
  CHECK(limit.TimeToShare(OneHost(5.9), At(10)) == milliseconds(995));
  CHECK_FALSE(limit.Allows(OneHost(5.9), At(1004)));
  CHECK(limit.Allows(OneHost(5.9), At(1005)));
}

TEST_CASE("an entry ends the cold time, an assumption stays") {
  ColdLimit limit;
  limit.OnEntry(At(3000), At(0));
  // The same entry once more, as each change of the view brings it.
  limit.OnEntry(At(3000), At(0));
  CHECK(limit.StateAt(At(2999)) == ColdState::kCold);
  limit.OnEntry(At(1200), At(1200));
  CHECK(limit.StateAt(At(1200)) == ColdState::kWarming);
  CHECK(limit.StateAt(At(2200)) == ColdState::kWarm);
  limit.AssumeUntil(At(5000));
  limit.OnEntry(At(4000), At(4000));
  CHECK(limit.StateAt(At(4999)) == ColdState::kCold);
}

TEST_CASE("an endpoint that was never cold is warm at once") {
  ColdLimit limit;
  limit.OnEntry(At(0), At(0));
  CHECK(limit.StateAt(At(0)) == ColdState::kWarm);
  CHECK(limit.Allows(OneHost(5), At(0)));
}

// Guards against a rush of hosts that have just started, each of which takes
// itself for the only one.
TEST_CASE(
    "a host that does not know of itself sends nothing to cold endpoints") {
  ColdLimit limit;
  limit.OnEntry(At(3000), At(0));
  const ColdLimit::Terms unknown{.rate = 9, .rank = std::nullopt, .hosts = 4};
  CHECK_FALSE(limit.Allows(unknown, At(100)));
  CHECK(limit.TimeToShare(unknown, At(100)) == milliseconds(3900));
  CHECK(limit.Allows({.rate = 0}, At(100)));
}

// Guards against callers that are told to come back before a request can be
// sent, or long after.
TEST_CASE("a host without a share knows when it gets one") {
  ColdLimit limit;
  limit.OnEntry(At(3000), At(0));
  // The 40th of 83 hosts: the total grows from 10 to 40 in a second.
  const ColdLimit::Terms terms{.rate = 10.5, .rank = 39, .hosts = 83};
  CHECK(limit.TimeToShare(terms, At(500)) == milliseconds(3500));
  const ColdLimit::Terms earlier{.rate = 10.5, .rank = 24, .hosts = 83};
  CHECK(limit.TimeToShare(earlier, At(500)) == milliseconds(3000));
  CHECK_FALSE(limit.Allows(earlier, At(3450)));
  CHECK(limit.Allows(earlier, At(3501)));
  const ColdLimit::Terms last{.rate = 10.5, .rank = 82, .hosts = 83};
  CHECK(limit.TimeToShare(last, At(500)) == milliseconds(3500));
  CHECK(limit.Allows(last, At(4000)));
}

// Guards against shares that are larger than the log of sends.
TEST_CASE("a large share is bounded by what is remembered") {
  ColdLimit limit;
  limit.OnEntry(At(3000), At(0));
  size_t sent = 0;
  while (limit.Allows(OneHost(1e18), At(10)) && sent < 1000) {
    limit.OnSent(At(10));
    ++sent;
  }
  CHECK(sent == 128);
}

TEST_CASE("the shares add up to the total") {
  for (const size_t hosts : {1u, 4u, 17u, 83u}) {
    size_t sum = 0;
    for (size_t rank = 0; rank < hosts; ++rank)
      sum += ColdShare(rank, hosts, 17);
    CHECK(sum == 17);
  }
  CHECK(ColdShare(0, 0, 17) == 0);
}

}  // namespace
}  // namespace jujuberock::dispatch
