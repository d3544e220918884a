#include "core/routing/router.h"

#include <catch2/catch.hpp>

namespace jujuberock::routing {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kRate = 10'000;    // prefill tokens per second
constexpr double kLink = 64 << 20;  // one block per second
constexpr double kFastLink = 50.0 * kLink;

TimePoint At(double s) {
  return TimePoint(common::FromSeconds(1000 + s));
}

std::vector<BlockKey> Keys(uint64_t chain, size_t count) {
  std::vector<BlockKey> keys;
  for (uint64_t i = 0; i < count; ++i)
    keys.push_back({chain, i});
  return keys;
}

std::vector<CacheEvent> Added(const std::vector<BlockKey>& keys) {
  std::vector<CacheEvent> events;
  for (const BlockKey& key : keys)
    events.push_back({CacheEvent::Op::kAdd, key});
  return events;
}

LoadReport Load(double at, uint64_t queued = 0, uint32_t running = 0) {
  LoadReport report;
  report.as_of = At(at).time_since_epoch();
  report.running = running;
  report.queued_tokens = queued;
  report.slots = 8;
  report.prefill_tokens_per_s = kRate;
  report.version = "v1";
  report.kv_capacity_blocks = 100;
  return report;
}

class Fixture {
 public:
  explicit Fixture(RouterSettings settings = {}) : router("z1", settings) {
    this->Endpoint("e1", "z1");
    this->Endpoint("e2", "z1");
    this->Endpoint("far", "z2");
    this->router.OnStoreState("s1", true, At(0));
    this->Link(0, kFastLink, 0, 0);
    this->Link(1, kFastLink, 0, 0);
  }

  void Endpoint(const char* name,
                const char* zone,
                EndpointState state = EndpointState::kLive) {
    this->router.OnEndpointState({name, "s", zone}, state, At(0));
    this->router.OnLoadReport(name, Load(0), At(0));
  }
  void Link(double at, double speed, uint64_t sent, uint64_t received) {
    LinkReport report;
    report.capacity_bytes = 1ULL << 40;
    report.link_bytes_per_s = speed;
    report.sent_bytes = sent;
    report.received_bytes = received;
    this->router.OnLinkReport("s1", report, At(at));
  }
  RouteRequest Request(size_t blocks = 4, uint64_t chain = 1) {
    RouteRequest request;
    request.id = ++this->last_id;
    request.service = "s";
    request.version = "v1";
    request.zone = "z1";
    request.team = "t";
    request.block_keys = Keys(chain, blocks);
    request.prompt_tokens = blocks * kBlockTokens + 100;
    request.deadline = At(100);
    return request;
  }
  RouteDecision Choose(const RouteRequest& request, double at = 1) {
    const auto decision = this->router.Choose(request, At(at));
    REQUIRE(decision);
    return *decision;
  }

