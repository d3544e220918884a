#include "core/events/explain.h"

#include <catch2/catch.hpp>
#include <sstream>

namespace jujuberock::events {
namespace {

constexpr const char* kLog =
    R"(  1.0 a {"time_ms":900,"host":"a","event":"endpoint_ejected","endpoint":"e1","reason":"silent"}
{"time_ms":950,"host":"a","event":"endpoint_ejected","endpoint":"e9","reason":"silent"}
{"time_ms":960,"host":"b","event":"config_in_force","config_version":7}
{"time_ms":970,"host":"a","event":"config_in_force","config_version":7}
not a line
{"time_ms":1010,"host":"a","event":"request_cut","request":"r1","endpoint":"e1","reason":"broken"}
{"time_ms":1000,"host":"a","event":"request_sent","request":"r1","endpoint":"e1"}
{"time_ms":1005,"host":"a","event":"request_sent","request":"r2","endpoint":"e1"}
{"time_ms":100,"host":"a","event":"view_stale","view_age_ms":1.0}
)";

// Guards against a timeline that omits events that affected the request or
// contains lines of other requests.
TEST_CASE("the timeline shows a request and related events in order") {
  std::istringstream in(kLog);
  size_t skipped = 0;
  const auto lines = ReadLogLines(in, skipped);
  CHECK(skipped == 1);
  CHECK(ExplainRequest(lines, "r1", 500) ==
        "  -100 ms a endpoint_ejected endpoint=e1 reason=silent\n"
        "  -30 ms a config_in_force config_version=7\n"
        "* 0 ms a request_sent endpoint=e1\n"
        "* 10 ms a request_cut endpoint=e1 reason=broken\n");
  CHECK(ExplainRequest(lines, "r3", 500).empty());
}

}  // namespace
}  // namespace jujuberock::events
