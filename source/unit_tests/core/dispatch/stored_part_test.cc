#include "core/dispatch/stored_part.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

constexpr FetchLimits kLimits{270, 0.02};

// Guards against fetches that cost more than prefilling the part, or that take
// longer than the request can wait.
TEST_CASE("a part is fetched if that costs less than prefilling it") {
  // Prefilling 5000 tokens takes 100 ms and weighs as much as a wait of 320 ms.
  StoredPart part{true, "z", 0, 40};
  CHECK(IsWorthFetching(part, 5000, "z", kLimits));
  // The same wait is too long for a part that takes less time to prefill.
  part.wait_ms = 60;
  CHECK(IsWorthFetching(part, 5000, "z", kLimits));
  CHECK_FALSE(IsWorthFetching(part, 1000, "z", kLimits));
  part.wait_ms = 0;
  SECTION("the store does not answer") {
    part.readable = false;
  }
  SECTION("its link is busy") {
    part.wait_ms = 240;
  }
  SECTION("its link is slow and the engine is in another zone") {
    part.transfer_ms = 140;
    part.zone = "y";
  }
  CHECK_FALSE(IsWorthFetching(part, 5000, "z", kLimits));
}

TEST_CASE("a transfer between zones takes twice as long") {
  const StoredPart part{true, "z", 0, 40};
  CHECK(TransferMs(part, "z") == 40);
  CHECK(TransferMs(part, "y") == 80);
}

}  // namespace
}  // namespace jujuberock::dispatch
