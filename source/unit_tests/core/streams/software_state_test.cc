#include "core/streams/software_state.h"

#include <catch2/catch.hpp>

namespace jujuberock::streams {
namespace {

using std::chrono::seconds;

constexpr common::Duration kLongestStream = seconds(5);
constexpr common::Duration kNoTurn{0};
constexpr uint64_t kEra = 3;
constexpr uint64_t kRecordRevision = 7;

common::TimePoint At(int second) {
  return common::TimePoint(seconds(second));
}

SoftwareVersions Serving(std::set<std::string> versions) {
  return {versions, versions};
}

// A host that knows the record of the service, and whose view of the endpoints
// is newer.
SoftwareState StateWith(const SoftwareRecord& record) {
  SoftwareState state;
  state.OnEra(kEra);
  state.OnRecord(record, kRecordRevision, At(0));
  state.OnViewPosition({kEra, kRecordRevision});
  return state;
}

// Guards against records of each stream while one version serves, and against
// refusing to go on with streams whose hosts are gone.
TEST_CASE("a new service with one version needs no records of streams") {
  SoftwareState state;
  state.OnEra(kEra);
  CHECK(state.NeedsRead());
  state.OnVersions(Serving({"a"}), At(1));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(1)));
  state.OnNoRecord();
  const auto record = state.RecordToWrite(kLongestStream, kNoTurn, At(1));
  REQUIRE(record == SoftwareRecord{kEra, "a"});
  state.OnRecord(*record, 8, At(1));
  CHECK(state.SoleVersion() == "a");
  CHECK(state.RequiredVersion() == "a");
  CHECK_FALSE(state.MustRecordStreams());
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(100)));
  CHECK(state.expected_revision() == 8U);
}

// Load pattern: a release puts new endpoints beside the old ones under load.
// Guards against streams at the new version that other hosts take for streams
// of the old one.
TEST_CASE("a second version is not used before the record names none") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions(Serving({"a", "b"}), At(1));
  CHECK(state.RequiredVersion() == "a");
  CHECK(state.SoleVersion() == "a");
  const auto record = state.RecordToWrite(kLongestStream, kNoTurn, At(1));
  REQUIRE(record == SoftwareRecord{kEra, std::nullopt});
  // The answer to the write is lost.
  state.OnUnknown();
  CHECK(state.RequiredVersion() == "a");
  CHECK_FALSE(state.SoleVersion());
  state.OnRecord(*record, 8, At(1));
  CHECK_FALSE(state.RequiredVersion());
  CHECK_FALSE(state.SoleVersion());
  CHECK(state.MustRecordStreams());
}

// Guards against requests that wait for a version whose endpoints are gone.
TEST_CASE("a version without endpoints that serve is not required") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions({{"a", "b"}, {"b"}}, At(1));
  CHECK_FALSE(state.RequiredVersion());
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(1)) ==
        SoftwareRecord{kEra, std::nullopt});
}

// Guards against taking a stream of the former version, which may still be
// taken up, for one of the version that is left.
TEST_CASE("a version is the only one after no other stream can be left") {
  SoftwareState state = StateWith({kEra, std::nullopt});
  state.OnVersions(Serving({"a", "b"}), At(1));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(100)));
  // Those of the former version are leaving, and then gone.
  state.OnVersions({{"a", "b"}, {"b"}}, At(100));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(120)));
  state.OnVersions(Serving({"b"}), At(120));
  const auto candidate = state.RecordToWrite(kLongestStream, kNoTurn, At(120));
  REQUIRE(candidate == SoftwareRecord{kEra, std::nullopt, "b"});
  state.OnRecord(*candidate, 8, At(120));
  CHECK_FALSE(state.SoleVersion());
  CHECK(state.MustRecordStreams());
  CHECK(state.RequiredVersion() == "b");
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(125)));
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(126)) ==
        SoftwareRecord{kEra, "b"});
  // An endpoint of the former version that comes back starts the wait again.
  state.OnVersions(Serving({"a", "b"}), At(126));
  state.OnVersions(Serving({"b"}), At(127));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(130)));
  // So does a candidate that was taken back and named again.
  state.OnRecord({kEra, std::nullopt, "b"}, 10, At(131));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(136)));
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(137)));
}

// Guards against a host with an old view that declares one software version
// for all hosts, again and again, while another version serves.
TEST_CASE("a view that is older than the record does not narrow it") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions(Serving({"a"}), At(1));
  // Another host has seen a second version; this one hears of the record only.
  state.OnRecord({kEra, std::nullopt}, 12, At(20));
  for (const int second : {20, 26, 40, 1000})
    CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(second)));
  state.OnViewPosition({kEra, 11});
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(1000)));
  // Positions of a former era say nothing.
  state.OnViewPosition({kEra - 1, 50});
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(1000)));
  // The second version has gone before the view is new again.
  state.OnViewPosition({kEra, 12});
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(1000)) ==
        SoftwareRecord{kEra, std::nullopt, "a"});
}

