#include "core/caller/path_validation.h"

#include <catch2/catch.hpp>

namespace jujuberock::caller {
namespace {

// Guards against running a call to the non-idempotent path /pay unrecorded,
// under an equivalent spelling of the path.
TEST_CASE("paths that are not normalized are rejected") {
  for (const char* target :
       {"//pay", "/x//pay", "/./pay", "/x/../pay", "/pay/..", "/%70ay",
        "/x%2Fpay", "/x%2fpay", "/x%5cpay", "/x\\pay", "/%2e%2e/pay", "/pa%",
        "/pa%7", "/pa%zz", "/p\tay", "/p\xc3\xa1y", "pay", ""}) {
    CAPTURE(target);
    CHECK(FindPathError(target));
  }
}

TEST_CASE("normalized paths are accepted") {
  for (const char* target : {"/", "/pay", "/pay/", "/pay/7?q=a//b/../c",
                             "/a.b/c-d_e~f", "/caf%C3%A9", "/a%20b", "/..."}) {
    CAPTURE(target);
    CHECK_FALSE(FindPathError(target));
  }
}

}  // namespace
}  // namespace jujuberock::caller
