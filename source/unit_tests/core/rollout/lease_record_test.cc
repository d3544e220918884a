#include "core/rollout/lease_record.h"

#include <string>

#include <catch2/catch.hpp>

namespace jujuberock::rollout {
namespace {

std::string RecordWith(const std::string& token) {
  return R"({"holder":"h","token":)" + token +
         R"(,"renewals":1,"ordered":true,"model":"m","version":2,)"
         R"("reserved":[],"upcoming":[],"updated":[]})";
}

// Guards against a fencing token that a host takes for another number, or for
// different ones on processors of different kinds.
TEST_CASE("a lease whose token is no integer is refused") {
  CHECK(ParseLeaseRecord(RecordWith("18446744073709551615")));
  for (const char* token : {"-1", "1.5", "1e300", "18446744073709551616"}) {
    INFO(token);
    CHECK_FALSE(ParseLeaseRecord(RecordWith(token)));
  }
}

}  // namespace
}  // namespace jujuberock::rollout
