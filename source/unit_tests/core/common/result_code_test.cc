#include "core/common/result_code.h"

#include <catch2/catch.hpp>

namespace jujuberock::common {
namespace {

// InfoOf() searches by bisection, so a code out of order would be reported as
// an internal error.
TEST_CASE("every result code finds its own row") {
  for (const ResultCodeInfo& info : AllResultCodes()) {
    CHECK(InfoOf(info.code).name == info.name);
    CHECK(ResultCodeFromNumber(static_cast<int>(info.code)) == info.code);
  }
}

}  // namespace
}  // namespace jujuberock::common
