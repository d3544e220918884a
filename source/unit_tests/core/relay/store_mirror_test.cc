#include "core/relay/store_mirror.h"

#include <catch2/catch.hpp>
#include <string>

#include "core/common/error.h"

namespace jujuberock::relay {
namespace {

using catalog::ObjectKind;
using catalog::ObjectSource;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint kStart{std::chrono::hours(1)};
constexpr uint64_t kEra = 3;

AnswerOrigin FromStore(TimePoint at, uint64_t era = kEra) {
  return {ObjectSource::kStore, era, at};
}

catalog::ObjectChanges ChangesTo(uint64_t revision,
                                 std::vector<std::string> names = {}) {
  catalog::ObjectChanges changes;
  changes.revision = revision;
  for (const std::string& name : names)
    changes.changes.push_back({{name, revision, "{}"}, false});
  return changes;
}

RelayRequest WatchFrom(uint64_t revision) {
  RelayRequest request;
  request.revision = revision;
  request.era = kEra;
  request.wait = seconds(1);
  return request;
}

// At revision 20, by way of 10 and 15.
StoreMirror Mirror() {
  StoreMirror mirror;
  catalog::ObjectSnapshot snapshot;
  snapshot.revision = 10;
  snapshot.objects = {{"a", 4, "{}"}, {"b", 7, "{}"}};
  mirror.OnList(ObjectKind::kConfig, snapshot, FromStore(kStart));
  mirror.OnChanges(ObjectKind::kConfig, 10, ChangesTo(15, {"c"}),
                   FromStore(kStart + seconds(1)), kStart + seconds(1));
  mirror.OnChanges(ObjectKind::kConfig, 15, ChangesTo(20, {"d", "e"}),
                   FromStore(kStart + seconds(2)), kStart + seconds(2));
  return mirror;
}

RelayStatus StatusOf(const StoreMirror& mirror, const RelayRequest& request) {
  const TimePoint now = kStart + seconds(2);
  return mirror.Answer(request, now, now + request.wait)->status;
}

TEST_CASE("a list has the objects with all changes and their age") {
  StoreMirror mirror = Mirror();
  auto gone = ChangesTo(21, {"a"});
  gone.changes[0].deleted = true;
  mirror.OnChanges(ObjectKind::kConfig, 20, gone,
                   FromStore(kStart + seconds(3)), std::nullopt);
  RelayRequest request;
  const TimePoint now = kStart + seconds(5);
  const auto answer = mirror.Answer(request, now, now);
  REQUIRE(answer);
  CHECK(answer->status == RelayStatus::kView);
  CHECK(answer->age == seconds(2));
  CHECK(answer->era == kEra);
  CHECK(answer->revision == 21);
  CHECK(answer->changes.size() == 4);
}

// Guards against changes that get lost or are applied out of order when a host
// goes from one relay to another.
TEST_CASE("a watch gets all changes since its revision or must list again") {
  const StoreMirror mirror = Mirror();
  const TimePoint now = kStart + seconds(2);
  const auto both = mirror.Answer(WatchFrom(10), now, now);
  REQUIRE(both);
  CHECK(both->changes.size() == 3);
  CHECK(both->revision == 20);
  // Counted from the earliest of the changes.
  CHECK(both->change_age == milliseconds(1000));
  CHECK(mirror.Answer(WatchFrom(15), now, now)->changes.size() == 2);
  CHECK(StatusOf(mirror, WatchFrom(9)) == RelayStatus::kHistoryGone);
  CHECK(StatusOf(mirror, WatchFrom(17)) == RelayStatus::kHistoryGone);
  CHECK(StatusOf(mirror, WatchFrom(21)) == RelayStatus::kBehind);
}

TEST_CASE("a watch between revisions without changes goes on") {
  StoreMirror mirror = Mirror();
  mirror.OnChanges(ObjectKind::kConfig, 20, ChangesTo(30),
                   FromStore(kStart + seconds(3)), std::nullopt);
  mirror.OnChanges(ObjectKind::kConfig, 30, ChangesTo(40),
                   FromStore(kStart + seconds(4)), std::nullopt);
  mirror.OnChanges(ObjectKind::kConfig, 40, ChangesTo(45, {"f"}),
                   FromStore(kStart + seconds(5)), std::nullopt);
  const TimePoint now = kStart + seconds(5);
  const auto answer = mirror.Answer(WatchFrom(33), now, now);
  REQUIRE(answer);
  CHECK(answer->status == RelayStatus::kView);
  CHECK(answer->changes.size() == 1);
  // When the change was made is not known.
  CHECK_FALSE(answer->change_age);
}

// The followers' views must not grow older than the relay's, and a relay must
// not be asked without pause.
TEST_CASE("a watch without changes waits for the next confirmation") {
  StoreMirror mirror = Mirror();
  const TimePoint asked_at = kStart + seconds(2) + milliseconds(100);
  RelayRequest request = WatchFrom(20);
  request.age = milliseconds(150);
  CHECK_FALSE(mirror.Answer(request, asked_at, asked_at + milliseconds(900)));
  mirror.OnChanges(ObjectKind::kConfig, 20, ChangesTo(20),
                   FromStore(asked_at + milliseconds(950)), std::nullopt);
  const auto answer =
      mirror.Answer(request, asked_at, asked_at + milliseconds(951));
  REQUIRE(answer);
  CHECK(answer->age == milliseconds(-950));
}

// Guards against a view that counts as fresh because it was passed on.
TEST_CASE("a watch at a relay without news of the store ends with its age") {
  const StoreMirror mirror = Mirror();
  const TimePoint asked_at = kStart + seconds(6);
  RelayRequest request = WatchFrom(20);
  request.age = seconds(4);
  const auto answer = mirror.Answer(request, asked_at, asked_at + seconds(1));
  REQUIRE(answer);
  CHECK(answer->age == seconds(4));
}

TEST_CASE("a relay that the store does not answer says so at once") {
  StoreMirror mirror = Mirror();
  mirror.OnStoreFailure(ObjectKind::kConfig);
  const TimePoint now = kStart + seconds(2);
  CHECK(mirror.Answer(WatchFrom(20), now, now)->status ==
        RelayStatus::kStoreFailing);
  mirror.OnChanges(ObjectKind::kConfig, 20, ChangesTo(20),
                   FromStore(kStart + seconds(4)), std::nullopt);
  CHECK(StatusOf(mirror, WatchFrom(20)) == RelayStatus::kView);
}

// Two hosts that followed one another would keep an old view alive.
TEST_CASE("a view that came from a relay is not passed on") {
  StoreMirror mirror = Mirror();
  const AnswerOrigin origin{ObjectSource::kRelay, kEra, kStart + seconds(3)};
  mirror.OnChanges(ObjectKind::kConfig, 20, ChangesTo(22), origin,
                   std::nullopt);
  CHECK(StatusOf(mirror, WatchFrom(20)) == RelayStatus::kNoView);
  CHECK(StatusOf(StoreMirror(), WatchFrom(20)) == RelayStatus::kNoView);
}

TEST_CASE("revisions of different eras are not compared") {
  StoreMirror mirror = Mirror();
  RelayRequest newer = WatchFrom(5);
  newer.era = kEra + 1;
  CHECK(StatusOf(mirror, newer) == RelayStatus::kBehind);
  RelayRequest older = WatchFrom(20);
  older.era = kEra - 1;
  CHECK(StatusOf(mirror, older) == RelayStatus::kHistoryGone);
  // The answer to a watch of the former era.
  mirror.OnChanges(ObjectKind::kConfig, 20, ChangesTo(25, {"x"}),
                   FromStore(kStart + seconds(3), kEra + 1), std::nullopt);
  CHECK(mirror.PositionOf(ObjectKind::kConfig)->revision == 20);
}

TEST_CASE("the log of changes is bounded") {
  StoreMirror mirror = Mirror();
  for (uint64_t i = 0; i < StoreMirror::kMaxChanges; ++i)
    mirror.OnChanges(ObjectKind::kConfig, 20 + i, ChangesTo(21 + i, {"x"}),
                     FromStore(kStart + seconds(3)), std::nullopt);
  CHECK(StatusOf(mirror, WatchFrom(15)) == RelayStatus::kHistoryGone);
  CHECK(StatusOf(mirror, WatchFrom(20)) == RelayStatus::kView);
}

TEST_CASE("messages survive encoding") {
  RelayRequest request = WatchFrom(20);
  request.kind = ObjectKind::kHosts;
  request.age = milliseconds(1234);
  CHECK(DecodeRequest(Encode(request)) == request);
  request.revision.reset();
  CHECK(DecodeRequest(Encode(request)) == request);
  const StoreMirror mirror = Mirror();
  const TimePoint now = kStart + seconds(2);
  const RelayAnswer sent = *mirror.Answer(WatchFrom(10), now, now);
  const RelayAnswer read = DecodeAnswer(Encode(sent));
  CHECK(Encode(read) == Encode(sent));
  CHECK(read.changes[2].object.name == "e");
  CHECK(read.change_age == sent.change_age);
}

TEST_CASE("messages that are not for relays are refused") {
  RelayRequest request;
  request.kind = ObjectKind::kStreams;
  CHECK_THROWS_AS(DecodeRequest(Encode(request)), common::Error);
  CHECK_THROWS_AS(DecodeRequest(Encode(RelayAnswer())), common::Error);
  CHECK_THROWS_AS(DecodeAnswer(Encode(RelayRequest())), common::Error);
  CHECK_THROWS_AS(DecodeAnswer(""), common::Error);
}

}  // namespace
}  // namespace jujuberock::relay
