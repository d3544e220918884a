#include "core/dispatch/service_pool.h"

#include <map>
#include <set>

#include <catch2/catch.hpp>

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
  catalog::EngineProperties properties;
  properties.slots = 8;
  properties.kv_capacity_tokens = 50000;
  service.engine = properties;
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
    SendRequirements requirements;
    requirements.prompt = &prompt;
    requirements.urgency = urgency;
    const auto choice = this->pool.Choose(requirements, now);
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

// Load pattern: many long prompts of different sessions at the same time.
// Guards against sending two of them to one engine while another is idle.
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

// Load pattern: one of many hosts sends a long prompt to an engine. Guards
// against a second long prompt there from a host that knows of the first one
// only by its announcement.
TEST_CASE("prompts of other hosts count until they are prefilled") {
  Pool pool(2);
  const auto busy = pool.pool.Find("e0");
  busy->OnPeerPrompt({12000, 12000, milliseconds(300), false}, At(0));
  for (int i = 0; i < 8; ++i) {
    const Prompt prompt = MakePrompt("s" + std::to_string(i), 4000);
    SendRequirements requirements;
    requirements.prompt = &prompt;
    CHECK(pool.pool.Choose(requirements, At(5))->endpoint != busy);
  }
  CHECK(busy->room().PeerPending(kUrgencyLevels - 1, 0.02, At(5000)) == 0);
}

// Load pattern: many hosts that each send a few runs to the same engine. Guards
// against overcommitting the memory of the engine, which preempts runs.
TEST_CASE("the memory of other hosts' runs counts until they end") {
  Pool pool(2);
  const auto full = pool.pool.Find("e0");
  for (int i = 0; i < 5; ++i)
    full->OnPeerPrompt({0, 9500, milliseconds(400), false}, At(0));
  CHECK(full->PeerRuns(At(1)) == 5);
  const Prompt prompt = MakePrompt("s", 4000);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  for (int i = 0; i < 8; ++i)
    CHECK(pool.pool.Choose(requirements, At(5))->endpoint != full);
  CHECK(full->room().PeerMemory(kUrgencyLevels - 1, At(500)) == 0);
  CHECK(full->PeerRuns(At(500)) == 0);
}

// Load pattern: a host has just started, or the announcements of others are
// lost, while an engine reports many runs. Guards against taking the memory of
// these runs for free.
TEST_CASE("reported runs that nobody has announced take memory") {
  Pool pool(2);
  const auto full = pool.pool.Find("e0");
  const auto other = pool.pool.Find("e1");
  // The mean run of the service needs about 9,500 tokens.
  for (int i = 0; i < 300; ++i)
    pool.pool.OnSent({0, 9500, milliseconds(400), false}, At(0));
  full->OnLoadReport({5, 0, 8}, At(0));
  other->OnLoadReport({1, 0, 8}, At(0));
  const Prompt prompt = MakePrompt("s", 4000);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  for (int i = 0; i < 8; ++i)
    CHECK(pool.pool.Choose(requirements, At(5))->endpoint == other);
  // Once announced they are not counted twice.
  full->OnPeerPrompt({0, 500, milliseconds(400), false}, At(0));
  CHECK(full->UnannouncedRuns(At(0)) == Approx(4));
}

// Load pattern: engines crash and are replaced, while their entries are still
// registered. Guards against urgent requests that are refused because each
// endpoint they try is a dead one on probation.
TEST_CASE("a request that found a dead endpoint avoids those on probation") {
  Pool pool(3);
  pool.pool.Find("e0")->health().Eject(At(-5000));
  pool.pool.Find("e1")->health().Eject(At(-5000));
  const Prompt prompt = MakePrompt("s", 4000);
  // The healthy endpoint is the busiest.
  pool.pool.Find("e2")->OnPeerPrompt({20000, 20000, milliseconds(900), false},
                                     At(0));
  SendRequirements requirements;
  requirements.prompt = &prompt;
  CHECK(pool.pool.Choose(requirements, At(0))->endpoint->endpoint().id != "e2");
  requirements.avoid_probation = true;
  CHECK(pool.pool.Choose(requirements, At(0))->endpoint->endpoint().id == "e2");
}

