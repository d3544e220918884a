#include "core/streams/origin_table.h"

#include <catch2/catch.hpp>

namespace jujuberock::streams {
namespace {

using std::chrono::seconds;

common::TimePoint At(int second) {
  return common::TimePoint(seconds(second));
}

const StreamOrigin kFirst{"app", "a"};
const StreamOrigin kSecond{"app", "b"};

TEST_CASE("an origin is known until its stream is not taken up any more") {
  OriginTable table;
  table.Bind(1, kFirst, At(10));
  CHECK(table.Find(1) == kFirst);
  CHECK_FALSE(table.Find(2));
  table.Expire(At(9));
  CHECK(table.Find(1) == kFirst);
  table.Shorten(1, At(5));
  table.Shorten(1, At(8));
  table.Expire(At(5));
  CHECK_FALSE(table.Find(1));
}

// Guards against taking a change that is not written yet for one that is.
TEST_CASE("each new or changed origin gets a new sequence number") {
  OriginTable table;
  CHECK(table.SequenceOf(1) == 0);
  table.Bind(1, kFirst, At(10));
  const uint64_t first = table.SequenceOf(1);
  CHECK(first == table.sequence());
  table.Bind(1, kFirst, At(20));
  CHECK(table.SequenceOf(1) == first);
  table.Bind(1, kSecond, At(10));
  CHECK(table.SequenceOf(1) > first);
  CHECK(table.Find(1) == kSecond);
}

// Load pattern: callers that begin streams faster than they end.
TEST_CASE("a full table drops the entry that expires first") {
  OriginTable table(2);
  table.Bind(1, kFirst, At(20));
  table.Bind(2, kFirst, At(10));
  table.Bind(3, kFirst, At(30));
  CHECK(table.size() == 2);
  CHECK(table.Find(1));
  CHECK_FALSE(table.Find(2));
  CHECK(table.Find(3));
}

TEST_CASE("records hold the streams of the wanted services") {
  OriginTable table;
  table.Bind(1, kFirst, At(10));
  table.Bind(2, kSecond, At(10));
  table.Bind(3, {"other", "a"}, At(10));
  const OriginRecord record = table.RecordOf({"app"});
  CHECK(record == OriginRecord{{"app", {{"a", {1}}, {"b", {2}}}}});
  CHECK(ParseOriginRecord(RenderOriginRecord(record)) == record);
  CHECK(ParseOriginRecord(RenderOriginRecord({})) == OriginRecord{});
}

// Guards against odd objects of other writers.
TEST_CASE("records that are not valid are refused") {
  for (const char* text :
       {"", "[]", "{}", R"({"streams":5})", R"({"streams":{"s":[1]}})",
        R"({"streams":{"s":{"v":[-1]}}})", R"({"streams":{"s":{"v":["a"]}}})",
        R"({"streams":{"s":{"v":[1e400]}}})"})
    CHECK_FALSE(ParseOriginRecord(text));
}

}  // namespace
}  // namespace jujuberock::streams
