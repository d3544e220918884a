#include "core/caller/normal_path.h"

#include <catch2/catch.hpp>

namespace jujuberock::caller {
namespace {

// A call marked as non-idempotent under /pay must not run as another spelling
// of the same path, which would not be recorded.
TEST_CASE("other spellings of a path are refused") {
  for (const char* target :
       {"//pay", "/x//pay", "/./pay", "/x/../pay", "/pay/..", "/%70ay",
        "/x%2Fpay", "/x%2fpay", "/x%5cpay", "/x\\pay", "/%2e%2e/pay", "/pa%",
        "/pa%7", "/pa%zz", "/p\tay", "/p\xc3\xa1y", "pay", ""}) {
    CAPTURE(target);
    CHECK(PathProblem(target));
  }
}

TEST_CASE("paths in normal form pass") {
  for (const char* target : {"/", "/pay", "/pay/", "/pay/7?q=a//b/../c",
                             "/a.b/c-d_e~f", "/caf%C3%A9", "/a%20b", "/..."}) {
    CAPTURE(target);
    CHECK_FALSE(PathProblem(target));
  }
}

}  // namespace
}  // namespace jujuberock::caller