// Load pattern: chats with long answers mixed with long prompts that have short
// answers. Guards against pauses in the stream of a chat while its engine
// prefills a long prompt.
TEST_CASE("long prompts avoid the engines for long runs") {
  Pool pool(20);
  Prompt chat = MakePrompt("chat", 400);
  chat.max_output_tokens = 80;
  const Prompt document = MakePrompt("document", 9000);
  SendRequirements chat_requirements;
  chat_requirements.prompt = &chat;
  SendRequirements document_requirements;
  document_requirements.prompt = &document;
  std::set<std::string> chat_engines;
  std::set<std::string> document_engines;
  for (int i = 0; i < 600; ++i) {
    const TimePoint now = At(20 * i);
    const auto for_document = pool.pool.Choose(document_requirements, now);
    const auto for_chat = pool.pool.Choose(chat_requirements, now);
    // The chats of all hosts occupy about 16 of 160 slots.
    pool.pool.OnSent({400, 480, milliseconds(350), true}, now);
    if (i < 300)
      continue;
    REQUIRE(for_chat->is_long);
    REQUIRE_FALSE(for_document->is_long);
    chat_engines.insert(for_chat->endpoint->endpoint().id);
    document_engines.insert(for_document->endpoint->endpoint().id);
  }
  for (const std::string& id : chat_engines)
    CHECK_FALSE(document_engines.contains(id));
}

// Load pattern: one store per zone. Guards against fetches across zones while
// an equally idle engine is in the zone of the store.
TEST_CASE("a prompt goes to the zone of the store that holds it") {
  Pool pool(0);
  auto endpoints = MakeEndpoints(6);
  for (size_t i = 0; i < endpoints.size(); ++i)
    endpoints[i].zone = i < 3 ? "z" : "far";
  pool.pool.Update(EngineService(), endpoints);
  const Prompt prompt = MakePrompt("s", 9000);
  std::vector<StoredPart> stored(2);
  stored[0] = {true, "far", 0, 60};
  SendRequirements requirements;
  requirements.prompt = &prompt;
  requirements.stored = [&](uint64_t) -> const std::vector<StoredPart>& {
    return stored;
  };
  requirements.fetch_limits.max_wait_ms = 270;
  for (int i = 0; i < 10; ++i) {
    const auto choice = pool.pool.Choose(requirements, At(1));
    CHECK(choice->endpoint->endpoint().zone == "far");
    CHECK(choice->uncached_tokens == 4500);
  }
}

// Load pattern: every engine has prompts waiting, so that a fetch is hidden by
// the wait. Guards against fetches across zones that delay no request by
// themselves, but fill the links of the stores for all others.
TEST_CASE("a busy engine in the zone of the store is preferred") {
  Pool pool(0);
  auto endpoints = MakeEndpoints(6);
  for (size_t i = 0; i < endpoints.size(); ++i)
    endpoints[i].zone = i < 3 ? "z" : "far";
  pool.pool.Update(EngineService(), endpoints);
  for (const auto& [id, record] : pool.pool.records()) {
    SendTicket waiting;
    waiting.endpoint = record;
    waiting.uncached_tokens = 12000;
    record->OnSent(waiting, At(0));
  }
  const Prompt prompt = MakePrompt("s", 9000);
  std::vector<StoredPart> stored(2);
  stored[0] = {true, "far", 0, 60};
  SendRequirements requirements;
  requirements.prompt = &prompt;
  requirements.stored = [&](uint64_t) -> const std::vector<StoredPart>& {
    return stored;
  };
  requirements.fetch_limits.max_wait_ms = 270;
  for (int i = 0; i < 10; ++i)
    CHECK(pool.pool.Choose(requirements, At(1))->endpoint->endpoint().zone ==
          "far");
}

// Load pattern: repeated requests of one session at low load. Guards against
// prefilling its prompt on a different engine each time.
TEST_CASE("a session returns to the engine that cached its prompt") {
  Pool pool(6);
  const Prompt prompt = MakePrompt("session", 9000);
  SendTicket first = pool.Send(prompt, 1, At(0));
  first.endpoint->OnStarted(first, At(100));
  first.endpoint->part_cache().Insert(CachedPartsOf("", prompt));
  first.endpoint->OnEnded(first, At(200));
  for (int i = 1; i < 5; ++i) {
    SendTicket again = pool.Send(prompt, 1, At(1000 * i));
    CHECK(again.endpoint == first.endpoint);
    CHECK(again.uncached_tokens == 0);
    again.endpoint->OnEnded(again, At(1000 * i + 100));
  }
}

