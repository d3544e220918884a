#include "core/table/parse.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "core/common/error.h"
#include "core/runtime/worker_pool.h"
#include "core/table/view.h"

namespace jujuberock::table {
namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;

std::string ErrorOf(const std::string& kind,
                    const std::string& name,
                    const std::string& body) {
  try {
    Validate({kind, name, 1, false, body, ""});
  } catch (const common::Error& error) {
    CHECK(error.code() == common::ResultCode::kInvalidTable);
    return error.what();
  }
  return "";
}

std::string Band(const std::string& from,
                 const std::string& to,
                 const std::string& rest =
                     R"("weight":1,"max_running":2,"patience_ms":500)") {
  return R"({"from":")" + from + R"(","to":")" + to + "\"," + rest + "}";
}

std::string TeamOf(const std::string& bands) {
  return R"({"keys":[],"bands":[)" + bands + "]}";
}

// Guards against a gap, which would leave requests at that time without limits,
// and an overlap, which would make the applicable band ambiguous.
TEST_CASE("bands must cover the day exactly once") {
  const auto error = [](const std::string& bands) {
    return ErrorOf("team", "a", TeamOf(bands));
  };
  CHECK(error(Band("06:00", "24:00") + "," + Band("00:00", "06:00")).empty());
  CHECK(error(Band("00:00", "06:00") + "," + Band("07:00", "24:00")) ==
        "team/a: bands: no band covers 06:00 to 07:00");
  CHECK(error(Band("00:00", "07:00") + "," + Band("06:00", "24:00")) ==
        "team/a: bands: two bands cover 06:00");
  CHECK(error(Band("00:00", "23:59")) ==
        "team/a: bands: no band covers 23:59 to 24:00");
  CHECK(error("") == "team/a: bands: no band covers 00:00 to 24:00");
  CHECK(error(Band("22:00", "06:00")).find("crosses midnight") !=
        std::string::npos);
  for (const char* time : {"24:01", "6:00", "06:60", "0600", "ab:cd", "-1:00"})
    CHECK_FALSE(error(Band("00:00", time)).empty());
}

// Guards against a row whose nesting overflows the stack of the fiber that
// parses it, or that prints the value into the error.
TEST_CASE("a row of any nesting depth is rejected on a fiber") {
  runtime::WorkerPool workers(1);
  for (const size_t depth : {65U, 1'000U, 30'000U}) {
    const std::string deep = std::string(depth, '[') + std::string(depth, ']');
    const std::vector<std::string> bodies = {
        deep, R"({"x":)" + deep + "}", R"({"keys":)" + deep + R"(,"bands":[]})",
        TeamOf(Band("00:00", "24:00",
                    R"("max_running":2,"patience_ms":5,"weight":)" + deep)),
        TeamOf(Band("00:00", "24:00",
                    R"("weight":1,"patience_ms":5,"max_running":)" + deep))};
    workers.Run([&bodies] {
      for (const std::string& body : bodies)
        CHECK_FALSE(ErrorOf("team", "a", body).empty());
    });
  }
}

// Guards against an exception of another type, which would end the merge of a
// list in the middle.
TEST_CASE("a row with odd numbers or text is rejected") {
  for (const char* weight : {"1e400", "-1e400", "1e308", "\"\xff\"", "\xc3"}) {
    INFO(weight);
    CHECK_FALSE(ErrorOf("team", "a",
                        TeamOf(Band("00:00", "24:00",
                                    R"("max_running":2,"patience_ms":5,)"
                                    R"("weight":)" +
                                        std::string(weight))))
                    .empty());
  }
  CHECK_FALSE(ErrorOf("team", "a", "{\"\xff\":1}").empty());
  CHECK_FALSE(ErrorOf("team", "a", "{\"k").empty());
  CHECK_FALSE(ErrorOf("team", "a", "").empty());
}

TEST_CASE("an invalid value is rejected with the path of its field") {
  const auto rest = [](const std::string& fields) {
    return ErrorOf("team", "a", TeamOf(Band("00:00", "24:00", fields)));
  };
  CHECK(rest(R"("weight":0,"max_running":2,"patience_ms":5)")
            .starts_with("team/a: bands[0]: field \"weight\""));
  CHECK(rest(R"("weight":1,"max_running":-1,"patience_ms":5)")
            .starts_with("team/a: bands[0]: field \"max_running\""));
  CHECK(rest(R"("weight":1,"max_running":1.5,"patience_ms":5)") != "");
  CHECK(rest(R"("weight":1,"max_running":1,"patience_ms":0)") != "");
  CHECK(rest(R"("weight":1,"max_running":1)") ==
        "team/a: bands[0]: field \"patience_ms\" is missing");
  CHECK(rest(R"("weight":1,"max_running":1,"patience_ms":5,"patience":5)") ==
        "team/a: bands[0]: unknown field \"patience\"");
  CHECK(ErrorOf("team", "Bad_Name", "{}") != "");
  CHECK(ErrorOf("team", "a", "[1") == "team/a: the body is not JSON");
  CHECK(ErrorOf("team", "a", "[]") == "team/a: is not a JSON object");
  CHECK(ErrorOf("paper", "a", "{}") == "unknown kind \"paper\"");
  CHECK(ErrorOf("team", "a", R"({"keys":["short"],"bands":[]})") != "");
  CHECK(ErrorOf(
            "endpoint", "e",
            R"({"service":"s","zone":"z","address":"nowhere","state":"live"})")
            .find("ip:port") != std::string::npos);
  CHECK(ErrorOf("host", "h",
                R"({"zone":"z","address":"127.0.0.1:80","state":"gone"})") !=
        "");
  const std::string bands =
      R"("bands":[{"from":"00:00","to":"24:00","patience_ms":9,"max_queue":1}])";
  CHECK(ErrorOf("service", "s", R"({"kind":"plain",)" + bands + "}") == "");
  CHECK(ErrorOf("service", "s", R"({"kind":"engine",)" + bands + "}") != "");
  CHECK(ErrorOf(
            "service", "s",
            R"({"kind":"plain","zone_shares":{"a":0.5,"b":0.2},)" + bands + "}")
            .find("add up") != std::string::npos);
}

// Bands are given in the time zone of the deployment, not in UTC.
TEST_CASE("the effective patience is the smaller one at the local time") {
  View view({.utc_offset = hours(-3)});
  view.Apply({"team", "t", 1, false,
              TeamOf(Band("00:00", "06:00",
                          R"("weight":3,"max_running":7,"patience_ms":2000)") +
                     "," + Band("06:00", "24:00")),
              ""});
  view.Apply({"service", "s", 2, false,
              R"({"kind":"plain","bands":[{"from":"00:00","to":"24:00",)"
              R"("patience_ms":900,"max_queue":4}]})",
              ""});
  // 08:59 UTC is 05:59 in the deployment's time zone.
  const common::UnixTime day(hours(24 * 365));
  const auto before = view.LimitsFor("t", "s", day + hours(8) + minutes(59));
  REQUIRE(before);
  CHECK(before->patience == milliseconds(900));
  CHECK(before->weight == 3);
  CHECK(before->max_running == 7);
  const auto after = view.LimitsFor("t", "s", day + hours(9));
  CHECK(after->patience == milliseconds(500));
  // 01:00 UTC is 22:00 of the previous day.
  CHECK(view.LimitsFor("t", "s", day + hours(1))->max_running == 2);
  CHECK_FALSE(view.LimitsFor("t", "other", day));
}

}  // namespace
}  // namespace jujuberock::table
