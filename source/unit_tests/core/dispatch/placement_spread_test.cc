// How evenly many hosts that decide by themselves use the engines of a service.
#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/common/random.h"

namespace jujuberock::dispatch {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::microseconds;
using std::chrono::milliseconds;

constexpr uint64_t kSeed = 20261206;

std::vector<catalog::Endpoint> MakeEngines(int count) {
  std::vector<catalog::Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    catalog::Endpoint endpoint;
    endpoint.id = "engine-" + std::to_string(i);
    endpoint.service = "llm";
    endpoint.zone = "z";
    endpoint.slots = 24;
    endpoint.models = {{"m", 1}};
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

catalog::Service MakeService() {
  catalog::Service service;
  service.name = "llm";
  catalog::EngineProperties properties;
  properties.slots = 24;
  properties.kv_capacity_tokens = 40000;
  service.engine = properties;
  return service;
}

// Hosts that send prompts to the same engines and hear of each other's sends
// after a delay.
class Hosts {
 public:
  Hosts(int hosts, int engines, Duration delay)
      : delay(delay), random(kSeed) {
    for (int i = 0; i < hosts; ++i) {
      this->pools.push_back(
          std::make_unique<ServicePool>("z", hosts, this->random.Next()));
      this->pools.back()->Update(MakeService(), MakeEngines(engines));
      this->pools.back()->SetNewsAge(delay);
    }
  }

  // Sends a prompt of its own session from a random host; returns the engine.
  std::string Send(int64_t tokens, int64_t output_tokens, TimePoint now) {
    this->Deliver(now);
    Prompt prompt;
    prompt.model = "m";
    prompt.prompt_tokens = tokens;
    prompt.max_output_tokens = output_tokens;
    const std::string session = std::to_string(this->random.Next());
    prompt.parts = {{session, tokens / 2}, {session + "-own", tokens / 2}};
    SendRequirements requirements;
    requirements.prompt = &prompt;
    requirements.target_latency = std::chrono::seconds(1);
    const auto host =
        static_cast<size_t>(this->random.Next() % this->pools.size());
    ServicePool& pool = *this->pools[host];
    const auto choice = pool.Choose(requirements, now);
    REQUIRE(choice);
    const PeerPrompt sent{choice->uncached_tokens, prompt.MemoryTokens(),
                          choice->run_time, choice->is_long};
    pool.OnSent(sent, now);
    // The own send is recorded like an announced one, which ends by itself.
    choice->endpoint->OnPeerPrompt(sent, now);
    const std::string id = choice->endpoint->endpoint().id;
    this->announcements.push_back({now + this->delay, host, id, sent});
    return id;
  }

 private:
  struct Announcement {
    TimePoint due;
    size_t sender = 0;
    std::string engine;
    PeerPrompt prompt;
  };

  void Deliver(TimePoint now) {
    while (!this->announcements.empty() &&
           this->announcements.front().due <= now) {
      const Announcement& next = this->announcements.front();
      for (size_t i = 0; i < this->pools.size(); ++i) {
        if (i == next.sender)
          continue;
        this->pools[i]->Find(next.engine)->OnPeerPrompt(next.prompt, now);
        this->pools[i]->OnSent(next.prompt, now);
      }
      this->announcements.pop_front();
    }
  }

  Duration delay;
  common::Random random;
  std::vector<std::unique_ptr<ServicePool>> pools;
  std::deque<Announcement> announcements;
};

// Load of the busiest engine relative to the mean, by tokens, over two seconds
// of 530 prompts a second.
double BusiestRatio(int hosts, int engines, Duration delay) {
  constexpr int kPrompts = 1060;
  constexpr int64_t kTokens = 4000;
  Hosts fleet(hosts, engines, delay);
  std::map<std::string, int64_t> tokens;
  for (int i = 0; i < kPrompts; ++i) {
    const TimePoint now(std::chrono::seconds(100) + microseconds(1887 * i));
    tokens[fleet.Send(kTokens, 10, now)] += kTokens;
  }
  int64_t most = 0;
  for (const auto& [engine, count] : tokens)
    most = std::max(most, count);
  return static_cast<double>(most) * engines /
         (static_cast<double>(kTokens) * kPrompts);
}

TEST_CASE("trial figures", "[.]") {
  for (const int hosts : {4, 83, 370}) {
    for (const int delay : {0, 12, 45, 200})
      WARN(hosts << " hosts, news after " << delay << " ms: "
                 << BusiestRatio(hosts, 140, milliseconds(delay)));
  }
}

}  // namespace
}  // namespace jujuberock::dispatch
