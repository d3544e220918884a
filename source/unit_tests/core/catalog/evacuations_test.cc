#include "core/catalog/evacuations.h"

#include <catch2/catch.hpp>

#include "core/common/hash.h"

namespace jujuberock::catalog {
namespace {

using common::TimePoint;

TimePoint At(int ms) {
  return TimePoint(std::chrono::milliseconds(100000 + ms));
}

PeerEvacuation Told(const std::string& zone, EvacuationRecord record) {
  return {common::Hash64(zone), record};
}

TEST_CASE("an evacuation holds until the store no longer has it") {
  Evacuations zones;
  CHECK_FALSE(zones.IsEvacuated("a"));
  const auto began = zones.OnStored("a", {1, 10, false}, At(0));
  REQUIRE(began);
  CHECK(began->zone == "a");
  CHECK(zones.IsEvacuated("a"));
  CHECK_FALSE(zones.IsEvacuated("b"));
  CHECK_FALSE(zones.OnStored("a", {1, 10, false}, At(1)));
  // The store may state the end with the revision of the beginning.
  const auto ended = zones.OnStored("a", {1, 10, true}, At(2));
  REQUIRE(ended);
  CHECK(ended->record.is_ended);
  CHECK_FALSE(zones.IsEvacuated("a"));
}

TEST_CASE("a list without the zone ends its evacuation") {
  Evacuations zones;
  zones.OnStored("a", {1, 10, false}, At(0));
  zones.OnStored("b", {1, 11, false}, At(0));
  const auto changes = zones.OnListed({"b"}, 1, 20, At(5));
  REQUIRE(changes.size() == 1);
  CHECK(changes[0].zone == "a");
  CHECK_FALSE(zones.IsEvacuated("a"));
  CHECK(zones.IsEvacuated("b"));
}

// Guards against requests to an evacuated zone from a host that can't reach the
// store, and against a zone that stays empty because of it.
TEST_CASE("a host without the store learns both changes from others") {
  Evacuations with_store;
  Evacuations without;
  with_store.OnStored("a", {1, 10, false}, At(0));
  for (const auto& told : with_store.ForPeers(At(100)))
    without.OnPeer(told, At(100));
  CHECK(without.IsEvacuated("a"));
  with_store.OnStored("a", {1, 30, true}, At(5000));
  for (const auto& told : with_store.ForPeers(At(5100)))
    without.OnPeer(told, At(5100));
  CHECK_FALSE(without.IsEvacuated("a"));
}

// Guards against messages that arrive late and begin, or end, an evacuation
// again.
TEST_CASE("a late message changes nothing") {
  Evacuations zones;
  zones.OnStored("a", {1, 10, false}, At(0));
  zones.OnStored("a", {1, 20, true}, At(10));
  CHECK_FALSE(zones.OnPeer(Told("a", {1, 10, false}), At(20)));
  CHECK_FALSE(zones.IsEvacuated("a"));
  zones.OnStored("a", {1, 30, false}, At(30));
  CHECK_FALSE(zones.OnPeer(Told("a", {1, 20, true}), At(40)));
  CHECK(zones.IsEvacuated("a"));
  // Nor does a list that the store made before what another host has read.
  zones.OnPeer(Told("b", {1, 50, false}), At(50));
  zones.OnListed({"a"}, 1, 45, At(60));
  CHECK(zones.IsEvacuated("b"));
}

// Guards against revisions of a former era, which mean nothing any more.
TEST_CASE("a higher era wins whatever its revision") {
  Evacuations zones;
  zones.OnStored("a", {1, 90, false}, At(0));
  zones.OnListed({}, 2, 40, At(10));
  CHECK_FALSE(zones.IsEvacuated("a"));
  CHECK_FALSE(zones.OnPeer(Told("a", {1, 95, false}), At(20)));
  CHECK(zones.OnPeer(Told("a", {2, 41, false}), At(30)));
}

// Guards against a host that was cut off from all others when they repeated the
// end of an evacuation.
TEST_CASE("the end is repeated to a host that still goes by the beginning") {
  Evacuations zones;
  zones.OnStored("a", {1, 10, false}, At(0));
  CHECK(zones.ForPeers(At(900000)).size() == 1);
  zones.OnStored("a", {1, 20, true}, At(1000000));
  CHECK(zones.ForPeers(At(1001000)).size() == 1);
  CHECK(zones.ForPeers(At(1060000)).empty());
  zones.OnPeer(Told("a", {1, 10, false}), At(1070000));
  CHECK(zones.ForPeers(At(1070001)).size() == 1);
}

// Guards against memory that messages of any sender use up, and against an
// evacuation that finds no room because of them.
TEST_CASE("what only other hosts told makes room for the store") {
  Evacuations zones;
  for (uint64_t i = 0; i < 1000; ++i)
    zones.OnPeer({i, {1, 10, false}}, At(0));
  CHECK(zones.ForPeers(At(0)).size() == Evacuations::kMaxZones);
  zones.OnStored("a", {1, 11, false}, At(1));
  CHECK(zones.IsEvacuated("a"));
  CHECK(zones.ForPeers(At(1)).size() == Evacuations::kMaxZones);
}

}  // namespace
}  // namespace jujuberock::catalog