  Router router;
  RequestId last_id = 0;
};

TEST_CASE("a returning prompt goes to the endpoint that holds it") {
  Fixture f;
  f.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  const auto decision = f.Choose(f.Request());
  CHECK(decision.endpoint == "e2");
  CHECK(decision.cached_tokens == 4 * kBlockTokens);
  CHECK(decision.restores.empty());
  CHECK(decision.predicted_first_token == common::FromSeconds(100 / kRate));
}

TEST_CASE("a cached prefix ends at the first missing block") {
  Fixture f;
  f.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  const std::vector<CacheEvent> removal = {
      {CacheEvent::Op::kRemove, Keys(1, 4)[1]}};
  f.router.OnCacheEvents("e2", 4, removal, At(0));
  CHECK(f.Choose(f.Request()).cached_tokens == kBlockTokens);
}

TEST_CASE("a long queue at the holder makes a restore elsewhere cheaper") {
  Fixture f;
  f.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  f.router.OnCacheEvents("s1", 0, Added(Keys(1, 4)), At(0));
  f.router.OnLoadReport("e2", Load(1, 100'000), At(1));
  const auto decision = f.Choose(f.Request());
  CHECK(decision.endpoint == "e1");
  REQUIRE(decision.restores.size() == 4);
  CHECK(decision.restores[0].store == "s1");
  CHECK(decision.restores[3].key == Keys(1, 4)[3]);
}

TEST_CASE("nothing is restored over a link slower than prefill") {
  Fixture f;
  f.router.OnCacheEvents("s1", 0, Added(Keys(1, 4)), At(0));
  f.Link(1, kLink, 0, 0);
  for (int i = 0; i < 10; ++i)
    f.Link(1 + i * 0.1, kLink, 0, 0);
  // Recomputing a block takes 0.2 s, transferring it takes 1 s.
  CHECK(f.Choose(f.Request(), 2).restores.empty());
}

// The link is 50 times slower than reported. Late restores and the store's
// count of sent bytes reveal it.
TEST_CASE("link speed is learned from late restores") {
  Fixture f;
  f.router.OnCacheEvents("s1", 0, Added(Keys(1, 4)), At(0));
  for (int i = 1; i <= 8; ++i) {
    RouteRequest request = f.Request();
    request.excluded = {i % 2 ? "e1" : "e2"};
    auto decision = f.router.Choose(request, At(i));
    if (!decision || decision->restores.empty())
      continue;
    f.router.OnDispatched(request, *decision, At(i));
    f.router.OnFirstToken(request.id, 0, 4 * kBlockTokens, At(i + 0.9));
    f.router.OnFinished(request.id, false, At(i + 0.95));
    f.router.OnHolderRestarted(decision->endpoint);
    f.Link(i + 0.99, kFastLink, static_cast<uint64_t>(i * kLink), 0);
  }
  CHECK(f.Choose(f.Request(), 9.2).restores.empty());
}

// Late first tokens alone are caused by the endpoint, not by the link.
TEST_CASE("late first tokens of busy endpoints do not lower the link speed") {
  Fixture f;
  f.router.OnCacheEvents("s1", 0, Added(Keys(1, 4)), At(0));
  for (int i = 1; i <= 8; ++i) {
    const RouteRequest request = f.Request();
    const auto decision = f.Choose(request, i);
    REQUIRE(decision.restores.size() == 4);
    f.router.OnDispatched(request, decision, At(i));
    f.router.OnFirstToken(request.id, 0, 4 * kBlockTokens, At(i + 0.9));
    f.router.OnFinished(request.id, false, At(i + 0.95));
    f.router.OnHolderRestarted(decision.endpoint);
    f.Link(i + 0.99, kFastLink, static_cast<uint64_t>(i * 4 * kLink), 0);
  }
}

TEST_CASE("restores stop when the link's budget is used up") {
  RouterSettings settings;
  settings.weights.link_queue = false;
  Fixture f(settings);
  f.router.SetHostCount(4);
  f.Link(2, kFastLink, 0, 0);
  f.Link(9, kFastLink, 0, 0);
  size_t restored = 0;
  for (int i = 0; i < 50; ++i) {
    const uint64_t chain = 100 + i;
    f.router.OnCacheEvents("s1", 4 * i, Added(Keys(chain, 4)), At(9));
    const RouteRequest request = f.Request(4, chain);
    const auto decision = f.Choose(request, 9.5);
    restored += decision.restores.size();
    f.router.OnDispatched(request, decision, At(9.5));
  }
  // Burst of this host: a quarter of 2 s at 0.8 of 50 blocks per second, plus
  // one transfer.
  CHECK(restored > 0);
  CHECK(restored <= 24);
}

TEST_CASE("lost events make entries stale until they are added again") {
  Fixture f;
  f.router.OnCacheEvents("e1", 0, Added(Keys(1, 4)), At(0));
  f.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  f.router.OnCacheEvents("e1", 9, Added(Keys(2, 1)), At(0));
  for (int i = 0; i < 10; ++i)
    CHECK(f.Choose(f.Request()).endpoint == "e2");
  f.router.OnCacheEvents("e1", 10, Added(Keys(1, 4)), At(0));
  CHECK(f.router.NextSequence("e1") == 14);
  f.router.OnEndpointState({"e2", "s", "z1"}, EndpointState::kGone, At(1));
  CHECK(f.Choose(f.Request()).endpoint == "e1");
}

TEST_CASE("events seen before are skipped") {
  Fixture f;
  f.router.OnCacheEvents("e1", 0, Added(Keys(1, 4)), At(0));
  std::vector<CacheEvent> removed;
  for (const BlockKey& key : Keys(1, 4))
    removed.push_back({CacheEvent::Op::kRemove, key});
  f.router.OnCacheEvents("e1", 4, removed, At(0));
  f.router.OnCacheEvents("e1", 0, Added(Keys(1, 4)), At(0));
  CHECK(f.Choose(f.Request()).cached_tokens == 0);
}

TEST_CASE("a holder that returns starts with an empty cache") {
  Fixture f;
  f.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  f.router.OnEndpointState({"e2", "s", "z1"}, EndpointState::kGone, At(1));
  f.Endpoint("e2", "z1");
  CHECK(f.Choose(f.Request()).cached_tokens == 0);
  f.router.OnCacheEvents("e1", 0, Added(Keys(1, 4)), At(0));
  f.router.OnHolderRestarted("e1");
  CHECK(f.Choose(f.Request()).cached_tokens == 0);
}

TEST_CASE("own dispatches count until a report shows them") {
  Fixture f;
  const RouteRequest first = f.Request(20, 7);
  const auto decision = f.Choose(first);
  f.router.OnDispatched(first, decision, At(1));
  const auto second = f.Choose(f.Request(4, 8), 1);
  CHECK(second.endpoint != decision.endpoint);
  // The report shows the dispatched request as no longer queued: free again.
  f.router.OnLoadReport(decision.endpoint, Load(1.5, 0, 1), At(1.5));
  f.router.OnLoadReport(second.endpoint, Load(1.5, 90'000, 8), At(1.5));
  CHECK(f.Choose(f.Request(4, 9), 1.5).endpoint == decision.endpoint);
}

TEST_CASE("leaving, excluded and outdated endpoints are not chosen") {
  Fixture f;
  f.Endpoint("e1", "z1", EndpointState::kLeaving);
  RouteRequest request = f.Request();
  request.excluded = {"e2"};
  CHECK(f.Choose(request).endpoint == "far");
  LoadReport old = Load(1);
  old.version = "v0";
  f.router.OnLoadReport("far", old, At(1));
  CHECK_FALSE(f.router.Choose(request, At(1)));
  request.excluded.clear();
  LoadReport leaving = Load(1);
  leaving.leaving = true;
  f.router.OnLoadReport("e2", leaving, At(1));
  CHECK_FALSE(f.router.Choose(request, At(1)));
}

// Guards against a policy that stays in the zone at any cost below the
// deadline: in the policy experiment that more than tripled the recomputed
// share.
TEST_CASE(
    "another zone is used when the caller's zone would answer much later") {
  Fixture f;
  f.router.OnLoadReport("e1", Load(1, 500), At(1));
  f.router.OnLoadReport("e2", Load(1, 500), At(1));
  RouteRequest request = f.Request(0);
  for (int i = 0; i < 10; ++i)
    CHECK(f.Choose(request).endpoint != "far");
  // The caller's zone narrowly misses this deadline, the other zone meets it.
  request.deadline = At(1) + milliseconds(40);
  CHECK(f.Choose(request).endpoint == "far");
  request.deadline = At(100);
  f.router.OnLoadReport("e1", Load(1, 20'000), At(1));
  f.router.OnLoadReport("e2", Load(1, 20'000), At(1));
  CHECK(f.Choose(request).endpoint == "far");
}

TEST_CASE("the owner's answer extends the index, load_only ignores both") {
  Fixture f;
  Fixture owner;
  owner.router.OnCacheEvents("e2", 0, Added(Keys(1, 4)), At(0));
  RouteRequest request = f.Request();
  request.owner_reply = owner.router.AnswerQuery({request.block_keys});
  CHECK(f.Choose(request).endpoint == "e2");
  request.owner_reply.reset();
  f.router.ApplyUpdate(
      owner.router.MakeUpdate(request, {"e2", {}, {}, {}, 0, false, {}}),
      At(1));
  CHECK(f.Choose(request).endpoint == "e2");
  request.load_only = true;
  CHECK(f.Choose(request).cached_tokens == 0);
  IndexReply stored;
  stored.stores.push_back({"s1", {0, 1, 2, 3, 99}});
  RouteRequest other = f.Request(4, 5);
  other.owner_reply = stored;
  CHECK(f.Choose(other).restores.size() == 4);
}

TEST_CASE("a turn is exported once, and again when the store lost it") {
  Fixture f;
  const RouteRequest request = f.Request();
  const auto decision = f.Choose(request);
  f.router.OnDispatched(request, decision, At(1));
  f.router.OnFirstToken(request.id, 0, 0, At(2));
  f.router.OnFinished(request.id, true, At(3));
  const auto exports = f.router.TakeExports(At(3));
  REQUIRE(exports.size() == 1);
  CHECK(exports[0].endpoint == decision.endpoint);
  CHECK(exports[0].keys == request.block_keys);
  f.router.OnCacheEvents("s1", 0, Added(request.block_keys), At(4));
  const RouteRequest again = f.Request();
  f.router.OnDispatched(again, f.Choose(again, 5), At(5));
  f.router.OnFinished(again.id, true, At(6));
  CHECK(f.router.TakeExports(At(6)).empty());
}

TEST_CASE("a store that confirms nothing gets no more exports for a while") {
  Fixture f;
  const auto turn = [&](uint64_t chain, double at) {
    const RouteRequest request = f.Request(4, chain);
    f.router.OnDispatched(request, f.Choose(request, at), At(at));
    f.router.OnFinished(request.id, true, At(at));
    return f.router.TakeExports(At(at));
  };
  CHECK(turn(1, 1).size() == 1);
  CHECK(turn(2, 12).empty());
  CHECK(turn(3, 40).size() > 0);
}

// A suspect that shares its endpoint could crash it together with other
// requests.
TEST_CASE("a suspect waits for an idle endpoint and runs there alone") {
  Fixture f;
  f.Endpoint("far", "z2", EndpointState::kGone);
  f.router.OnLoadReport("e1", Load(1, 0, 2), At(1));
  f.router.OnLoadReport("e2", Load(1, 0, 1), At(1));
  RouteRequest suspect = f.Request();
  suspect.isolate = true;
  CHECK_FALSE(f.router.Choose(suspect, At(1)));
  // e2 drains and accepts nothing new meanwhile.
  for (int i = 0; i < 5; ++i)
    CHECK(f.Choose(f.Request(1, 50 + i), 1).endpoint == "e1");
  f.router.OnLoadReport("e2", Load(2), At(2));
  const auto isolated = f.Choose(suspect, 2);
  CHECK(isolated.endpoint == "e2");
  f.router.OnDispatched(suspect, isolated, At(2));
  CHECK(f.Choose(f.Request(), 2).endpoint == "e1");
  REQUIRE(f.router.Reservations(At(2)).size() == 1);
  Fixture other;
  other.Endpoint("far", "z2", EndpointState::kGone);
  other.router.OnReservations("h2", f.router.Reservations(At(2)), At(2));
  CHECK(other.Choose(other.Request(), 2).endpoint == "e1");
  f.router.OnFinished(suspect.id, true, At(3));
  f.router.OnLoadReport("e1", Load(3, 90'000, 8), At(3));
  CHECK(f.Choose(f.Request(), 3).endpoint == "e2");
}

// Guards against two suspects of different hosts on one endpoint. If it
// crashes, neither can be told to be the cause, so the cause reaches a third
// endpoint.
TEST_CASE("of two hosts that reserve an endpoint at once, one gets it") {
  RouterSettings settings;
  settings.host = "h1";
  Fixture first(settings);
  settings.host = "h2";
  Fixture second(settings);
  RouteRequest suspect = first.Request();
  suspect.isolate = true;
  for (Fixture* f : {&first, &second}) {
    f->Endpoint("e2", "z1", EndpointState::kGone);
    f->Endpoint("far", "z2", EndpointState::kGone);
    CHECK_FALSE(f->router.Choose(suspect, At(1)));
  }
  const auto of_first = first.router.TakeReservationChanges(At(1));
  const auto of_second = second.router.TakeReservationChanges(At(1));
  REQUIRE(of_first.size() == 1);
  first.router.OnReservations("h2", of_second, At(1.05));
  second.router.OnReservations("h1", of_first, At(1.05));
  CHECK_FALSE(first.router.Choose(suspect, At(1.09)));
  const auto decision = first.router.Choose(suspect, At(1.1));
  REQUIRE(decision);
  first.router.OnDispatched(suspect, *decision, At(1.1));
  CHECK_FALSE(second.router.Choose(suspect, At(1.3)));
  // The second host gets the endpoint when the first has released it.
  first.router.OnFinished(suspect.id, true, At(2));
  const auto released = first.router.TakeReservationChanges(At(2));
  second.router.OnReservations("h1", released, At(2));
  CHECK_FALSE(second.router.Choose(suspect, At(2)));
  CHECK(second.router.Choose(suspect, At(2.1)));
}

TEST_CASE("suspects can not reserve a whole service") {
  Fixture f;
  for (int i = 0; i < 10; ++i) {
    RouteRequest suspect = f.Request();
    suspect.isolate = true;
    f.router.Choose(suspect, At(1));
  }
  CHECK(f.router.Reservations(At(1)).size() == 1);
  CHECK(f.router.Choose(f.Request(), At(1)));
}

TEST_CASE("the index is bounded and keeps recently used blocks") {
  RouterSettings settings;
  settings.max_index_blocks = 100;
  Fixture f(settings);
  f.router.OnCacheEvents("e1", 0, Added(Keys(1, 4)), At(0));
  for (uint64_t i = 0; i < 1000; ++i) {
    f.router.OnCacheEvents("e1", 4 + i, Added(Keys(100 + i, 1)), At(0));
    f.Choose(f.Request());
  }
  CHECK(f.router.index_blocks() <= 100);
  CHECK(f.Choose(f.Request()).cached_tokens == 4 * kBlockTokens);
}

}  // namespace
}  // namespace jujuberock::routing