// Guards against records that two hosts with different views write in turns.
TEST_CASE("hosts with different views settle on one record") {
  SoftwareState old_view = StateWith({kEra, std::nullopt});
  SoftwareState new_view = StateWith({kEra, std::nullopt});
  old_view.OnVersions(Serving({"a"}), At(1));
  new_view.OnVersions(Serving({"a", "b"}), At(1));
  new_view.OnViewPosition({kEra, 1000});
  uint64_t revision = kRecordRevision;
  int writes = 0;
  for (int second = 20; second < 60; ++second) {
    for (SoftwareState* state : {&old_view, &new_view}) {
      const auto record =
          state->RecordToWrite(kLongestStream, kNoTurn, At(second));
      if (!record)
        continue;
      CHECK_FALSE(record->sole);
      ++writes;
      ++revision;
      old_view.OnRecord(*record, revision, At(second));
      new_view.OnRecord(*record, revision, At(second));
    }
  }
  // The old view knows the record before the second version joined; it names a
  // candidate once, and is not asked again after it was taken back.
  CHECK(writes == 2);
}

// Guards against streams at a version that joins while the only one is about to
// be declared.
TEST_CASE("a candidate is taken back before another version is used") {
  SoftwareState state = StateWith({kEra, std::nullopt, "a"});
  // Leaving endpoints count: another host may still begin streams there.
  state.OnVersions({{"a", "b"}, {"a"}}, At(1));
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(1)) ==
        SoftwareRecord{kEra, std::nullopt});
  state.OnVersions(Serving({"a", "b"}), At(1));
  CHECK(state.RequiredVersion() == "a");
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(1)) ==
        SoftwareRecord{kEra, std::nullopt});
  // On an old view, this host keeps to the candidate instead.
  state.OnRecord({kEra, std::nullopt, "a"}, 9, At(2));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, kNoTurn, At(100)));
  CHECK(state.RequiredVersion() == "a");
  // Unless it has no endpoint of that version.
  state.OnVersions(Serving({"b"}), At(100));
  CHECK_FALSE(state.RequiredVersion());
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(100)) ==
        SoftwareRecord{kEra, std::nullopt});
}

// Load pattern: hundreds of hosts see at the same time that a version is gone.
TEST_CASE("a host waits for its turn to narrow the record") {
  SoftwareState state = StateWith({kEra, std::nullopt});
  state.OnVersions(Serving({"a"}), At(10));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, seconds(2), At(11)));
  CHECK(state.RecordToWrite(kLongestStream, seconds(2), At(12)));
  // It does not wait to take a candidate back.
  state.OnRecord({kEra, std::nullopt, "b"}, kRecordRevision, At(12));
  CHECK(state.RecordToWrite(kLongestStream, seconds(2), At(12)) ==
        SoftwareRecord{kEra, std::nullopt});
}

// Guards against a watch that reports an older record after a newer one was
// written.
TEST_CASE("an older record does not replace a newer one") {
  SoftwareState state = StateWith({kEra, std::nullopt});
  state.OnRecord({kEra, "a"}, kRecordRevision - 1, At(1));
  CHECK_FALSE(state.SoleVersion());
  // Revisions are given out again after the store came back from a copy.
  state.OnEra(kEra + 1);
  state.OnRecord({kEra + 1, "a"}, kRecordRevision - 1, At(1));
  CHECK(state.SoleVersion() == "a");
}

// Guards against a record that the store has in an older copy, which names the
// only version of that time.
TEST_CASE("a record of a former era names no version") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions(Serving({"a"}), At(1));
  state.OnEra(kEra + 1);
  CHECK(state.NeedsRead());
  CHECK_FALSE(state.SoleVersion());
  state.OnRecord({kEra, "a"}, 5, At(1));
  CHECK_FALSE(state.SoleVersion());
  CHECK(state.MustRecordStreams());
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(100)) ==
        SoftwareRecord{kEra + 1, std::nullopt});
  // The copy may also lack the record.
  state.OnNoRecord();
  CHECK(state.RecordToWrite(kLongestStream, kNoTurn, At(100)) ==
        SoftwareRecord{kEra + 1, std::nullopt});
}

TEST_CASE("records are rendered and parsed") {
  for (const SoftwareRecord& record :
       {SoftwareRecord{2, "v1.1"}, SoftwareRecord{0, std::nullopt},
        SoftwareRecord{1, ""}, SoftwareRecord{1, std::nullopt, "v2"}})
    CHECK(ParseSoftwareRecord(RenderSoftwareRecord(record)) == record);
  for (const char* text :
       {"", "[]", "{}", R"({"store_era":-1})", R"({"store_era":1,"sole":2})",
        R"({"store_era":1,"candidate":[]})"})
    CHECK_FALSE(ParseSoftwareRecord(text));
}

}  // namespace
}  // namespace jujuberock::streams
