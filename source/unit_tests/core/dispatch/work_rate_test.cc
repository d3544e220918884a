#include "core/dispatch/work_rate.h"
#include "core/dispatch/endpoint_record.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

// Load: an endpoint whose machine is shared, so that it is slow for a fraction
// of a second. Guards against avoiding it long after it has recovered.
TEST_CASE("a report is believed for a fraction of a second") {
  WorkRate rate;
  CHECK(rate.FactorAt(At(0)) == 1);
  rate.OnReport(2.5, At(0));
  CHECK(rate.FactorAt(At(0)) == Approx(2.5));
  CHECK(rate.FactorAt(At(200)) == Approx(2.5));
  CHECK(rate.FactorAt(At(500)) == Approx(1.75));
  CHECK(rate.FactorAt(At(800)) == Approx(1));
  rate.OnReport(1, At(810));
  CHECK(rate.FactorAt(At(810)) == Approx(1));
}

// Load: an endpoint that stays slow and whose reports stop, as those of a host
// that is cut off. Guards against taking it for a fast one.
TEST_CASE("after the report the endpoint's own durations count") {
  WorkRate rate;
  rate.OnReport(3, At(0));
  for (int i = 0; i < 30; ++i)
    rate.OnDuration(milliseconds(300), milliseconds(100), At(900 + 10 * i));
  CHECK(rate.FactorAt(At(1200)) > 2.5);
  CHECK(rate.FactorAt(At(20000)) == Approx(1).margin(0.01));
}

// Guards against a change for endpoints that report no factor: their durations
// contain waits that the prediction does not know.
TEST_CASE("durations of an endpoint that reports no factor do not count") {
  WorkRate rate;
  rate.OnDuration(milliseconds(900), milliseconds(100), At(0));
  CHECK(rate.FactorAt(At(1)) == 1);
}

// Guards against a false report that takes an endpoint out of service or draws
// all requests to it.
TEST_CASE("factors are limited") {
  WorkRate rate;
  rate.OnReport(1e12, At(0));
  CHECK(rate.FactorAt(At(0)) == WorkRate::kMaxFactor);
  rate.OnReport(1e-12, At(0));
  CHECK(rate.FactorAt(At(0)) == WorkRate::kMinFactor);
}

// Load: hundreds of answers a second, nearly all of which report the usual
// time. Guards against telling the other hosts each of them.
TEST_CASE("only reports that change the belief are news") {
  WorkRate rate;
  CHECK_FALSE(rate.IsNews(1.1, At(0)));
  CHECK(rate.IsNews(2.5, At(0)));
  rate.OnReport(2.5, At(0));
  CHECK_FALSE(rate.IsNews(2.4, At(10)));
  CHECK(rate.IsNews(1, At(10)));
  CHECK(rate.IsNews(2.5, At(700)));
}

// Load: an engine that falls behind while 82 of 83 hosts take it for idle.
// Guards against keeping that to the host that has heard of it, and against
// telling it where engines do not report how long work takes.
TEST_CASE("a report is news if another number of requests waits") {
  EndpointRecord record(catalog::Endpoint(), 0);
  const LoadReport behind{24, 5, 24, 1.0};
  CHECK(record.IsNews(behind, At(0)));
  CHECK_FALSE(record.IsNews({24, 5, 24}, At(0)));
  record.OnLoadReport(behind, At(0));
  CHECK_FALSE(record.IsNews(behind, At(10)));
  CHECK(record.IsNews({24, 0, 24, 1.0}, At(10)));
  CHECK(record.IsNews({24, 5, 24, 2.0}, At(10)));
}

}  // namespace
}  // namespace jujuberock::dispatch
