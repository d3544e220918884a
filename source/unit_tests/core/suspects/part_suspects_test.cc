#include "core/suspects/part_suspects.h"

#include <catch2/catch.hpp>

namespace jujuberock::suspects {
namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;

constexpr Fingerprint kCause = 1;
constexpr Fingerprint kShared = 2;
constexpr Fingerprint kOther = 3;

TimePoint At(int ms) {
  return TimePoint(std::chrono::hours(1) + milliseconds(ms));
}

// A host of several.
PartSuspects MakeHost(uint64_t reporter) {
  PartSuspectOptions options;
  options.reporter = reporter;
  return PartSuspects(options);
}

// The instance crashes with these parts in flight, sent 100 ms before.
void Crash(PartSuspects& list,
           const std::string& endpoint,
           const std::vector<Fingerprint>& parts,
           int ms) {
  std::vector<PartInFlight> in_flight;
  for (const Fingerprint part : parts)
    in_flight.push_back({part, At(ms - 100)});
  list.OnEndpointCrash(endpoint, in_flight, At(ms));
}

void Sound(PartSuspects& list, Fingerprint part, int started_ms, int ms) {
  list.OnSound(std::vector<Fingerprint>{part}, At(started_ms), At(ms));
}

bool IsBlocked(const PartSuspects& list, Fingerprint part, int ms) {
  return list.FindBlocked(std::vector<Fingerprint>{part}, At(ms)).has_value();
}

bool AreBlocked(const PartSuspects& list,
                const std::vector<Fingerprint>& parts,
                int ms) {
  return list.FindBlocked(parts, At(ms)).has_value();
}

bool TakeTrial(PartSuspects& list,
               const std::vector<Fingerprint>& parts,
               int ms) {
  return list.TakeTrial(parts, At(ms));
}

// Three crashes that have kCause in common, and the verdict on it.
void BlockCause(PartSuspects& list) {
  for (int i = 0; i < 3; ++i)
    Crash(list, "e" + std::to_string(i), {kCause}, 1000 * i);
  list.Tick(At(2600));
}

// Guards against the rule on requests alone: it never sees a request twice when
// no two requests with the cause are alike, so every one crashes an endpoint.
TEST_CASE("a part in flight at three crashes is blocked") {
  PartSuspects list;
  Crash(list, "e1", {kCause}, 0);
  Crash(list, "e2", {kCause}, 1000);
  list.Tick(At(1900));
  CHECK_FALSE(IsBlocked(list, kCause, 1900));
  Crash(list, "e3", {kCause}, 2000);
  list.Tick(At(2400));
  CHECK_FALSE(IsBlocked(list, kCause, 2400));
  list.Tick(At(2500));
  CHECK(IsBlocked(list, kCause, 2500));
  CHECK_FALSE(IsBlocked(list, kOther, 2500));
}

// Guards against refusing sound requests that share a part with the cause.
TEST_CASE("a part that is answered between the crashes is not blocked") {
  PartSuspects list;
  for (int i = 0; i < 8; ++i) {
    Crash(list, "e" + std::to_string(i), {kShared, kCause}, 1000 * i);
    Sound(list, kShared, 1000 * i + 200, 1000 * i + 500);
    list.Tick(At(1000 * i + 600));
  }
  CHECK(IsBlocked(list, kCause, 8000));
  CHECK_FALSE(IsBlocked(list, kShared, 8000));
}

// Guards against a run that began before the part became deadly: that it ended
// well says nothing about the crashes after its start.
TEST_CASE("a run that began before the crashes proves nothing") {
  PartSuspects list;
  Crash(list, "e0", {kCause}, 0);
  Crash(list, "e1", {kCause}, 1000);
  Sound(list, kCause, -500, 1500);
  Crash(list, "e2", {kCause}, 2000);
  list.Tick(At(2600));
  CHECK(IsBlocked(list, kCause, 2600));
}

// Guards against counting only one crash of each endpoint: one that restarts
// under its name may be the only one that the requests with the part reach.
TEST_CASE("an endpoint that restarts and crashes again counts again") {
  PartSuspects list;
  for (int i = 0; i < 3; ++i)
    Crash(list, "e0", {kCause}, 2000 * i);
  list.Tick(At(4600));
  CHECK(IsBlocked(list, kCause, 4600));
  // Later crashes of the same endpoint are not explained by the verdict.
  for (int i = 3; i < 6; ++i)
    Crash(list, "e0", {kOther}, 2000 * i);
  list.Tick(At(10600));
  CHECK(IsBlocked(list, kOther, 10600));
}

// Guards against counting too few crashes of an endpoint that is back quickly.
TEST_CASE("crashes of an endpoint 400 ms apart count separately") {
  PartSuspects list;
  for (int i = 0; i < 3; ++i)
    Crash(list, "e0", {kCause}, 400 * i);
  list.Tick(At(1300));
  CHECK(IsBlocked(list, kCause, 1300));
}

// Guards against counting a crash once for each host that sees it.
TEST_CASE("a crash that several hosts see counts once") {
  std::vector<PartSuspects> hosts(4);
  for (int i = 0; i < 4; ++i)
    Crash(hosts[static_cast<size_t>(i)], "e0", {kCause}, 100 * i);
  for (PartSuspects& host : hosts) {
    for (PartSuspects& other : hosts)
      other.Merge(host.Marks(At(400)), At(400));
  }
  hosts[0].Tick(At(2000));
  CHECK_FALSE(IsBlocked(hosts[0], kCause, 2000));
}

// Guards against refusing whole classes of requests after the loss of many
// endpoints at the same time.
TEST_CASE("simultaneous crashes block nothing") {
  PartSuspects list;
  for (int i = 0; i < 10; ++i)
    Crash(list, "e" + std::to_string(i), {kShared, kOther}, 5 * i);
  list.Tick(At(3000));
  CHECK_FALSE(IsBlocked(list, kShared, 3000));
  CHECK_FALSE(IsBlocked(list, kOther, 3000));
}

// Guards against blocking rare sound parts one after the other: each is in
// flight at some crashes of the cause and has no answer in between.
TEST_CASE("crashes of a blocked part do not count for other parts") {
  PartSuspects list;
  BlockCause(list);
  for (int i = 3; i < 9; ++i) {
    Crash(list, "e" + std::to_string(i), {kCause, kOther}, 1000 * i);
    list.Tick(At(1000 * i + 900));
  }
  CHECK(IsBlocked(list, kCause, 9000));
  CHECK_FALSE(IsBlocked(list, kOther, 9000));
}

TEST_CASE("of the parts with enough crashes, those with the most are blocked") {
  PartSuspects list;
  Crash(list, "e0", {kCause}, 0);
  Crash(list, "e1", {kCause, kOther}, 200);
  Crash(list, "e2", {kCause, kOther}, 400);
  Crash(list, "e3", {kCause, kOther}, 600);
  list.Tick(At(2000));
  CHECK(IsBlocked(list, kCause, 2000));
  CHECK_FALSE(IsBlocked(list, kOther, 2000));
}

// Guards against a verdict that only a test on an endpoint could lift.
TEST_CASE("a sound run that began after the first crash lifts the verdict") {
  PartSuspects list;
  BlockCause(list);
  Sound(list, kCause, 1500, 2700);
  CHECK_FALSE(IsBlocked(list, kCause, 2700));
}

TEST_CASE(
    "a part that explains all crashes of another supersedes its verdict") {
  PartSuspects list;
  Crash(list, "e0", {kOther, kCause}, 0);
  Crash(list, "e1", {kOther, kCause}, 1000);
  Crash(list, "e2", {kOther, kCause}, 2000);
  list.Tick(At(2600));
  REQUIRE(AreBlocked(list, {kOther, kCause}, 2600));
  Crash(list, "e3", {kCause}, 3000);
  list.Tick(At(3600));
  CHECK(IsBlocked(list, kCause, 3600));
  CHECK_FALSE(IsBlocked(list, kOther, 3600));
}

// Guards against a wrong verdict that stays for its whole time on one host,
// while another that has answered the part goes on serving it.
TEST_CASE("a host that knows a verdict to be wrong tells the others") {
  PartSuspects wrong;
  BlockCause(wrong);
  PartSuspects right;
  Crash(right, "f0", {kOther}, 0);
  Sound(right, kCause, 1500, 2000);
  right.TakeChanged();
  right.Merge(wrong.Marks(At(2600)), At(2600));
  CHECK_FALSE(IsBlocked(right, kCause, 2600));
  CHECK(right.TakeChanged());
  wrong.Merge(right.Marks(At(2600)), At(2600));
  CHECK_FALSE(IsBlocked(wrong, kCause, 2600));
}

TEST_CASE("the crashes of a blocked part are explained, others are not") {
  PartSuspects list;
  Crash(list, "f0", {kOther}, 0);
  CHECK(list.ExplainedCrashes().empty());
  BlockCause(list);
  Crash(list, "e3", {kCause, kOther}, 3000);
  std::vector<std::string> endpoints;
  for (const EndpointCrash& crash : list.ExplainedCrashes())
    endpoints.push_back(crash.endpoint);
  CHECK(endpoints == std::vector<std::string>{"e0", "e1", "e2", "e3"});
}

// Guards against three crashes for each host before all of them know.
TEST_CASE("crashes that different hosts see add up") {
  std::vector<PartSuspects> hosts = {MakeHost(1), MakeHost(2), MakeHost(3)};
  for (int i = 0; i < 3; ++i) {
    PartSuspects& host = hosts[static_cast<size_t>(i)];
    Crash(host, "e" + std::to_string(i), {kCause}, 1000 * i);
    CHECK(host.TakeChanged());
    for (PartSuspects& other : hosts)
      other.Merge(host.Marks(At(1000 * i + 200)), At(1000 * i + 200));
  }
  for (PartSuspects& host : hosts) {
    host.Tick(At(3000));
    CHECK(IsBlocked(host, kCause, 3000));
  }
}

TEST_CASE("an answer at one host protects the part on all hosts") {
  PartSuspects one = MakeHost(1);
  PartSuspects two = MakeHost(2);
  for (int i = 0; i < 3; ++i)
    Crash(one, "e" + std::to_string(i), {kShared}, 1000 * i);
  two.Merge(one.Marks(At(2100)), At(2100));
  Sound(two, kShared, 2050, 2300);
  REQUIRE(two.TakeChanged());
  one.Merge(two.Marks(At(2400)), At(2400));
  one.Tick(At(3000));
  two.Tick(At(3000));
  CHECK_FALSE(IsBlocked(one, kShared, 3000));
  CHECK_FALSE(IsBlocked(two, kShared, 3000));
}

// Guards against a verdict that is lost when the host that reached it ends.
TEST_CASE("each host passes on the verdicts that it has received") {
  PartSuspects first = MakeHost(1);
  BlockCause(first);
  PartSuspects second = MakeHost(2);
  second.Merge(first.Marks(At(3000)), At(3000));
  CHECK(second.TakeChanged());
  PartSuspects third = MakeHost(3);
  third.Merge(second.Marks(At(60000)), At(60000));
  CHECK(IsBlocked(third, kCause, 60000));
  CHECK(third.CountBlocked(At(60000)) == 1);
}

TEST_CASE("a lifted verdict does not come back from other hosts") {
  PartSuspects first = MakeHost(1);
  BlockCause(first);
  PartSuspects second = MakeHost(2);
  second.Merge(first.Marks(At(3000)), At(3000));
  Sound(first, kCause, 2100, 3100);
  const auto old_marks = second.Marks(At(3200));
  first.Merge(old_marks, At(3300));
  CHECK_FALSE(IsBlocked(first, kCause, 3300));
  second.Merge(first.Marks(At(3400)), At(3400));
  CHECK_FALSE(IsBlocked(second, kCause, 3400));
}

TEST_CASE("after the block time the next crash blocks again") {
  PartSuspectOptions options;
  options.block_time = std::chrono::seconds(30);
  PartSuspects list(options);
  BlockCause(list);
  CHECK(IsBlocked(list, kCause, 32000));
  CHECK_FALSE(IsBlocked(list, kCause, 33000));
  Crash(list, "e9", {kCause}, 34000);
  list.Tick(At(34600));
  CHECK(IsBlocked(list, kCause, 90000));
}

TEST_CASE("the number of remembered parts is bounded") {
  PartSuspectOptions options;
  options.max_parts = 10;
  PartSuspects list(options);
  BlockCause(list);
  for (Fingerprint part = 100; part < 200; ++part)
    Crash(list, "f" + std::to_string(part), {part}, 3000);
  CHECK(IsBlocked(list, kCause, 4000));
  CHECK(list.Marks(At(4000)).size() <= 10 + 3);
}

// Load pattern: many requests with the cause, each in flight for long before it
// crashes its endpoint. Guards against a list that fills with crashes of
// requests that were all sent before the first one.
TEST_CASE("a part is blocked although its requests overlap") {
  PartSuspects list;
  for (int ms = 0; ms < 3000; ms += 100) {
    list.OnEndpointCrash("e" + std::to_string(ms),
                         std::vector<PartInFlight>{{kCause, At(ms - 2500)}},
                         At(ms));
    list.Tick(At(ms));
  }
  CHECK(IsBlocked(list, kCause, 3000));
}

// Guards against a verdict of a host that has no answers of its own with the
// part: the others know of sound runs, but did not tell it.
TEST_CASE("a host that can disprove crashes tells the others") {
  PartSuspects few = MakeHost(1);
  PartSuspects many = MakeHost(2);
  Crash(many, "f", {kOther}, -500);
  for (int i = 0; i < 3; ++i) {
    Crash(few, "e" + std::to_string(i), {kShared, kCause}, 1000 * i);
    const int heard = 1000 * i + 150;
    Sound(many, kShared, 1000 * i + 100, heard);
    many.Merge(few.Marks(At(heard)), At(heard));
    if (many.TakeChanged())
      few.Merge(many.Marks(At(heard + 150)), At(heard + 150));
  }
  few.Tick(At(2600));
  many.Tick(At(2700));
  CHECK(IsBlocked(few, kCause, 2700));
  CHECK_FALSE(IsBlocked(few, kShared, 2700));
  CHECK_FALSE(IsBlocked(many, kShared, 2700));
}

// Guards against a lifted verdict that a host which is gone has left behind.
TEST_CASE("a lifted verdict does not come back later") {
  PartSuspects list;
  BlockCause(list);
  const auto verdict = list.Marks(At(2700));
  Sound(list, kCause, 2100, 3000);
  REQUIRE_FALSE(IsBlocked(list, kCause, 3000));
  const int later = 20 * 60 * 1000;
  list.Tick(At(later));
  std::vector<PartMark> aged = verdict;
  for (PartMark& mark : aged)
    mark.age += milliseconds(later - 2700);
  list.Merge(aged, At(later));
  CHECK_FALSE(IsBlocked(list, kCause, later));
}

TEST_CASE("marks begin with the verdicts") {
  PartSuspects list;
  BlockCause(list);
  for (Fingerprint part = 100; part < 300; ++part)
    Crash(list, "f", {part}, 3000);
  CHECK(list.Marks(At(4000)).front().evidence == PartEvidence::kBlocked);
}

// Load pattern: the cause crashes all endpoints within a second, so that
// nothing is answered any more. Guards against blocking the part that all
// requests share, which is in flight at every crash, and lifting the verdict on
// the cause for it.
TEST_CASE("without answers, the part with the fewest requests is blocked") {
  std::vector<PartSuspects> hosts = {MakeHost(1), MakeHost(2)};
  for (int i = 0; i < 8; ++i) {
    const std::string endpoint = "e" + std::to_string(i);
    const std::vector<Fingerprint> beside = {kShared, kShared};
    std::vector<Fingerprint> with_cause = beside;
    if (i > 0)
      with_cause.push_back(kCause);
    Crash(hosts[i % 2], endpoint, with_cause, 120 * i);
    Crash(hosts[(i + 1) % 2], endpoint, beside, 120 * i);
    const auto marks = hosts[0].Marks(At(120 * i + 50));
    hosts[0].Merge(hosts[1].Marks(At(120 * i + 50)), At(120 * i + 50));
    hosts[1].Merge(marks, At(120 * i + 50));
  }
  for (PartSuspects& host : hosts) {
    host.Tick(At(1500));
    CHECK(IsBlocked(host, kCause, 1500));
    CHECK_FALSE(IsBlocked(host, kShared, 1500));
    host.Tick(At(4000));
    CHECK(IsBlocked(host, kCause, 4000));
    CHECK_FALSE(IsBlocked(host, kShared, 4000));
  }
}

// Guards against counting one crash twice because the report of another host
// was under way for longer than a request was in flight.
TEST_CASE("a late report of a crash with a unique name counts once") {
  PartSuspectOptions options;
  options.endpoint_names_recur = false;
  PartSuspects list(options);
  for (int i = 0; i < 2; ++i) {
    const std::string endpoint = "e" + std::to_string(i) + "/1";
    Crash(list, endpoint, {kCause}, 1000 * i);
    const PartMark late{PartEvidence::kCrash, kCause, endpoint, milliseconds(0),
                        milliseconds(20),     1,      7};
    list.Merge(std::vector{late}, At(1000 * i + 400));
  }
  list.Tick(At(3000));
  CHECK_FALSE(IsBlocked(list, kCause, 3000));
}

// Guards against losing the verdict on the cause to a part that came with it by
// chance: both are blocked, and the other one was in flight once more.
TEST_CASE("a superseded verdict comes into force with the next crash") {
  PartSuspects list;
  for (int i = 0; i < 3; ++i)
    Crash(list, "e" + std::to_string(i), {kOther, kCause}, 1000 * i);
  list.Tick(At(2600));
  Crash(list, "e3", {kOther}, 2700);
  list.Tick(At(2800));
  REQUIRE(IsBlocked(list, kOther, 2800));
  REQUIRE_FALSE(IsBlocked(list, kCause, 2800));
  Crash(list, "e4", {kCause}, 3500);
  list.Tick(At(3600));
  CHECK(IsBlocked(list, kCause, 3600));
  PartSuspects other = MakeHost(2);
  other.Merge(list.Marks(At(3700)), At(3700));
  other.Tick(At(3800));
  CHECK(IsBlocked(other, kCause, 3800));
}

// Three crashes that kShared and kCause have in common.
void BlockBoth(PartSuspects& list) {
  for (int i = 0; i < 3; ++i)
    Crash(list, "e" + std::to_string(i), {kShared, kCause}, 1000 * i);
  list.Tick(At(2600));
}

// Guards against refusing all requests of a route for a part that crashes
// endpoints beside the part that they share: few requests come, and no sound
// one between the crashes.
TEST_CASE(
    "of parts with the same crashes, only requests with all are refused") {
  PartSuspects list;
  BlockBoth(list);
  CHECK(AreBlocked(list, {kShared, kCause}, 2600));
  CHECK(AreBlocked(list, {kShared, kOther, kCause}, 2600));
  CHECK_FALSE(AreBlocked(list, {kShared, kOther}, 2600));
  CHECK_FALSE(AreBlocked(list, {kCause}, 2600));
}

TEST_CASE("a sound run tells parts with the same crashes apart") {
  PartSuspects list;
  BlockBoth(list);
  Sound(list, kShared, 3000, 3500);
  CHECK(AreBlocked(list, {kShared, kCause}, 3500));
  CHECK(IsBlocked(list, kCause, 3500));
  CHECK_FALSE(IsBlocked(list, kShared, 3500));
}

TEST_CASE("the next crash tells parts with the same crashes apart") {
  PartSuspects list;
  BlockBoth(list);
  Crash(list, "e3", {kCause, kOther}, 3000);
  CHECK(IsBlocked(list, kCause, 3000));
  CHECK_FALSE(AreBlocked(list, {kShared, kOther}, 3000));
}

// Guards against a verdict that refuses more on a host that started after the
// crashes and knows only the verdict.
TEST_CASE("a host that knows no crashes keeps verdicts together") {
  PartSuspects first = MakeHost(1);
  BlockBoth(first);
  PartSuspects second = MakeHost(2);
  second.Merge(first.Marks(At(3000)), At(3000));
  PartSuspects third = MakeHost(3);
  third.Merge(second.Marks(At(5000)), At(5000));
  CHECK(AreBlocked(third, {kShared, kCause}, 5000));
  CHECK_FALSE(AreBlocked(third, {kShared, kOther}, 5000));
  Sound(third, kShared, 5100, 5500);
  CHECK(IsBlocked(third, kCause, 5500));
}

// Guards against a wrong verdict on the part that all requests of a route have:
// endpoints crashed for another reason, nothing was answered in between, and no
// sound run can come any more.
TEST_CASE("a trial ends a wrong verdict on a part that all requests have") {
  PartSuspects list;
  BlockCause(list);
  CHECK_FALSE(TakeTrial(list, {kCause, kOther}, 3000));
  REQUIRE(TakeTrial(list, {kCause, kOther}, 4000));
  CHECK(AreBlocked(list, {kCause, kOther}, 4000));
  CHECK_FALSE(TakeTrial(list, {kCause, kOther}, 4100));
  Sound(list, kCause, 4100, 4600);
  CHECK_FALSE(IsBlocked(list, kCause, 4600));
}

// Guards against crashing endpoint after endpoint to test a verdict that is
// right.
TEST_CASE("a verdict that is right is tested twice at most") {
  PartSuspects list;
  BlockCause(list);
  int trials = 0;
  for (int ms = 2600; ms < 600000; ms += 100) {
    if (!TakeTrial(list, {kCause, kOther}, ms))
      continue;
    ++trials;
    Crash(list, "t" + std::to_string(ms), {kCause, kOther}, ms + 100);
  }
  CHECK(trials == 2);
}

TEST_CASE("a crash with the part puts off its trial") {
  PartSuspects list;
  BlockCause(list);
  Crash(list, "e3", {kCause}, 3800);
  CHECK_FALSE(TakeTrial(list, {kCause, kOther}, 4000));
  CHECK(TakeTrial(list, {kCause, kOther}, 5100));
}

TEST_CASE("a request that another part may crash is no trial") {
  PartSuspects list;
  BlockCause(list);
  Crash(list, "f0", {kOther}, 3000);
  Crash(list, "f1", {kOther}, 3700);
  CHECK_FALSE(TakeTrial(list, {kCause, kOther}, 6000));
  CHECK_FALSE(TakeTrial(list, {kCause, kShared, kOther}, 6000));
  CHECK_FALSE(TakeTrial(list, {kOther}, 6000));
}

// Guards against a crash for nothing: what the request shares with others is
// answered, so nobody misses more than the requests with the part.
TEST_CASE("a part beside which others are answered gets no trial") {
  PartSuspects list;
  for (int i = 0; i < 3; ++i) {
    Crash(list, "e" + std::to_string(i), {kShared, kCause}, 1000 * i);
    Sound(list, kShared, 1000 * i + 200, 1000 * i + 500);
  }
  list.Tick(At(2600));
  REQUIRE(IsBlocked(list, kCause, 2600));
  CHECK_FALSE(TakeTrial(list, {kShared, kCause}, 20000));
}

// Guards against a verdict that stays because requests of another kind, which
// share a later part, are answered.
TEST_CASE("a later part that others are answered with prevents no trial") {
  PartSuspects list;
  BlockCause(list);
  constexpr Fingerprint kDocument = 9;
  Sound(list, kDocument, 2000, 2700);
  CHECK(TakeTrial(list, {kCause, kOther, kDocument}, 4000));
}

// Load pattern: the part comes at all hosts all the time. Guards against a
// trial of each of them before it has heard of that of another.
TEST_CASE("rarely more than one host of many sends a trial") {
  constexpr int kHosts = 24;
  constexpr int kMessageDelayMs = 200;
  std::vector<PartSuspects> hosts;
  for (int i = 0; i < kHosts; ++i) {
    hosts.push_back(MakeHost(1000 + static_cast<uint64_t>(i)));
    hosts.back().SetHostCount(kHosts);
    BlockCause(hosts.back());
  }
  int trials = 0;
  std::vector<std::pair<int, std::vector<PartMark>>> messages;
  for (int ms = 2600; ms < 12000; ms += 20) {
    while (!messages.empty() && messages.front().first <= ms) {
      for (PartSuspects& host : hosts)
        host.Merge(messages.front().second, At(ms));
      messages.erase(messages.begin());
    }
    for (PartSuspects& host : hosts) {
      if (!TakeTrial(host, {kCause, kOther}, ms))
        continue;
      ++trials;
      messages.emplace_back(ms + kMessageDelayMs, host.Marks(At(ms)));
    }
  }
  CHECK(trials >= 1);
  CHECK(trials <= 3);
}

}  // namespace
}  // namespace jujuberock::suspects
