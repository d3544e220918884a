#include "core/streams/software_state.h"

#include <catch2/catch.hpp>

namespace jujuberock::streams {
namespace {

using std::chrono::seconds;

constexpr common::Duration kLongestStream = seconds(5);
constexpr uint64_t kEra = 3;

common::TimePoint At(int second) {
  return common::TimePoint(seconds(second));
}

SoftwareVersions Serving(std::set<std::string> versions) {
  return {versions, versions};
}

// A host that knows the record of the service.
SoftwareState StateWith(const SoftwareRecord& record) {
  SoftwareState state;
  state.OnEra(kEra);
  state.OnRecord(record, 7);
  return state;
}

// Guards against records of each stream while one version serves, and against
// refusing to go on with streams whose hosts are gone.
TEST_CASE("a new service with one version needs no records of streams") {
  SoftwareState state;
  state.OnEra(kEra);
  CHECK(state.NeedsRead());
  state.OnVersions(Serving({"a"}), At(1));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(1)));
  state.OnNoRecord();
  const auto record = state.RecordToWrite(kLongestStream, At(1));
  REQUIRE(record == SoftwareRecord{kEra, "a"});
  state.OnRecord(*record, 8);
  CHECK(state.SoleVersion() == "a");
  CHECK(state.RequiredVersion() == "a");
  CHECK_FALSE(state.MustRecordStreams());
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(100)));
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
  const auto record = state.RecordToWrite(kLongestStream, At(1));
  REQUIRE(record == SoftwareRecord{kEra, std::nullopt});
  // The answer to the write is lost.
  state.OnUnknown();
  CHECK(state.RequiredVersion() == "a");
  CHECK_FALSE(state.SoleVersion());
  state.OnRecord(*record, 8);
  CHECK_FALSE(state.RequiredVersion());
  CHECK_FALSE(state.SoleVersion());
  CHECK(state.MustRecordStreams());
}

// Guards against requests that wait for a version whose endpoints are gone.
TEST_CASE("a version without endpoints that serve is not required") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions({{"a", "b"}, {"b"}}, At(1));
  CHECK_FALSE(state.RequiredVersion());
  CHECK(state.RecordToWrite(kLongestStream, At(1)) ==
        SoftwareRecord{kEra, std::nullopt});
}

// Guards against taking a stream of the former version, which may still be
// taken up, for one of the version that is left.
TEST_CASE("a version is the only one after no other stream can be left") {
  SoftwareState state = StateWith({kEra, std::nullopt});
  state.OnVersions(Serving({"a", "b"}), At(1));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(100)));
  // Those of the former version are leaving, and then gone.
  state.OnVersions({{"a", "b"}, {"b"}}, At(100));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(120)));
  state.OnVersions(Serving({"b"}), At(120));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(125)));
  CHECK(state.RecordToWrite(kLongestStream, At(126)) ==
        SoftwareRecord{kEra, "b"});
  // An endpoint of the former version that comes back starts the wait again.
  state.OnVersions(Serving({"a", "b"}), At(126));
  state.OnVersions(Serving({"b"}), At(127));
  CHECK_FALSE(state.RecordToWrite(kLongestStream, At(130)));
}

// Guards against a record that the store has in an older copy, which names the
// only version of that time.
TEST_CASE("a record of a former era names no version") {
  SoftwareState state = StateWith({kEra, "a"});
  state.OnVersions(Serving({"a"}), At(1));
  state.OnEra(kEra + 1);
  CHECK(state.NeedsRead());
  CHECK_FALSE(state.SoleVersion());
  state.OnRecord({kEra, "a"}, 5);
  CHECK_FALSE(state.SoleVersion());
  CHECK(state.MustRecordStreams());
  CHECK(state.RecordToWrite(kLongestStream, At(100)) ==
        SoftwareRecord{kEra + 1, std::nullopt});
  // The copy may also lack the record.
  state.OnNoRecord();
  CHECK(state.RecordToWrite(kLongestStream, At(100)) ==
        SoftwareRecord{kEra + 1, std::nullopt});
}

TEST_CASE("records are rendered and parsed") {
  for (const SoftwareRecord& record :
       {SoftwareRecord{2, "v1.1"}, SoftwareRecord{0, std::nullopt},
        SoftwareRecord{1, ""}})
    CHECK(ParseSoftwareRecord(RenderSoftwareRecord(record)) == record);
  for (const char* text :
       {"", "[]", "{}", R"({"store_era":-1})", R"({"store_era":1,"sole":2})"})
    CHECK_FALSE(ParseSoftwareRecord(text));
}

}  // namespace
}  // namespace jujuberock::streams
