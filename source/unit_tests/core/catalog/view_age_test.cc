#include "core/catalog/view_age.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

// Guards against accepting a revoked key while this host cannot reach the
// platform.
TEST_CASE("keys are rejected when the view may miss a revocation") {
  const ViewAgeOptions options{milliseconds(5000), milliseconds(1200)};
  ViewAge age(options);
  CHECK_FALSE(age.KeysUsable(At(0)));
  age.OnConfirmed(At(1000));
  CHECK(age.KeysUsable(At(1000 + 3799)));
  CHECK_FALSE(age.KeysUsable(At(1000 + 3800)));
  age.OnConfirmed(At(5000));
  CHECK(age.KeysUsable(At(5001)));
}

// Guards against a delayed response that sets the confirmation time back.
TEST_CASE("an older confirmation does not replace a newer one") {
  ViewAge age({milliseconds(5000), milliseconds(1200)});
  age.OnConfirmed(At(3000));
  age.OnConfirmed(At(2000));
  CHECK(*age.AgeAt(At(3500)) == milliseconds(500));
}

TEST_CASE("a host reports not ready before it rejects keys") {
  ViewAge age({milliseconds(5000), milliseconds(1200)});
  age.OnConfirmed(At(0));
  CHECK_FALSE(age.IsFresh(At(3100)));
  CHECK(age.KeysUsable(At(3100)));
}

}  // namespace
}  // namespace jujuberock::catalog
