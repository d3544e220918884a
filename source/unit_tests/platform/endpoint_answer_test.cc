#include "platform/endpoint_answer.h"

#include <string>

#include <catch2/catch.hpp>

#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::platform_adapter {
namespace {

const std::string kReport =
    R"({"stage":"both","models":[{"name":"m","version":4,"adapters":[]}],)"
    R"("busy":true,"sequence":2,"waiting":1,"running":12})";

const std::string kEvents =
    R"({"epoch":77120,"next":120,"lost":false,"clock_ms":1700000000123.5,)"
    R"("events":[[119,"+","s1","5c1e07a2",800,"m"],)"
    R"([120,"-","s1","91bd3f06",128,"m"]]})";

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

// Values that no body may have, in place of a number.
std::vector<std::string> OddNumbers() {
  return {"-1",         "1.5",   "1e400", "1e30", "1" + std::string(30, '0'),
          "NaN",        "\"1\"", "[]",    "null", "\"\xff\"",
          "\"\\ud800\""};
}

std::string Nested(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

TEST_CASE("an engine's report is decoded") {
  const auto report = DecodeReport(kReport);
  REQUIRE(report);
  CHECK(report->busy);
  CHECK(report->sequence == 2);
  REQUIRE(report->models.size() == 1);
  CHECK(report->models[0].version == 4);
  CHECK(DecodeReport("{}")->models.empty());
}

TEST_CASE("a cache store's events are decoded") {
  const auto events = DecodeEvents(kEvents);
  REQUIRE(events);
  CHECK(events->epoch == 77120);
  CHECK(events->next == 120);
  CHECK(events->clock_ms == 1700000000123);
  REQUIRE(events->events.size() == 2);
  CHECK(events->events[0].added);
  CHECK(events->events[0].tokens == 800);
  CHECK_FALSE(events->events[1].added);
}

// Guards against one endpoint's answer that ends the process, or that is read
// as a number that the endpoint did not say.
TEST_CASE("odd reports and events are rejected") {
  for (const std::string& odd : OddNumbers()) {
    INFO(odd);
    CHECK_FALSE(DecodeReport(Replace(kReport, ":4", ":" + odd)));
    CHECK_FALSE(DecodeReport(Replace(kReport, ":2", ":" + odd)));
    CHECK_FALSE(DecodeEvents(Replace(kEvents, "77120", odd)));
    CHECK_FALSE(DecodeEvents(Replace(kEvents, "120,", odd + ",")));
    CHECK_FALSE(DecodeEvents(Replace(kEvents, "800", odd)));
  }
  CHECK_FALSE(DecodeEvents(Replace(kEvents, "1700000000123.5", "1e300")));
  CHECK_FALSE(DecodeEvents(Replace(kEvents, "1700000000123.5", "-1")));
  for (const std::string& body :
       {Nested(200000), R"({"models":)" + Nested(200000) + "}",
        R"({"epoch":1,"next":1,"events":[],"x":)" + Nested(200000) + "}",
        std::string(), std::string("5"), std::string("\xff"),
        "{\"models\":[],\"x\":\"" + std::string(9 << 20, 'x') + "\"}"}) {
    INFO(body.substr(0, 40));
    CHECK_FALSE(DecodeReport(body));
    CHECK_FALSE(DecodeEvents(body));
  }
}

TEST_CASE("mutated reports and events are decoded or rejected") {
  common::Random random(20261205);
  for (int i = 0; i < 4000; ++i) {
    CHECK_NOTHROW(DecodeReport(fuzz::Mutate(kReport, random)));
    CHECK_NOTHROW(DecodeEvents(fuzz::Mutate(kEvents, random)));
  }
}

}  // namespace
}  // namespace jujuberock::platform_adapter
