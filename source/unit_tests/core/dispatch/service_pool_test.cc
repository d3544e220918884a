#include "core/dispatch/service_pool.h"

#include <catch2/catch.hpp>
#include <map>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr uint64_t kSeed = 11;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

catalog::Service EngineService() {
  catalog::Service service;
  service.name = "llm";
  catalog::EngineTraits traits;
  traits.slots = 8;
  traits.kv_capacity_tokens = 50000;
  service.engine = traits;
  return service;
}

std::vector<catalog::Endpoint> MakeEndpoints(int count, uint64_t version = 1) {
  std::vector<catalog::Endpoint> endpoints;
  for (int i = 0; i < count; ++i) {
    catalog::Endpoint endpoint;
    endpoint.id = "e" + std::to_string(i);
    endpoint.service = "llm";
    endpoint.zone = "z";
    endpoint.slots = 8;
    endpoint.models = {{"m", version}};
    endpoints.push_back(endpoint);
  }
  return endpoints;
}

Prompt MakePrompt(const std::string& session, int64_t tokens) {
  Prompt prompt;
  prompt.model = "m";
  prompt.prompt_tokens = tokens;
  prompt.max_output_tokens = 10;
  prompt.parts = {{session, tokens / 2}, {session + "-own", tokens / 2}};
  return prompt;
}

struct Pool {
  ServicePool pool{"z", 4, kSeed};

  explicit Pool(int endpoints) {
    this->pool.Update(EngineService(), MakeEndpoints(endpoints));
  }

  SendTicket Send(const Prompt& prompt, int urgency, TimePoint now) {
    SendNeeds needs;
    needs.prompt = &prompt;
    needs.urgency = urgency;
    const auto choice = this->pool.Choose(needs, now);
    REQUIRE(choice);
    SendTicket ticket;
    ticket.endpoint = choice->endpoint;
    ticket.urgency = urgency;
    ticket.uncached_tokens = choice->uncached_tokens;
    ticket.memory_tokens = prompt.MemoryTokens();
    choice->endpoint->OnSent(ticket, now);
    return ticket;
  }
};

// Load pattern: many long prompts of different sessions at the same moment.
// Guards against two of them on one engine while another is idle.
TEST_CASE("long prompts go to different engines") {
  Pool pool(6);
  std::map<std::string, int> sends;
  for (int i = 0; i < 6; ++i) {
    const Prompt prompt = MakePrompt("s" + std::to_string(i), 9000);
    const SendTicket ticket = pool.Send(prompt, 1, At(0));
    ++sends[ticket.endpoint->endpoint().id];
  }
  CHECK(sends.size() == 6);
}

// Load pattern: one host of many gives an engine a long prompt. Guards against
// a second one there from a host that only hears of the first.
TEST_CASE("prompts of other hosts are seen until the engine has read them") {
  Pool pool(2);
  const auto busy = pool.pool.Find("e0");
  busy->OnPeerPrompt({12000, 12000, milliseconds(300), false}, At(0));
  for (int i = 0; i < 8; ++i) {
    const Prompt prompt = MakePrompt("s" + std::to_string(i), 4000);
    SendNeeds needs;
    needs.prompt = &prompt;
    CHECK(pool.pool.Choose(needs, At(5))->endpoint != busy);
  }
  CHECK(busy->PeerTokens(0.02, At(5000)) == 0);
}

// Load pattern: hosts that each see a few runs of an engine. Guards against
// more memory on one engine than it has, which preempts runs.
TEST_CASE("memory that other hosts' runs need is seen until they end") {
  Pool pool(2);
  const auto full = pool.pool.Find("e0");
  for (int i = 0; i < 5; ++i)
    full->OnPeerPrompt({0, 9500, milliseconds(400), false}, At(0));
  CHECK(full->PeerRuns(At(1)) == 5);
  const Prompt prompt = MakePrompt("s", 4000);
  SendNeeds needs;
  needs.prompt = &prompt;
  for (int i = 0; i < 8; ++i)
    CHECK(pool.pool.Choose(needs, At(5))->endpoint != full);
  CHECK(full->PeerMemory(At(500)) == 0);
  CHECK(full->PeerRuns(At(500)) == 0);
}

// Load pattern: chats with long answers beside long prompts with short ones.
// Guards against chats whose events pause while their engine reads a prompt.
TEST_CASE("long prompts keep away from the engines of long runs") {
  Pool pool(20);
  Prompt chat = MakePrompt("chat", 400);
  chat.max_output_tokens = 80;
  const Prompt document = MakePrompt("document", 9000);
  SendNeeds chat_needs;
  chat_needs.prompt = &chat;
  SendNeeds document_needs;
  document_needs.prompt = &document;
  std::set<std::string> of_chats;
  std::set<std::string> of_documents;
  for (int i = 0; i < 600; ++i) {
    const TimePoint now = At(20 * i);
    const auto for_document = pool.pool.Choose(document_needs, now);
    const auto for_chat = pool.pool.Choose(chat_needs, now);
    // The chats of all hosts keep about 16 of 160 places busy.
    pool.pool.OnSent({400, 480, milliseconds(350), true}, now);
    if (i < 300)
      continue;
    REQUIRE(for_chat->is_long);
    REQUIRE_FALSE(for_document->is_long);
    of_chats.insert(for_chat->endpoint->endpoint().id);
    of_documents.insert(for_document->endpoint->endpoint().id);
  }
  for (const std::string& id : of_chats)
    CHECK_FALSE(of_documents.contains(id));
}

