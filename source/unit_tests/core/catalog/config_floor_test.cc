#include "core/catalog/config_floor.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr milliseconds kPeerWait(5000);

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

// Guards against a host that never serves where the store states no era.
TEST_CASE("without eras the stored configuration is taken as it is") {
  ConfigFloor floor(kPeerWait);
  CHECK_FALSE(floor.IsMet(At(0)));
  floor.OnPeer(0, 9);
  floor.OnStored(3);
  floor.OnInForce(3);
  CHECK(floor.IsMet(At(0)));
  CHECK(floor.Allows(3, At(0)));
}

// Guards against a revoked key that is accepted on: a store that holds an older
// configuration than this host can't confirm that no newer one revokes keys.
TEST_CASE(
    "a store that came back older confirms nothing until it is rewritten") {
  ConfigFloor floor(kPeerWait);
  floor.OnEra(1, At(0));
  floor.OnStored(7);
  floor.OnInForce(7);
  REQUIRE(floor.IsMet(At(10)));
  floor.OnEra(2, At(1000));
  CHECK_FALSE(floor.IsMet(At(1000)));
  floor.OnStored(5);
  CHECK_FALSE(floor.IsMet(At(1000)));
  CHECK_FALSE(floor.IsMet(At(100000)));
  // What is in force here is served on.
  CHECK(floor.Allows(7, At(1000)));
  floor.OnStored(7);
  CHECK(floor.IsMet(At(1000)));
}

// Guards against a revoked key that is accepted by a host that has just started
// and knows only the copy.
TEST_CASE(
    "a host that starts on a copy waits for those that knew the original") {
  ConfigFloor floor(kPeerWait);
  floor.OnEra(2, At(0));
  floor.OnStored(5);
  floor.OnInForce(5);
  // The object of another host is a part of the copy.
  floor.OnPeer(1, 4);
  CHECK_FALSE(floor.IsMet(At(1)));
  CHECK_FALSE(floor.Allows(5, At(1)));
  SECTION("another host had a newer configuration") {
    floor.OnPeer(2, 7);
    CHECK_FALSE(floor.IsMet(At(2)));
    CHECK_FALSE(floor.Allows(5, At(6000)));
    floor.OnStored(8);
    CHECK(floor.IsMet(At(2)));
    CHECK(floor.Allows(8, At(2)));
  }
  SECTION("no other host had a newer configuration") {
    floor.OnPeer(2, 5);
    CHECK(floor.IsMet(At(2)));
  }
  SECTION("no other host is left") {
    CHECK_FALSE(floor.IsMet(At(4999)));
    CHECK(floor.IsMet(At(5000)));
  }
}

// Guards against a start that waits although the store has not gone back.
TEST_CASE("a host that starts beside others in the same era does not wait") {
  ConfigFloor floor(kPeerWait);
  floor.OnEra(2, At(0));
  floor.OnStored(5);
  floor.OnInForce(5);
  CHECK(floor.IsMet(At(1)));
  floor.OnPeer(2, 5);
  // A host that is gone has left an object of a former era.
  floor.OnPeer(1, 4);
  CHECK(floor.IsMet(At(2)));
}

}  // namespace
}  // namespace jujuberock::catalog
