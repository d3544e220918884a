#include "core/gateway/relayed_store.h"

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <string>

#include "core/common/error.h"

namespace jujuberock::gateway {
namespace {

using catalog::ObjectKind;
using catalog::ObjectSource;
using common::Duration;
using common::Error;
using common::ResultCode;
using common::TimePoint;
using relay::RelayAnswer;
using relay::RelayRequest;
using relay::RelayStatus;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kWait = milliseconds(1300);

class NoSink : public events::Sink {
 public:
  size_t Write(std::string_view bytes) override { return bytes.size(); }
};

struct FakeClock {
  TimePoint now{std::chrono::hours(1)};
};

// The platform's store as one host reaches it.
class FakeStore : public catalog::ObjectStore {
 public:
  explicit FakeStore(FakeClock& clock) : clock(clock) {}

  uint64_t era() const override { return this->newest_era; }
  catalog::ObjectSnapshot List(ObjectKind) override {
    this->Call();
    return {{{"main", this->revision, "{}"}}, this->revision};
  }
  catalog::ObjectChanges Watch(ObjectKind,
                               uint64_t since,
                               Duration wait) override {
    this->Call();
    this->last_wait = wait;
    catalog::ObjectChanges changes;
    changes.revision = this->revision;
    if (this->revision > since)
      changes.changes.push_back({{"main", this->revision, "{}"}, false});
    return changes;
  }
  std::optional<catalog::StoredObject> Read(ObjectKind,
                                            std::string_view) override {
    this->Call();
    return std::nullopt;
  }
  catalog::WriteReply Create(ObjectKind,
                             std::string_view,
                             std::string_view) override {
    this->Call();
    return {};
  }
  catalog::WriteReply Replace(ObjectKind,
                              std::string_view,
                              uint64_t,
                              std::string_view) override {
    this->Call();
    return {};
  }

  FakeClock& clock;
  uint64_t newest_era = 1;
  uint64_t revision = 10;
  int calls = 0;
  Duration last_wait{0};
  bool is_cut = false;

 private:
  void Call() {
    ++this->calls;
    if (this->is_cut)
      throw Error(ResultCode::kPlatformUnavailable, "cut off");
  }
};

// Relays by address; one without a script does not answer.
class FakeRelays : public RelayTransport {
 public:
  explicit FakeRelays(FakeClock& clock) : clock(clock) {}

  RelayAnswer Ask(const std::string& address,
                  const RelayRequest& request) override {
    this->asked.push_back(address);
    this->last_request = request;
    const auto found = this->scripts.find(address);
    const auto& script =
        found == this->scripts.end() ? this->default_script : found->second;
    if (script)
      return script(request);
    this->clock.now += request.wait + milliseconds(400);
    throw Error(ResultCode::kEndpointSilent, "no answer");
  }

  FakeClock& clock;
  std::function<RelayAnswer(const RelayRequest&)> default_script;
  std::map<std::string, std::function<RelayAnswer(const RelayRequest&)>>
      scripts;
  std::vector<std::string> asked;
  RelayRequest last_request;
};

RelayAnswer View(uint64_t revision, Duration age, uint64_t era = 1) {
  RelayAnswer answer;
  answer.status = RelayStatus::kView;
  answer.era = era;
  answer.revision = revision;
  answer.age = age;
  return answer;
}

RelayAnswer Refusal(RelayStatus status) {
  RelayAnswer answer;
  answer.status = status;
  answer.era = 1;
  return answer;
}

// A host in a zone of 20 that is no relay, and has listed the configuration at
// the store before it knew of the others.
struct Fixture {
  FakeClock clock;
  FakeStore store{clock};
  FakeRelays relays{clock};
  NoSink sink;
  common::MetricRegistry counters;
  events::EventLog log{sink, "h", [] { return common::UnixTime(); }, counters};
  RelayedStore relayed{{{FollowerName(), "a", 12}, kWait, milliseconds(450)},
                       store,
                       relays,
                       log,
                       counters,
                       [this] { return this->clock.now; }};

  Fixture() {
    this->relayed.List(ObjectKind::kConfig);
    this->relayed.SetHosts(Others(FollowerName()));
    this->store.calls = 0;
  }