// Load pattern: a store in each zone. Guards against fetches between zones
// while an engine beside the store is as idle.
TEST_CASE("a prompt goes to the zone of the store that has it") {
  Pool pool(0);
  auto endpoints = MakeEndpoints(6);
  for (size_t i = 0; i < endpoints.size(); ++i)
    endpoints[i].zone = i < 3 ? "z" : "far";
  pool.pool.Update(EngineService(), endpoints);
  const Prompt prompt = MakePrompt("s", 9000);
  std::vector<StoredPart> stored(2);
  stored[0] = {true, "far", 0, 60};
  SendNeeds needs;
  needs.prompt = &prompt;
  needs.stored = [&](uint64_t) -> const std::vector<StoredPart>& {
    return stored;
  };
  needs.fetch_limits.most_wait_ms = 270;
  for (int i = 0; i < 10; ++i) {
    const auto choice = pool.pool.Choose(needs, At(1));
    CHECK(choice->endpoint->endpoint().zone == "far");
    CHECK(choice->uncached_tokens == 4500);
  }
}

// Load pattern: a session returns again and again at a quiet time. Guards
// against reading its prompt on another engine each time.
TEST_CASE("a session returns to the engine that has its prompt") {
  Pool pool(6);
  const Prompt prompt = MakePrompt("session", 9000);
  SendTicket first = pool.Send(prompt, 1, At(0));
  first.endpoint->OnStarted(first, At(100));
  first.endpoint->part_cache().Insert("", prompt);
  first.endpoint->OnEnded(first, At(200));
  for (int i = 1; i < 5; ++i) {
    SendTicket again = pool.Send(prompt, 1, At(1000 * i));
    CHECK(again.endpoint == first.endpoint);
    CHECK(again.uncached_tokens == 0);
    again.endpoint->OnEnded(again, At(1000 * i + 100));
  }
}

// Guards against an urgent request that is predicted late because of prompts
// that the engine reads after it.
TEST_CASE("less urgent prompts do not count for an urgent request") {
  Pool pool(1);
  const Prompt large = MakePrompt("a", 20000);
  pool.Send(large, 1, At(0));
  const Prompt small = MakePrompt("b", 400);
  SendNeeds needs;
  needs.prompt = &small;
  needs.urgency = 0;
  const auto urgent = pool.pool.Choose(needs, At(1));
  needs.urgency = 2;
  const auto relaxed = pool.pool.Choose(needs, At(1));
  CHECK(urgent->predicted < relaxed->predicted);
}

TEST_CASE("leaving, tried, reserved and outdated engines get nothing") {
  const Prompt prompt = MakePrompt("s", 400);
  SendNeeds needs;
  needs.prompt = &prompt;
  Pool pool(2);
  SECTION("leaving") {
    auto endpoints = MakeEndpoints(2);
    endpoints[0].leaving = true;
    pool.pool.Update(EngineService(), endpoints);
  }
  std::set<std::string> tried = {"e0"};
  SECTION("tried") {
    needs.tried = &tried;
  }
  SECTION("reserved for a change of weights") {
    pool.pool.Find("e0")->reserved_until = At(100);
  }
  SECTION("on old weights") {
    pool.pool.Find("e1")->SetVersion("m", 2);
    needs.required_version = 2;
  }
  SECTION("ejected") {
    pool.pool.OnOutcome(*pool.pool.Find("e0"), SendOutcome::kNoRoute, At(0));
  }
  for (int i = 0; i < 20; ++i)
    CHECK(pool.pool.Choose(needs, At(1))->endpoint->endpoint().id == "e1");
}

// Load pattern: engines fall silent and each host has a few sends there a
// second. Guards against every host finding each of them by a lost request.
TEST_CASE("an engine that another host has lost gets nothing") {
  Pool pool(2);
  const auto silent = pool.pool.Find("e0");
  silent->OnSignOfLife(At(0));
  SECTION("unless it has just answered this host") {
    CHECK_FALSE(ServicePool::OnPeerLost(*silent, At(300)));
    return;
  }
  CHECK(ServicePool::OnPeerLost(*silent, At(900)));
  const Prompt prompt = MakePrompt("s", 400);
  SendNeeds needs;
  needs.prompt = &prompt;
  for (int i = 0; i < 20; ++i)
    CHECK(pool.pool.Choose(needs, At(1000))->endpoint != silent);
  // What many hosts tell does not keep it out for longer.
  CHECK_FALSE(ServicePool::OnPeerLost(*silent, At(1000)));
  CHECK(silent->health().StateAt(At(1700)) ==
        EndpointHealth::State::kProbation);
}

// Guards against a service without endpoints because all were ejected at once.
TEST_CASE("an ejected endpoint is the last resort") {
  Pool pool(1);
  pool.pool.OnOutcome(*pool.pool.Find("e0"), SendOutcome::kNoRoute, At(0));
  const Prompt prompt = MakePrompt("s", 400);
  SendNeeds needs;
  needs.prompt = &prompt;
  CHECK(pool.pool.Choose(needs, At(1)));
}

TEST_CASE("a new start of an endpoint has new books") {
  Pool pool(1);
  const auto before = pool.pool.Find("e0");
  auto endpoints = MakeEndpoints(1);
  endpoints[0].born = 99;
  pool.pool.Update(EngineService(), endpoints);
  CHECK(pool.pool.Find("e0") != before);
  CHECK(before->removed);
}

}  // namespace
}  // namespace jujuberock::dispatch
