#include "core/gateway/host_object.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/gateway/host_registry.h"

namespace jujuberock::gateway {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using suspects::PartEvidence;
using suspects::PartMark;

const common::UnixTime kWrittenAt{milliseconds(1'700'000'000'000)};

HostObject MakeObject() {
  HostObject object;
  object.zone = "z";
  object.caller_address = "127.0.0.1:8080";
  object.peer_address = "127.0.0.1:8090";
  object.handover_address = "127.0.0.1:8091";
  object.written_at = kWrittenAt;
  object.config = {3, 12, true};
  object.last_order_age = milliseconds(70);
  object.marks = {{7, "e1/1000", milliseconds(20)}};
  // In the order of PartSuspects::Marks().
  object.part_marks = {
      {PartEvidence::kBlocked, ~uint64_t{0}, {}, milliseconds(50), {}},
      {PartEvidence::kTrial, 3, {}, milliseconds(60), {}},
      {PartEvidence::kSound, 2, {}, milliseconds(40), {}},
      {PartEvidence::kCrash, 1, "e1/1000", milliseconds(30), milliseconds(90),
       2, 77}};
  return object;
}

TEST_CASE("a host object is decoded as it was encoded") {
  const HostObject object = MakeObject();
  const auto decoded =
      DecodeHostObject(EncodeHostObject(object), kWrittenAt + milliseconds(9));
  REQUIRE(decoded);
  CHECK(decoded->zone == object.zone);
  CHECK(decoded->caller_address == object.caller_address);
  CHECK(decoded->peer_address == object.peer_address);
  CHECK(decoded->handover_address == object.handover_address);
  CHECK(decoded->config.era == object.config.era);
  CHECK(decoded->config.version == object.config.version);
  CHECK(decoded->config.is_known == object.config.is_known);
  CHECK(decoded->last_order_age == object.last_order_age);
  CHECK(decoded->marks == object.marks);
  CHECK(decoded->part_marks == object.part_marks);
}

// Guards against a host that takes an object of an earlier version of the
// program for one of a host that knows, or does not know, what was in force.
TEST_CASE("an object that does not say what its host knows is read so") {
  HostObject object = MakeObject();
  object.config.is_known.reset();
  const auto decoded = DecodeHostObject(EncodeHostObject(object), kWrittenAt);
  REQUIRE(decoded);
  CHECK_FALSE(decoded->config.is_known.has_value());
  CHECK(decoded->config.version == 12);
}

// Guards against verdicts of a host that ended long ago, which a new host would
// take for new ones.
TEST_CASE("marks of an old object are as old as the object") {
  const auto decoded = DecodeHostObject(EncodeHostObject(MakeObject()),
                                        kWrittenAt + minutes(20));
  REQUIRE(decoded);
  CHECK(decoded->marks[0].age == minutes(20) + milliseconds(20));
  CHECK(decoded->part_marks[3].sent_age == minutes(20) + milliseconds(90));
  CHECK(decoded->part_marks[0].age == minutes(20) + milliseconds(50));
}

TEST_CASE("a difference of the clocks does not change the ages") {
  for (const int difference_ms : {-5000, 5000}) {
    const auto decoded =
        DecodeHostObject(EncodeHostObject(MakeObject()),
                         kWrittenAt + milliseconds(difference_ms));
    REQUIRE(decoded);
    CHECK(decoded->marks[0].age == milliseconds(20));
  }
}

TEST_CASE("malformed host objects are rejected") {
  for (const char* text :
       {"", "[]", "{}", R"({"marks":[{}]})", R"({"marks":[],"part_marks":1})",
        R"({"marks":[],"part_marks":[{"evidence":"crash","part":1}]})"})
    CHECK_FALSE(DecodeHostObject(text, kWrittenAt));
}

// Guards against another writer's object that ends the process or is read with
// numbers that it does not have.
TEST_CASE("host objects with odd values are rejected") {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const std::string odd_values[] = {deep,    "-1",       "1.5",
                                    "1e300", "1e400",    "\"1\"",
                                    "null",  "\"\xff\"", "\"\\ud800\""};
  for (const std::string& odd : odd_values) {
    INFO(odd.substr(0, 20));
    for (const std::string& text :
         {R"({"marks":[],"store_era":)" + odd + "}",
          R"({"marks":[],"config_version":)" + odd + "}",
          R"({"marks":[],"config_known":)" + odd + "}",
          R"({"marks":[],"written_ms":)" + odd + "}",
          R"({"marks":[],"last_order_age_ms":)" + odd + "}",
          R"({"marks":[{"fingerprint":1,"endpoint":"e","age_ms":)" + odd +
              "}]}"})
      CHECK_FALSE(DecodeHostObject(text, kWrittenAt));
  }
  CHECK_FALSE(DecodeHostObject(R"({"marks":[],"x":)" + deep + "}", kWrittenAt));
}

// Guards against an overflow of times that are computed from an age.
TEST_CASE("ages of any length can be computed with") {
  const auto decoded =
      DecodeHostObject(R"({"marks":[{"fingerprint":1,"endpoint":"e",)"
                       R"("age_ms":18446744073709551615}],"written_ms":0,)"
                       R"("last_order_age_ms":9223372036854775807})",
                       kWrittenAt);
  REQUIRE(decoded);
  CHECK(decoded->marks[0].age > minutes(60));
  CHECK(decoded->marks[0].age < std::chrono::hours(24 * 1000));
  CHECK(*decoded->last_order_age < std::chrono::hours(24 * 1000));
}

// Load pattern: many engines crash at once, with hundreds of requests in
// flight. Guards against objects that fill the links and the processor time of
// the hosts, all of which read all of them.
TEST_CASE("the marks of a crash take a few bytes each") {
  HostObject object = MakeObject();
  object.marks.clear();
  object.part_marks.clear();
  constexpr uint64_t kLargeHash = ~uint64_t{0} - 1000;
  for (uint64_t i = 0; i < 200; ++i) {
    const std::string endpoint =
        "i-0123456789/176752010" + std::to_string(i / 20);
    object.marks.push_back({kLargeHash + i, endpoint, milliseconds(70000)});
    object.part_marks.push_back({PartEvidence::kCrash, kLargeHash + i, endpoint,
                                 milliseconds(70000), milliseconds(70500), 2,
                                 kLargeHash});
  }
  const std::string text = EncodeHostObject(object);
  CHECK(text.size() < 400 * 36);
  const auto decoded = DecodeHostObject(text, kWrittenAt);
  REQUIRE(decoded);
  CHECK(decoded->marks == object.marks);
  CHECK(decoded->part_marks == object.part_marks);
}

// Guards against objects that grow with what they say: every host reads all of
// them. Here each mark is of a crash of its own.
TEST_CASE("an object with the most marks stays below 64 KiB") {
  constexpr size_t kMaxObjectBytes = 64 * 1024;
  HostObject object = MakeObject();
  object.marks.clear();
  object.part_marks.clear();
  constexpr uint64_t kLargeHash = ~uint64_t{0} - 1000;
  for (uint64_t i = 0; i < 200; ++i) {
    const std::string endpoint = "i-0123456789/1767520100" + std::to_string(i);
    const milliseconds age(1800000 - static_cast<int>(i));
    object.marks.push_back({kLargeHash + i, endpoint, age});
    object.part_marks.push_back({PartEvidence::kCrash, kLargeHash + i, endpoint,
                                 age, age + milliseconds(500), 2, kLargeHash});
  }
  CHECK(EncodeHostObject(object).size() < kMaxObjectBytes);
}

// Guards against marks that are lost while hosts of two versions run.
TEST_CASE("marks in the form of earlier versions are read") {
  const auto decoded = DecodeHostObject(
      R"({"marks":[{"fingerprint":7,"endpoint":"e1","age_ms":20}],)"
      R"("part_marks":[{"evidence":"crash","part":1,"age_ms":30,"requests":2,)"
      R"("endpoint":"e1","sent_age_ms":90,"reporter":77},)"
      R"({"evidence":"sound","part":2,"age_ms":40}]})",
      kWrittenAt);
  REQUIRE(decoded);
  CHECK(decoded->marks ==
        std::vector<suspects::CrashMark>{{7, "e1", milliseconds(20)}});
  CHECK(decoded->part_marks ==
        std::vector<PartMark>{
            {PartEvidence::kCrash, 1, "e1", milliseconds(30), milliseconds(90),
             2, 77},
            {PartEvidence::kSound, 2, {}, milliseconds(40), {}}});
}

TEST_CASE("malformed groups of marks are rejected") {
  for (const char* text :
       {R"({"marks":[],"crashes":[{}]})", R"({"marks":[],"crashes":1})",
        R"({"marks":[],"part_crashes":[{"endpoint":"e","age_ms":1}]})",
        R"({"marks":[],"part_evidence":[{"evidence":"sound","parts":[[1]]}]})",
        R"({"marks":[],"part_evidence":[{"evidence":"sound","parts":[1]}]})"})
    CHECK_FALSE(DecodeHostObject(text, kWrittenAt));
}

// Load pattern: many engines crash at once, and every host has much to tell.
// Guards against objects that every host reads as often as each of the others
// writes them, and against verdicts that spread too late.
TEST_CASE("large objects are written less often") {
  CHECK(HostWritePeriod(400, 26) == milliseconds(150));
  CHECK(HostWritePeriod(20000, 4) > milliseconds(300));
  CHECK(HostWritePeriod(12000, 26) > milliseconds(1000));
  CHECK(HostWritePeriod(50000, 370) == milliseconds(1500));
}

TEST_CASE("unknown evidence is skipped") {
  const auto decoded = DecodeHostObject(
      R"({"marks":[],"part_marks":[{"evidence":"new","part":1,"age_ms":2}]})",
      kWrittenAt);
  REQUIRE(decoded);
  CHECK(decoded->part_marks.empty());
}

}  // namespace
}  // namespace jujuberock::gateway