  static std::vector<relay::RelayHost> Others(const std::string& own) {
    std::vector<relay::RelayHost> hosts;
    for (int i = 0; i < 20; ++i) {
      const std::string name = "host." + std::to_string(i);
      if (name != own)
        hosts.push_back({name, name});
    }
    return hosts;
  }
  static std::string FollowerName() {
    for (int i = 0;; ++i) {
      const std::string name = "host." + std::to_string(i);
      relay::RelayChoice choice({name, "a", 12});
      choice.SetHosts(Others(name));
      if (!choice.IsRelay(TimePoint()))
        return name;
    }
  }

  catalog::ObjectChanges Watch(uint64_t revision) {
    return this->relayed.Watch(ObjectKind::kConfig, revision, kWait);
  }
  // Lets the first relay that is asked do this, and the others answer.
  void BreakFirst(std::function<RelayAnswer(const RelayRequest&)> script) {
    this->relays.default_script = [](const RelayRequest&) {
      return View(10, Duration(0));
    };
    this->Watch(10);
    this->relays.scripts[this->relays.asked[0]] = std::move(script);
    this->relays.asked.clear();
  }
};

// Guards against calls to the store that grow with the hosts.
TEST_CASE("a follower's watch is answered by a relay, with the store's age") {
  Fixture f;
  f.relays.default_script = [&](const RelayRequest&) {
    f.clock.now += milliseconds(50);
    auto answer = View(12, milliseconds(700));
    answer.change_age = milliseconds(900);
    answer.changes = {{{"main", 12, "{}"}, false}};
    return answer;
  };
  f.clock.now += seconds(1);
  const auto changes = f.Watch(10);
  CHECK(f.store.calls == 0);
  CHECK(changes.revision == 12);
  CHECK(changes.changes.size() == 1);
  CHECK(changes.answer_age.source == ObjectSource::kRelay);
  CHECK(changes.answer_age.age == milliseconds(700));
  CHECK(changes.change_age == milliseconds(900));
  f.clock.now += milliseconds(100);
  f.Watch(12);
  CHECK(f.relays.last_request.age == milliseconds(850));
  CHECK(f.relays.last_request.wait ==
        kWait + RelayedStore::kSpareWait - milliseconds(850));
}

TEST_CASE("writes and single reads go to the store") {
  Fixture f;
  f.relayed.Read(ObjectKind::kHosts, "x");
  f.relayed.Create(ObjectKind::kHosts, "x", "{}");
  f.relayed.Replace(ObjectKind::kHosts, "x", 1, "{}");
  f.relayed.List(ObjectKind::kStreams);
  CHECK(f.store.calls == 4);
  CHECK(f.relays.asked.empty());
}

// A killed relay refuses connections.
TEST_CASE("the next relay is asked at once for one that was killed") {
  Fixture f;
  f.BreakFirst([](const RelayRequest&) -> RelayAnswer {
    throw Error(ResultCode::kPeerUnavailable, "refused");
  });
  const auto changes = f.Watch(10);
  CHECK(changes.answer_age.source == ObjectSource::kRelay);
  CHECK(f.relays.asked.size() == 2);
  f.Watch(10);
  CHECK(f.relays.asked.size() == 3);
  CHECK(f.store.calls == 0);
}

// Also one that is cut off from its peers. The view must not grow so old that
// the host reports not ready, or goes by a configuration that was replaced more
// than 3 s ago.
TEST_CASE("the view stays fresh when one relay is frozen") {
  Fixture f;
  f.BreakFirst(nullptr);
  const TimePoint began_at = f.clock.now;
  const auto changes = f.Watch(10);
  CHECK(f.relays.asked.size() == 1);
  CHECK(f.store.calls == 1);
  CHECK(f.clock.now - began_at <= kWait + RelayedStore::kMaxExtraAge);
  // The age counts from the request to the store, not from the first one.
  CHECK(began_at - changes.answer_age.age == f.clock.now);
  f.Watch(10);
  CHECK(f.relays.asked.size() == 2);
  CHECK(f.store.calls == 1);
}

// Load: a relay stops while another one is overloaded and answers what it had a
// while ago. Guards against a follower that waits for one after the other while
// its configuration is replaced.
TEST_CASE("a follower with an old view does not go from one silent relay on") {
  Fixture f;
  f.BreakFirst(nullptr);
  f.relays.default_script = nullptr;
  f.store.revision = 15;
  const TimePoint began_at = f.clock.now;
  CHECK(f.Watch(10).revision == 15);
  CHECK(f.relays.asked.size() == 1);
  CHECK(f.clock.now - began_at < seconds(2));
}

TEST_CASE("the store is asked when all relays are gone") {
  Fixture f;
  const TimePoint began_at = f.clock.now;
  const auto changes = f.Watch(10);
  CHECK(changes.answer_age.source == ObjectSource::kStore);
  CHECK(f.store.calls == 1);
  CHECK(f.clock.now - began_at <= 2 * milliseconds(400) + kWait);
  f.store.revision = 15;
  f.clock.now += seconds(1);
  const auto next = f.Watch(10);
  CHECK(next.revision == 15);
  // The watch of the relays may have missed it since the last answer.
  CHECK(next.change_age >= seconds(1));
}

// Removals after an outage are deferred, so hosts must see one as the relay
// does, and no answer that repeats the past may end it.
TEST_CASE("an outage of the store that a relay reports is a failed call") {
  Fixture f;
  f.relays.default_script = [](const RelayRequest&) {
    return Refusal(RelayStatus::kStoreFailing);
  };
  CHECK_THROWS_AS(f.Watch(10), Error);
  CHECK(f.store.calls == 0);
  f.clock.now += milliseconds(250);
  f.relays.scripts[f.relays.asked.back()] = [](const RelayRequest&) {
    return View(10, seconds(5));
  };
  CHECK_THROWS_AS(f.Watch(10), Error);
  CHECK(f.store.calls == 0);
  // All relays may be cut off while this host is not. The view is not too old
  // for keys until then.
  f.clock.now += milliseconds(250);
  CHECK(f.Watch(10).answer_age.source == ObjectSource::kStore);
}

// Guards against a store that all hosts of a zone call at once while it is in
// trouble.
TEST_CASE("a follower asks a failing store less often than relays do") {
  Fixture f;
  f.store.is_cut = true;
  f.relays.default_script = [](const RelayRequest&) {
    return Refusal(RelayStatus::kStoreFailing);
  };
  for (int i = 0; i < 100; ++i) {
    CHECK_THROWS_AS(f.Watch(10), Error);
    f.clock.now += milliseconds(100);
  }
  CHECK(f.store.calls > 1);
  CHECK(f.store.calls <= seconds(10) / RelayedStore::kDirectRetryPause + 1);
  f.relays.default_script = [](const RelayRequest&) {
    return View(10, Duration(0));
  };
  f.clock.now += relay::RelayChoice::kRefusedPause;
  CHECK(f.Watch(10).answer_age.source == ObjectSource::kRelay);
}

// A relay that is cut off from the store only is no outage of the store.
TEST_CASE("another relay's news of the store are used") {
  Fixture f;
  f.BreakFirst(
      [](const RelayRequest&) { return Refusal(RelayStatus::kStoreFailing); });
  f.clock.now += milliseconds(500);
  CHECK(f.Watch(10).answer_age.source == ObjectSource::kRelay);
  CHECK(f.store.calls == 0);
}

// The same while the relay's call to the store has not failed yet.
TEST_CASE("a view that grows older is read from the store itself") {
  Fixture f;
  const TimePoint cut_at = f.clock.now;
  f.relays.default_script = [&](const RelayRequest& request) {
    const Duration age = f.clock.now - cut_at;
    f.clock.now += request.wait + milliseconds(1);
    return View(10, age);
  };
  ObjectSource source = ObjectSource::kRelay;
  int watches = 0;
  while (source == ObjectSource::kRelay) {
    source = f.Watch(10).answer_age.source;
    ++watches;
  }
  CHECK(watches < 10);
  CHECK(f.clock.now - cut_at <=
        kWait + RelayedStore::kMaxExtraAge + RelayedStore::kMinWait);
  CHECK(f.store.calls == 1);
}

// Guards against requests to an endpoint that left more than 3 s ago, which
// large deployments forbid: a relay that is cut off from the store notices that
// only when its watch has timed out.
TEST_CASE("a leaving endpoint is noticed in time behind a relay that is cut") {
  constexpr Duration kLongWait = milliseconds(2500);
  constexpr Duration kDrainBound = seconds(3);
  Fixture f;
  const TimePoint cut_at = f.clock.now;
  f.relays.default_script = [&](const RelayRequest& request) {
    const Duration age = f.clock.now - cut_at;
    f.clock.now += request.wait + milliseconds(1);
    return View(10, age);
  };
  f.relayed.List(ObjectKind::kEndpoints);
  const auto watch = [&] {
    return f.relayed.Watch(ObjectKind::kEndpoints, 10, kLongWait);
  };
  while (watch().answer_age.source == ObjectSource::kRelay) {
  }
  CHECK(f.clock.now - cut_at < kDrainBound - milliseconds(200));
  // Relays confirm their view so often that this is not needed otherwise.
  f.relayed.SetHosts({});
  watch();
  CHECK(f.store.last_wait == kLongWait);
  f.relayed.SetHosts(Fixture::Others(Fixture::FollowerName()));
  f.relayed.Answer(RelayRequest(), f.clock.now, f.clock.now);
  watch();
  CHECK(f.store.last_wait <= RelayedStore::kMaxEndpointsWait);
}

// Guards against a view that goes back behind what the host has.
TEST_CASE("of two relays that disagree, the one that is behind is not used") {
  Fixture f;
  f.BreakFirst([](const RelayRequest&) {
    auto answer = View(8, Duration(0));
    answer.changes = {{{"main", 8, "{}"}, false}};
    return answer;
  });
  const auto changes = f.Watch(10);
  CHECK(changes.revision == 10);
  CHECK(changes.changes.empty());
  const auto list = f.relayed.List(ObjectKind::kConfig);
  CHECK(list.revision == 10);
  CHECK(f.counters.GetCounter("relay_answers_rejected_total").value() == 1);
}

TEST_CASE("a list of a relay that is behind is not used") {
  Fixture f;
  f.relays.default_script = [](const RelayRequest&) {
    return View(8, Duration(0));
  };
  const auto list = f.relayed.List(ObjectKind::kConfig);
  CHECK(list.revision == 10);
  CHECK(list.answer_age.source == ObjectSource::kStore);
}

// Guards against an answer without objects that empties the view.
TEST_CASE("an answer to a list that is no list is not used") {
  Fixture f;
  f.relays.default_script = [](const RelayRequest&) {
    RelayAnswer answer = View(12, Duration(0));
    answer.status = RelayStatus::kHistoryGone;
    return answer;
  };
  const auto list = f.relayed.List(ObjectKind::kConfig);
  CHECK(list.objects.size() == 1);
  CHECK(list.answer_age.source == ObjectSource::kStore);
}

TEST_CASE("a new era that a relay names makes the kind be listed again") {
  Fixture f;
  f.relays.default_script = [](const RelayRequest& request) {
    auto answer = View(4, Duration(0), 2);
    if (request.era < 2)
      answer.status = RelayStatus::kHistoryGone;
    return answer;
  };
  CHECK(f.Watch(10).history_gone);
  CHECK(f.relayed.era() == 2);
  const auto list = f.relayed.List(ObjectKind::kConfig);
  CHECK(list.revision == 4);
  CHECK(list.answer_age.source == ObjectSource::kRelay);
  // Answers of the former era change nothing, whoever gives them.
  f.relays.default_script = [](const RelayRequest&) {
    return View(20, Duration(0), 1);
  };
  CHECK_THROWS_AS(f.Watch(4), Error);
  CHECK(f.relayed.era() == 2);
  f.store.newest_era = 2;
  f.store.revision = 5;
  f.clock.now += RelayedStore::kDirectRetryPause;
  CHECK(f.Watch(4).revision == 5);
}

TEST_CASE("a host passes on what it has from the store only") {
  Fixture f;
  RelayRequest request;
  request.era = 1;
  const auto status = [&] {
    return f.relayed.Answer(request, f.clock.now, f.clock.now)->status;
  };
  f.relays.default_script = [](const RelayRequest&) {
    return View(10, Duration(0));
  };
  f.Watch(10);
  CHECK(status() == RelayStatus::kNoView);
  // It was asked, so it watches the store from now on.
  int notified = 0;
  f.relayed.OnMirrorChanged([&] { ++notified; });
  f.Watch(10);
  CHECK(f.store.calls == 1);
  CHECK(notified == 1);
  CHECK(status() == RelayStatus::kView);
  f.store.is_cut = true;
  CHECK_THROWS_AS(f.Watch(10), Error);
  CHECK(status() == RelayStatus::kStoreFailing);
}

TEST_CASE("a revision that the host does not have is listed again") {
  Fixture f;
  CHECK(f.Watch(9).history_gone);
  CHECK(f.store.calls == 0);
}

}  // namespace
}  // namespace jujuberock::gateway