// Load pattern: long prompts beyond the engines' memory, while a part of the
// engines is lost. Guards against sending more prompts than fit: the engine
// preempts runs, whose prompts it prefills again.
TEST_CASE("the prediction includes the wait for memory") {
  Pool pool(1);
  const Prompt prompt = MakePrompt("s", 12000);
  const auto engine = pool.pool.Find("e0");
  const auto predict = [&](int64_t tokens_in_use) {
    SendTicket running;
    running.endpoint = engine;
    running.memory_tokens = tokens_in_use;
    engine->OnSent(running, At(0));
    engine->OnStarted(running, At(0));
    SendRequirements requirements;
    requirements.prompt = &prompt;
    const auto choice = pool.pool.Choose(requirements, At(1));
    engine->OnEnded(running, At(1));
    return choice->predicted;
  };
  CHECK(predict(30000) == predict(0));
  CHECK(predict(60000) > predict(30000));
  CHECK(predict(90000) > predict(60000));
}

// Guards against predicting a late answer for an urgent request because of
// prompts that the engine prefills after it.
TEST_CASE("less urgent prompts do not delay an urgent request") {
  Pool pool(1);
  const Prompt large = MakePrompt("a", 20000);
  pool.Send(large, 1, At(0));
  const Prompt small = MakePrompt("b", 400);
  SendRequirements requirements;
  requirements.prompt = &small;
  requirements.urgency = 0;
  const auto urgent = pool.pool.Choose(requirements, At(1));
  requirements.urgency = 2;
  const auto relaxed = pool.pool.Choose(requirements, At(1));
  CHECK(urgent->predicted < relaxed->predicted);
}

TEST_CASE("leaving, tried, reserved and outdated engines are not chosen") {
  const Prompt prompt = MakePrompt("s", 400);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  Pool pool(2);
  SECTION("leaving") {
    auto endpoints = MakeEndpoints(2);
    endpoints[0].leaving = true;
    pool.pool.Update(EngineService(), endpoints);
  }
  std::set<std::string> tried = {"e0"};
  SECTION("tried") {
    requirements.tried = &tried;
  }
  SECTION("reserved for a weight update") {
    pool.pool.Find("e0")->Reserve("m", 2, At(100));
  }
  SECTION("on old weights") {
    pool.pool.Find("e1")->SetVersion("m", 2);
    requirements.required_version = 2;
  }
  SECTION("ejected") {
    pool.pool.OnOutcome(*pool.pool.Find("e0"), SendOutcome::kNoRoute, At(0));
  }
  for (int i = 0; i < 20; ++i)
    CHECK(pool.pool.Choose(requirements, At(1))->endpoint->endpoint().id ==
          "e1");
}

// Load pattern: engines stop responding while each host sends them a few
// requests per second. Guards against every host losing a request of its own to
// detect each of these engines.
TEST_CASE("an engine that another host can't reach is not chosen") {
  Pool pool(2);
  const auto silent = pool.pool.Find("e0");
  silent->OnBytesReceived(At(0));
  SECTION("unless it has just answered this host") {
    CHECK_FALSE(ServicePool::OnPeerUnreachable(*silent, At(300)));
    return;
  }
  CHECK(ServicePool::OnPeerUnreachable(*silent, At(900)));
  const Prompt prompt = MakePrompt("s", 400);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  for (int i = 0; i < 20; ++i)
    CHECK(pool.pool.Choose(requirements, At(1000))->endpoint != silent);
  // Further reports do not prolong the ejection.
  CHECK_FALSE(ServicePool::OnPeerUnreachable(*silent, At(1000)));
  CHECK(silent->health().StateAt(At(1700)) ==
        EndpointHealth::State::kProbation);
}

// Guards against a service without usable endpoints after all were ejected at
// the same time.
TEST_CASE("an ejected endpoint is the last resort") {
  Pool pool(1);
  pool.pool.OnOutcome(*pool.pool.Find("e0"), SendOutcome::kNoRoute, At(0));
  const Prompt prompt = MakePrompt("s", 400);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  CHECK(pool.pool.Choose(requirements, At(1)));
}

