// How evenly many hosts that decide by themselves use the engines of a service.
#include "core/dispatch/service_pool.h"

#include <algorithm>
#include <cmath>
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

TimePoint At(Duration time) {
  return TimePoint(std::chrono::seconds(100)) + time;
}

// Returns a normally distributed number (Box-Muller).
double Normal(common::Random& random) {
  constexpr double kTwoPi = 6.283185307179586;
  const double radius = std::sqrt(-2 * std::log(1 - random.NextDouble()));
  return radius * std::cos(kTwoPi * random.NextDouble());
}

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
  Hosts(int hosts, int engines, Duration delay) : delay(delay), random(kSeed) {
    for (int i = 0; i < hosts; ++i) {
      this->pools.push_back(
          std::make_unique<ServicePool>("z", hosts, this->random.Next()));
      this->pools.back()->Update(MakeService(), MakeEngines(engines));
    }
  }

  // Sends a prompt from a random host; returns the engine.
  std::string Send(int64_t tokens, int64_t output_tokens, TimePoint now) {
    this->Deliver(now);
    Prompt prompt;
    prompt.model = "m";
    prompt.prompt_tokens = tokens;
    prompt.max_output_tokens = output_tokens;
    SendRequirements requirements;
    requirements.prompt = &prompt;
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

// Load: 83 hosts that hear of each other's sends after 45 ms, so that some 50
// prompts are unknown to each choice; the engines prefill 60 % of the time.
// Guards against hosts that choose the same engines at the same time.
TEST_CASE("many hosts with late news use all engines evenly") {
  constexpr int kEngines = 140;
  constexpr int kPrompts = 3180;
  Hosts fleet(83, kEngines, milliseconds(45));
  std::map<std::string, int> prompts;
  for (int i = 0; i < kPrompts; ++i)
    ++prompts[fleet.Send(4000, 10, At(microseconds(943 * i)))];
  int most = 0;
  for (const auto& [engine, count] : prompts)
    most = std::max(most, count);
  CHECK(most <= 1.3 * kPrompts / kEngines);
}

// Load: reviews of long documents with short answers of up to 30 tokens, and
// short questions with answers of 3 to 136 tokens, half of which are shorter
// than the mean answer. Guards against questions that wait for the prefill of a
// document while other engines have room.
TEST_CASE("short questions are kept apart from long prompts") {
  constexpr int kRequests = 4000;
  constexpr Duration kPrefill = milliseconds(250);
  Hosts fleet(20, 140, milliseconds(20));
  common::Random random(kSeed);
  std::map<std::string, TimePoint> last_review;
  int questions = 0;
  int disturbed = 0;
  for (int i = 0; i < kRequests; ++i) {
    const TimePoint now = At(microseconds(1887 * i));
    if (random.NextDouble() < 0.48) {
      const auto output = static_cast<int64_t>(
          std::clamp(2 * std::exp(1.6 * Normal(random)), 1.0, 30.0));
      last_review[fleet.Send(9190, output, now)] = now;
      continue;
    }
    const auto output = static_cast<int64_t>(
        std::clamp(20 * std::exp(1.2 * Normal(random)), 3.0, 136.0));
    const std::string engine = fleet.Send(827, output, now);
    const auto review = last_review.find(engine);
    // The first seconds teach the hosts what the requests are like.
    if (i < kRequests / 2)
      continue;
    ++questions;
    if (review != last_review.end() && now - review->second < kPrefill)
      ++disturbed;
  }
  INFO(disturbed << " of " << questions);
  CHECK(disturbed <= questions / 20);
}

// Load: a host with a small share of the traffic, whose prompts wait behind
// those of 82 other hosts. Guards against taking the prefill of other hosts'
// prompts for that of its own: the time per token is then learnt too long, the
// prompts ahead are counted with it, and requests are refused as late although
// the engines would begin them in time.
TEST_CASE("the time per token does not contain the prompts of other hosts") {
  constexpr double kTokenMs = 0.028;
  constexpr double kBaseMs = 40;
  ServicePool pool("z", 83, kSeed);
  pool.Update(MakeService(), MakeEngines(10));
  Prompt prompt;
  prompt.model = "m";
  prompt.prompt_tokens = 4000;
  prompt.max_output_tokens = 10;
  SendRequirements requirements;
  requirements.prompt = &prompt;
  for (int i = 0; i < 1000; ++i) {
    const TimePoint now = At(milliseconds(500 * i));
    // Every engine has got two prompts of other hosts.
    for (const auto& [id, record] : pool.records())
      record->OnPeerPrompt({8000, 8000, milliseconds(300), false}, now);
    const auto choice = pool.Choose(requirements, now);
    REQUIRE(choice);
    SendTicket ticket;
    ticket.endpoint = choice->endpoint;
    ticket.uncached_tokens = choice->uncached_tokens;
    ticket.tokens_ahead = choice->predicted_tokens;
    choice->endpoint->OnSent(ticket, now);
    const TimePoint first_token =
        now + common::FromSeconds((kBaseMs + kTokenMs * 12000) / 1000);
    choice->endpoint->OnStarted(ticket, first_token);
    pool.OnFirstToken(ticket, first_token);
    choice->endpoint->OnEnded(ticket, first_token);
  }
  CHECK(pool.first_token().token_ms() < 1.25 * kTokenMs);
}

}  // namespace
}  // namespace jujuberock::dispatch
