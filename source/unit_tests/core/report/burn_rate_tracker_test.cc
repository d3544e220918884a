#include "core/report/burn_rate_tracker.h"

#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "core/report/burn_render.h"

namespace jujuberock::report {
namespace {

using common::TimePoint;
using std::chrono::minutes;

const BurnKey kKey{"team-a", "assistant", "06:00"};

// Alerts are based on the short window, so a burst has to leave it within
// minutes while it still counts in the long one.
TEST_CASE("a burst of bad requests leaves the short window first") {
  BurnRateTracker burn;
  burn.Record(kKey, SloResult::kInTime, TimePoint(minutes(1)));
  burn.Record(kKey, SloResult::kLate, TimePoint(minutes(1)));
  auto rows = burn.Rows(TimePoint(minutes(2)));
  REQUIRE(rows.size() == 1);
  CHECK(BurnRate(rows[0].short_window, 0.95) == Approx(10.0));
  rows = burn.Rows(TimePoint(minutes(20)));
  CHECK(rows[0].short_window.total() == 0);
  CHECK(rows[0].long_window.bad() == 1);
}

// The counts of removed teams must not stay in memory forever.
TEST_CASE("a key without requests in the long window is dropped") {
  BurnRateTracker burn;
  burn.Record(kKey, SloResult::kFailed, TimePoint(minutes(1)));
  burn.Rows(TimePoint(minutes(90)));
  CHECK(burn.size() == 0);
}

TEST_CASE("rows of several hosts survive a JSON round trip and add up") {
  BurnRateTracker first, second;
  first.Record(kKey, SloResult::kInTime, TimePoint(minutes(1)));
  second.Record(kKey, SloResult::kRefused, TimePoint(minutes(1)));
  const TimePoint now(minutes(2));
  const auto merged =
      MergeRows({ParseJson(RenderJson(first.Rows(now), 0.95)),
                 ParseJson(RenderJson(second.Rows(now), 0.95))});
  REQUIRE(merged.size() == 1);
  CHECK(merged[0].long_window.total() == 2);
  CHECK(merged[0].long_window.bad() == 1);
  CHECK(RenderText(merged, 0.95).find("10.00") != std::string::npos);
}

TEST_CASE("a malformed report is an error") {
  CHECK_THROWS_AS(ParseJson("{}"), common::Error);
}

}  // namespace
}  // namespace jujuberock::report