TEST_CASE("a restarted endpoint gets a new record") {
  Pool pool(1);
  const auto before = pool.pool.Find("e0");
  auto endpoints = MakeEndpoints(1);
  endpoints[0].started_at_ms = 99;
  pool.pool.Update(EngineService(), endpoints);
  CHECK(pool.pool.Find("e0") != before);
  CHECK(before->removed);
}

// Guards against refusals whose log line does not say why no engine was left.
TEST_CASE("engines that may not take a request are counted by reason") {
  ServicePool pool("z", 1, kSeed);
  auto endpoints = MakeEndpoints(6);
  endpoints[0].leaving = true;
  endpoints[5].models = {{"m", 2}};
  pool.Update(EngineService(), endpoints);
  pool.Find("e1")->paused_until = At(1000);
  pool.Find("e3")->Reserve("m", 2, At(1000));
  const std::set<std::string> tried = {"e2"};
  const Prompt prompt = MakePrompt("s", 1000);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  requirements.tried = &tried;
  const auto any_version = pool.CountExclusions(requirements, At(0));
  CHECK(any_version == ExclusionCounts{2, 1, 1, 0, 1, 1});
  requirements.required_version = 2;
  const auto newest = pool.CountExclusions(requirements, At(0));
  CHECK(newest == ExclusionCounts{1, 1, 1, 3, 0, 0});
}

// Load pattern: new weights reach the engines one after the other. Guards
// against engines that stay empty for up to 1.8 s after they have loaded, when
// this host learns of the new version from a response before the lease record
// changes: 3 of 9 engines were idle while requests were refused.
TEST_CASE("a reservation ends when the engine has the version") {
  Pool pool(1);
  const auto engine = pool.pool.Find("e0");
  engine->Reserve("m", 2, At(1800));
  CHECK(engine->IsReserved(At(0)));
  engine->SetVersion("m", 2);
  CHECK_FALSE(engine->IsReserved(At(0)));
  engine->Reserve("m", 3, At(1800));
  CHECK(engine->IsReserved(At(1700)));
  CHECK_FALSE(engine->IsReserved(At(1800)));
}

// Load pattern: the engine with old weights has a long queue. Guards against
// runs that begin there after the time at which these weights must no longer be
// used.
TEST_CASE("a run that can not begin in time on old weights is not sent there") {
  Pool pool(1);
  const Prompt queued = MakePrompt("s0", 8000);
  for (int i = 0; i < 20; ++i)
    pool.Send(queued, 0, At(0));
  const Prompt prompt = MakePrompt("s1", 8000);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  const auto choice = pool.pool.Choose(requirements, At(0));
  REQUIRE(choice);
  requirements.start_deadline = [&](uint64_t) {
    return At(0) + choice->predicted;
  };
  CHECK_FALSE(pool.pool.Choose(requirements, At(0)));
  requirements.start_deadline = [&](uint64_t) {
    return At(0) + 3 * choice->predicted;
  };
  CHECK(pool.pool.Choose(requirements, At(0)));
}

// Guards against requests to an endpoint that has asked for a pause, which ends
// neither with its registration nor because no other endpoint is left.
TEST_CASE("an endpoint that asked for a pause is not chosen until its end") {
  Pool p(1);
  const auto record = p.pool.Find("e0");
  record->backoff_until = At(1000);
  const Prompt prompt = MakePrompt("s", 100);
  SendRequirements requirements;
  requirements.prompt = &prompt;
  const auto is_chosen = [&](int ms) {
    return p.pool.Choose(requirements, At(ms)).has_value();
  };
  CHECK_FALSE(is_chosen(0));
  CHECK_FALSE(is_chosen(999));
  CHECK(p.pool.PauseLeft(requirements, At(400)) == milliseconds(600));
  p.pool.Update(EngineService(), MakeEndpoints(2));
  CHECK_FALSE(p.pool.PauseLeft(requirements, At(400)));
  p.pool.Update(EngineService(), {});
  p.pool.Update(EngineService(), MakeEndpoints(1));
  CHECK(p.pool.Find("e0") == record);
  CHECK_FALSE(is_chosen(999));
  CHECK(is_chosen(1000));
  SECTION("a new instance has not asked") {
    auto restarted = MakeEndpoints(1);
    restarted[0].started_at_ms = 77;
    p.pool.Update(EngineService(), restarted);
    CHECK(is_chosen(0));
  }
}

}  // namespace
}  // namespace jujuberock::dispatch
