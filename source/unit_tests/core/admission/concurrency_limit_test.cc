#include "core/admission/concurrency_limit.h"

#include <catch2/catch.hpp>

namespace jujuberock::admission {
namespace {

using std::chrono::milliseconds;

constexpr common::Duration kPatience = milliseconds(1000);

TEST_CASE("late first tokens lower the limit, early ones raise it again") {
  ConcurrencyLimit limit(50);
  CHECK(limit.value() == 50);
  for (int i = 0; i < 100; ++i)
    limit.OnFirstToken(milliseconds(2000), kPatience, limit.value());
  const uint32_t low = limit.value();
  CHECK(low < 40);
  for (int i = 0; i < 10'000; ++i)
    limit.OnFirstToken(milliseconds(1), kPatience, limit.value());
  CHECK(limit.value() == 50);
  for (int i = 0; i < 10'000; ++i)
    limit.OnFirstToken(milliseconds(9000), kPatience, limit.value());
  CHECK(limit.value() == ConcurrencyLimit::kMinimum);
}

// Otherwise the limit would rise to an untested value while load is low, and
// would be far too high when load returns.
TEST_CASE("a limit that is not used does not rise") {
  ConcurrencyLimit limit(50);
  for (int i = 0; i < 100; ++i)
    limit.OnFirstToken(milliseconds(2000), kPatience, limit.value());
  const uint32_t low = limit.value();
  for (int i = 0; i < 1000; ++i)
    limit.OnFirstToken(milliseconds(1), kPatience, 1);
  CHECK(limit.value() == low);
  limit.SetMax(5);
  CHECK(limit.value() == 5);
}

}  // namespace
}  // namespace jujuberock::admission
