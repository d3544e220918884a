#include "core/dispatch/stored_part.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

constexpr FetchLimits kLimits{270, 0.02, 270};

// Guards against fetches that cost more than prefilling the part, or that take
// longer than the request can wait.
TEST_CASE("a part is fetched if that costs less than prefilling it") {
  // Prefilling 5000 tokens takes 100 ms and weighs as much as a wait of 320 ms.
  StoredPart part{true, "z", 0, 40};
  CHECK(IsWorthFetching(part, 5000, "z", 0, kLimits));
  // The same wait is too long for a part that takes less time to prefill.
  part.wait_ms = 60;
  CHECK(IsWorthFetching(part, 5000, "z", 0, kLimits));
  CHECK_FALSE(IsWorthFetching(part, 1000, "z", 0, kLimits));
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
  CHECK_FALSE(IsWorthFetching(part, 5000, "z", 0, kLimits));
}

// Load: long prompts of several stored parts while the links of the stores are
// busy. Guards against a chain of fetches, each of them short enough, that
// makes the request late although its engine has time to prefill the rest.
TEST_CASE("the fetches of a prompt end within the limit together") {
  const StoredPart part{true, "z", 100, 60};
  double fetch_ms = 0;
  int fetched = 0;
  while (IsWorthFetching(part, 5000, "z", fetch_ms, kLimits)) {
    fetch_ms = FetchEndMs(part, "z", fetch_ms);
    ++fetched;
  }
  CHECK(fetched == 2);
  CHECK(fetch_ms == 220);
}

TEST_CASE("a transfer between zones takes twice as long") {
  const StoredPart part{true, "z", 0, 40};
  CHECK(TransferMs(part, "z") == 40);
  CHECK(TransferMs(part, "y") == 80);
}

}  // namespace
}  // namespace jujuberock::dispatch
