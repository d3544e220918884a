#include "core/suspects/suspect_list.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

namespace jujuberock::suspects {
namespace {

using common::TimePoint;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr Fingerprint kCause = 1;
constexpr Fingerprint kOther = 2;

TimePoint At(int s) {
  return TimePoint(seconds(s));
}

void Crash(SuspectList& list,
           const char* endpoint,
           std::vector<Fingerprint> running,
           int at) {
  list.OnEndpointCrash(endpoint, running, At(at));
}

TEST_CASE("marks from one endpoint isolate a request, from two block it") {
  SuspectList list;
  CHECK(list.Check(kCause, At(0)) == SuspectAction::kNormal);
  Crash(list, "e1", {kCause, kOther}, 1);
  CHECK(list.Check(kCause, At(2)) == SuspectAction::kIsolate);
  CHECK(list.Check(kOther, At(2)) == SuspectAction::kIsolate);
  // A second crash of the same endpoint does not count.
  Crash(list, "e1", {kCause}, 10);
  CHECK(list.Check(kCause, At(11)) == SuspectAction::kIsolate);
  Crash(list, "e2", {kCause}, 20);
  CHECK(list.Check(kCause, At(21)) == SuspectAction::kRefuse);
}

// Guards against isolating or refusing requests for the lifetime of their marks
// only because they shared an endpoint with a request that crashes it.
TEST_CASE("a blocked request clears the requests that shared its crashes") {
  SuspectList list;
  Crash(list, "e1", {kCause, kOther}, 1);
  Crash(list, "e2", {kCause}, 9);
  CHECK(list.Check(kCause, At(10)) == SuspectAction::kRefuse);
  CHECK(list.Check(kOther, At(10)) == SuspectAction::kNormal);
  // A mark of another host for the same crash does not restore the suspicion.
  list.Merge(std::vector<CrashMark>{{kOther, "e1", seconds(9)}}, At(11));
  CHECK(list.Check(kOther, At(11)) == SuspectAction::kNormal);
}

// Guards against refusing sound requests that were in flight beside a prompt
// part that crashes endpoints.
TEST_CASE("removed crashes leave no marks, other crashes keep theirs") {
  SuspectList list;
  Crash(list, "e1", {kOther}, 1);
  Crash(list, "e2", {kOther}, 9);
  REQUIRE(list.Check(kOther, At(10)) == SuspectAction::kRefuse);
  list.RemoveCrashes(std::vector<EndpointCrash>{{"e1", At(2)}, {"e2", At(20)}});
  CHECK(list.Check(kOther, At(10)) == SuspectAction::kIsolate);
  list.RemoveCrashes(std::vector<EndpointCrash>{{"e2", At(9)}});
  CHECK(list.Check(kOther, At(10)) == SuspectAction::kNormal);
}

TEST_CASE(
    "an innocent request in flight at both crashes is refused only once") {
  SuspectList list;
  Crash(list, "e1", {kCause, kOther}, 1);
  Crash(list, "e2", {kCause, kOther}, 9);
  CHECK(list.Check(kOther, At(10)) == SuspectAction::kRefuse);
  CHECK(list.Check(kOther, At(11)) == SuspectAction::kIsolate);
  list.OnSuccess(kOther, At(12));
  CHECK(list.Check(kOther, At(13)) == SuspectAction::kNormal);
  // The cause is now the only blocked request and stays refused.
  CHECK(list.Check(kCause, At(13)) == SuspectAction::kRefuse);
  CHECK(list.Check(kCause, At(14)) == SuspectAction::kRefuse);
}

TEST_CASE("marks and clearings can be merged in any order") {
  SuspectList first;
  SuspectList second;
  Crash(first, "e1", {kCause, kOther}, 1);
  Crash(second, "e2", {kCause}, 5);
  const auto early = first.Marks(At(6));
  first.OnSuccess(kOther, At(7));
  second.Merge(first.Marks(At(8)), At(8));
  second.Merge(early, At(8));
  CHECK(second.Check(kCause, At(9)) == SuspectAction::kRefuse);
  CHECK(second.Check(kOther, At(9)) == SuspectAction::kNormal);
  const auto marks = second.Marks(At(9));
  second.Merge(marks, At(9));
  CHECK(second.Marks(At(9)).size() == marks.size());
}

TEST_CASE("memory is bounded and blocked requests are evicted last") {
  SuspectList list(minutes(30), 100);
  Crash(list, "e1", {kCause}, 1);
  Crash(list, "e2", {kCause}, 2);
  for (int i = 0; i < 1000; ++i)
    Crash(list, "e3", {Fingerprint(1000 + i)}, 10 + i);
  CHECK(list.size() == 100);
  CHECK(list.Check(kCause, At(1100)) == SuspectAction::kRefuse);
}

// The marks that another host would take over from a list that it knows only
// the first `limit` marks of.
SuspectAction CheckAfterRestart(SuspectList& list,
                                size_t limit,
                                Fingerprint fingerprint,
                                int at) {
  std::vector<CrashMark> marks = list.Marks(At(at));
  marks.resize(std::min(marks.size(), limit));
  SuspectList restarted;
  restarted.Merge(marks, At(at));
  return restarted.Check(fingerprint, At(at));
}

// Guards against a request that crashes endpoints and is forgotten by all hosts
// at a rolling restart: crashes of other causes have left more marks than a
// host publishes (review/13).
TEST_CASE("marks of blocked requests come before those of other crashes") {
  SuspectList list;
  Crash(list, "e1", {kCause}, 1);
  Crash(list, "e2", {kCause}, 2);
  for (int i = 0; i < 1000; ++i) {
    Crash(list, "e3", {Fingerprint(1000 + i)}, 100 + i);
    if (i % 2 == 0)
      list.OnSuccess(1000 + i, At(101 + i));
  }
  CHECK(CheckAfterRestart(list, 200, kCause, 1200) == SuspectAction::kRefuse);
}

// Guards against a sound request that is refused by a host that has restarted:
// its crashes reach the host, and that it was cleared does not.
TEST_CASE("what cleared a blocked request comes before other crashes") {
  SuspectList list;
  Crash(list, "e1", {kCause, kOther}, 1);
  Crash(list, "e2", {kCause, kOther}, 9);
  SuspectList restarted;
  restarted.Merge(list.Marks(At(10)), At(10));
  REQUIRE(restarted.Check(kOther, At(10)) == SuspectAction::kRefuse);
  list.OnSuccess(kOther, At(12));
  for (int i = 0; i < 1000; ++i)
    Crash(list, "e3", {Fingerprint(1000 + i)}, 100 + i);
  std::vector<CrashMark> marks = list.Marks(At(1200));
  marks.resize(200);
  restarted.Merge(marks, At(1200));
  CHECK(restarted.Check(kOther, At(1200)) == SuspectAction::kNormal);
  CHECK(restarted.Check(kCause, At(1200)) == SuspectAction::kRefuse);
}

// Guards against the marks of a request that is still sent being displaced by
// those of requests that nobody sends any more.
TEST_CASE("among blocked requests, those refused last come first") {
  SuspectList list;
  for (Fingerprint i : {kCause, kOther, Fingerprint(3)}) {
    const int at = 20 * static_cast<int>(i);
    Crash(list, ("a" + std::to_string(i)).c_str(), {i}, at);
    Crash(list, ("b" + std::to_string(i)).c_str(), {i}, at + 1);
  }
  CHECK(list.Marks(At(100))[0].fingerprint == 3);
  REQUIRE(list.Check(kCause, At(90)) == SuspectAction::kRefuse);
  CHECK(list.Marks(At(100))[0].fingerprint == kCause);
}

// Guards against marks that were cut in the middle of a request, which then
// seems to have crashed fewer endpoints than it has.
TEST_CASE("of each request all marks are sent or none") {
  SuspectList list;
  for (Fingerprint i = 0; i < 10; ++i) {
    Crash(list, ("a" + std::to_string(i)).c_str(), {i}, 1);
    Crash(list, ("b" + std::to_string(i)).c_str(), {i}, 2);
  }
  CHECK(list.Marks(At(3), 20).size() == 20);
  CHECK(list.Marks(At(3), 19).size() == 18);
  CHECK(list.Marks(At(3), 1).empty());
}

// Guards against a blocked request that a host which restarts takes for one
// with a single crash, since the first crash is older than the lifetime of
// marks.
TEST_CASE("the marks of a blocked request expire together") {
  SuspectList list(minutes(1));
  Crash(list, "e1", {kCause}, 1);
  Crash(list, "e2", {kCause}, 50);
  SuspectList restarted(minutes(1));
  restarted.Merge(list.Marks(At(70)), At(70));
  CHECK(restarted.Check(kCause, At(70)) == SuspectAction::kRefuse);
  SuspectList late(minutes(1));
  late.Merge(std::vector<CrashMark>{{kCause, "e1", seconds(70)},
                                    {kCause, "e2", seconds(61)}},
             At(120));
  CHECK(late.Check(kCause, At(120)) == SuspectAction::kNormal);
}

TEST_CASE("marks expire") {
  SuspectList list(minutes(1));
  Crash(list, "e1", {kCause}, 1);
  Crash(list, "e2", {kCause}, 2);
  CHECK(list.Check(kCause, At(70)) == SuspectAction::kNormal);
  CHECK(list.size() == 0);
}

}  // namespace
}  // namespace jujuberock::suspects
