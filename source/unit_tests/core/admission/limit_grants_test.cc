#include "core/admission/limit_grants.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>

#include "core/common/random.h"

namespace jujuberock::admission {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TEST_CASE("even shares add up to the limit") {
  const std::vector<std::string> hosts = {"h1", "h2", "h3", "h4"};
  for (uint32_t limit : {0u, 1u, 3u, 4u, 10u, 101u}) {
    uint32_t sum = 0;
    for (const std::string& host : hosts)
      sum += EvenShare("t", limit, hosts, host);
    CHECK(sum == limit);
  }
}

// A zone whose hosts run as many requests as they may and finish them at
// random.
class Zone {
 public:
  Zone(uint32_t limit, size_t count, uint64_t seed)
      : limit(limit), random(seed) {
    for (size_t i = 0; i < count; ++i)
      this->names.push_back("h" + std::to_string(i));
    for (const std::string& name : this->names)
      this->hosts.push_back(std::make_unique<Host>(name));
    this->partitions.assign(count, 0);
    this->UpdateViews();
  }

  // Sets the partition that each host belongs to; -1: dead.
  void SetPartitions(std::vector<int> next) {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      // A host that dies restarts without state and with a full view.
      if (next[i] < 0) {
        this->hosts[i] = std::make_unique<Host>(this->names[i]);
        this->SetView(i, this->names);
      }
    }
    this->partitions = std::move(next);
  }

  // Membership detects which hosts are reachable.
  void UpdateViews() {
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      if (this->partitions[i] < 0)
        continue;
      std::vector<std::string> view;
      for (size_t k = 0; k < this->hosts.size(); ++k) {
        if (this->partitions[k] == this->partitions[i])
          view.push_back(this->names[k]);
      }
      this->SetView(i, view);
    }
  }

  // Advances by 100 ms. `demand` is the number of requests that each host would
  // run without a limit.
  void Step(const std::vector<uint32_t>& demand) {
    this->now += milliseconds(100);
    for (size_t i = 0; i < this->hosts.size(); ++i) {
      Host& host = *this->hosts[i];
      if (this->partitions[i] < 0)
        continue;
      if (host.running > 0 && this->random.NextDouble() < 0.3)
        --host.running;
      if (++this->steps % 5 == 0)
        this->RequestGrant(i, demand[i]);
      const uint32_t share = host.share.ShareOf("t", this->now);
      while (host.running < std::min(demand[i], share))
        ++host.running;
    }
  }

  uint32_t running() const {
    uint32_t sum = 0;
    for (const auto& host : this->hosts)
      sum += host->running;
    return sum;
  }
  uint32_t running(size_t host) const { return this->hosts[host]->running; }
  size_t owner() const {
    return std::find(this->names.begin(), this->names.end(),
                     LimitOwnerOf("t", this->names)) -
           this->names.begin();
  }

 private:
  struct Host {
    explicit Host(const std::string& name) : share(name) {}
    LimitOwner owner;
    LimitShare share;
    uint32_t running = 0;
    std::vector<std::string> view;
  };

  void SetView(size_t i, const std::vector<std::string>& view) {
    Host& host = *this->hosts[i];
    host.view = view;
    host.owner.SetLimit("t", this->limit);
    host.owner.SetHosts(view);
    host.share.SetLimit("t", this->limit);
    host.share.SetHosts(view);
  }

  void RequestGrant(size_t i, uint32_t demand) {
    Host& host = *this->hosts[i];
    const std::string owner = LimitOwnerOf("t", host.view);
    const size_t at = std::find(this->names.begin(), this->names.end(), owner) -
                      this->names.begin();
    if (this->partitions[at] != this->partitions[i])
      return;
    const uint32_t queued = demand > host.running ? demand - host.running : 0;
    const auto grant = this->hosts[at]->owner.OnDemand(
        {"t", this->names[i], host.running, queued}, this->now);
    host.share.OnGrant(grant, this->now);
  }

  uint32_t limit;
  common::Random random;
  std::vector<std::string> names;
  std::vector<std::unique_ptr<Host>> hosts;
  std::vector<int> partitions;
  TimePoint now = TimePoint(std::chrono::hours(1));
  int steps = 0;
};

TEST_CASE("grants follow demand and never exceed the limit") {
  Zone zone(20, 4, 1);
  for (int i = 0; i < 200; ++i) {
    zone.Step({40, 1, 0, 0});
    CHECK(zone.running() <= 20);
  }
  // The busy host gets what the idle ones leave.
  CHECK(zone.running(0) >= 15);
  for (int i = 0; i < 400; ++i) {
    zone.Step({0, 0, 40, 40});
    CHECK(zone.running() <= 20);
  }
  CHECK(zone.running(2) >= 7);
  CHECK(zone.running(3) >= 7);
}

// Covers hosts that die, return and lose contact with each other while demand
// moves between them.
TEST_CASE("the overshoot stays within the stated bound") {
  const uint32_t limit = 21;
  uint32_t max_running = 0;
  for (uint64_t seed = 1; seed <= 20; ++seed) {
    Zone zone(limit, 4, seed);
    common::Random random(seed);
    std::vector<uint32_t> demand(4, 0);
    for (int i = 0; i < 1500; ++i) {
      if (i % 50 == 0) {
        for (uint32_t& d : demand)
          d = random.NextBelow(2) ? 60 : 0;
      }
      if (i % 300 == 100)
        zone.SetPartitions({0, 0, 0, random.NextBelow(2) ? 0 : -1});
      if (i % 300 == 130)
        zone.UpdateViews();
      // The owner dies, which is detected later.
      if (i % 300 == 200) {
        std::vector<int> partitions(4, 0);
        partitions[zone.owner()] = -1;
        zone.SetPartitions(partitions);
      }
      if (i % 300 == 250)
        zone.UpdateViews();
      zone.Step(demand);
      max_running = std::max(max_running, zone.running());
      REQUIRE(zone.running() <= limit + LimitOvershootBound(limit, 4, 3, 1));
    }
  }
  // Checks that the test does exceed the limit, which the bound is about.
  CHECK(max_running > limit);
}

TEST_CASE("each partition of a zone adds at most one limit") {
  const uint32_t limit = 20;
  Zone zone(limit, 4, 3);
  for (int i = 0; i < 100; ++i)
    zone.Step({60, 60, 60, 60});
  zone.SetPartitions({0, 0, 1, 1});
  for (int i = 0; i < 300; ++i) {
    if (i == 60)
      zone.UpdateViews();
    zone.Step({60, 60, 60, 60});
    REQUIRE(zone.running() <= limit + LimitOvershootBound(limit, 4, 2, 2));
  }
}

TEST_CASE("a silent owner leads to an even split") {
  Zone zone(20, 4, 5);
  for (int i = 0; i < 100; ++i)
    zone.Step({60, 60, 60, 60});
  std::vector<int> partitions(4, 0);
  partitions[zone.owner()] = -1;
  zone.SetPartitions(partitions);
  for (int i = 0; i < 200; ++i)
    zone.Step({60, 60, 60, 60});
  for (size_t host = 0; host < 4; ++host) {
    if (host != zone.owner())
      CHECK(zone.running(host) == 5);
  }
}

}  // namespace
}  // namespace jujuberock::admission
