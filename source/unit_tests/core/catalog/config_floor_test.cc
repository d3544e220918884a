#include "core/catalog/config_floor.h"

#include <catch2/catch.hpp>

namespace jujuberock::catalog {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr uint64_t kRevision = 40;
constexpr milliseconds kPeerWait(5000);
constexpr milliseconds kMaxGap(3800);
constexpr ConfigFloorOptions kOptions{kPeerWait, kMaxGap};

TimePoint At(int ms) {
  return TimePoint(milliseconds(ms));
}

// Guards against a host that never serves where the store states no era.
TEST_CASE("without eras the stored configuration is taken as it is") {
  ConfigFloor floor(kOptions);
  CHECK_FALSE(floor.IsMet(At(0)));
  floor.OnPeer({0, 9, true});
  floor.OnStored(3, kRevision);
  floor.OnInForce(3);
  CHECK(floor.IsMet(At(0)));
  CHECK(floor.Allows(3, At(0)));
}

// Guards against a revoked key that is accepted on: a store that holds an older
// configuration than this host can't confirm that no newer one revokes keys.
TEST_CASE(
    "a store that came back older confirms nothing until it is rewritten") {
  ConfigFloor floor(kOptions);
  floor.OnEra(1, At(0));
  floor.OnPeersRead();
  floor.OnStored(7, kRevision);
  floor.OnInForce(7);
  REQUIRE(floor.IsMet(At(10)));
  floor.OnAnswer(At(10), At(20));
  floor.OnEra(2, At(1000));
  CHECK_FALSE(floor.IsMet(At(1000)));
  floor.OnStored(5, kRevision);
  CHECK_FALSE(floor.IsMet(At(1000)));
  CHECK_FALSE(floor.IsMet(At(100000)));
  // What is in force here is served on.
  CHECK(floor.Allows(7, At(1000)));
  floor.OnStored(7, kRevision);
  CHECK(floor.IsMet(At(1000)));
}

// Guards against a revoked key that is accepted by a host that has just started
// and knows only the copy.
TEST_CASE(
    "a host that starts on a copy waits for those that knew the original") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  // The object of another host is a part of the copy.
  floor.OnPeer({1, 4, true});
  floor.OnPeersRead();
  CHECK_FALSE(floor.IsMet(At(1)));
  CHECK_FALSE(floor.Allows(5, At(1)));
  SECTION("another host had a newer configuration") {
    floor.OnPeer({2, 7, true});
    CHECK_FALSE(floor.IsMet(At(2)));
    CHECK_FALSE(floor.Allows(5, At(6000)));
    floor.OnStored(8, kRevision);
    CHECK(floor.IsMet(At(2)));
    CHECK(floor.Allows(8, At(2)));
  }
  SECTION("no other host had a newer configuration") {
    floor.OnPeer({2, 5, true});
    CHECK(floor.IsMet(At(2)));
  }
  SECTION("no other host is left") {
    CHECK_FALSE(floor.IsMet(At(4999)));
    CHECK(floor.IsMet(At(5000)));
  }
}

// Guards against a start that waits although the store has not gone back.
TEST_CASE("a host that starts beside others in the same era does not wait") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  CHECK(floor.IsMet(At(1)));
  floor.OnPeer({2, 5, true});
  // A host that is gone has left an object of a former era.
  floor.OnPeer({1, 4, true});
  floor.OnPeersRead();
  CHECK(floor.IsMet(At(2)));
}

// Guards against a revoked key that is accepted after a restore: a host that
// was cut off from the store while the key was withdrawn takes the copy for the
// present configuration (review/11).
TEST_CASE("a host that missed the end of the former era waits for the others") {
  ConfigFloor floor(kOptions);
  floor.OnEra(1, At(0));
  floor.OnPeersRead();
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  floor.OnAnswer(At(1000), At(1010));
  REQUIRE(floor.IsMet(At(1010)));
  SECTION("its last answer was recent") {
    floor.OnEra(2, At(4700));
    floor.OnStored(5, kRevision);
    CHECK(floor.knowledge() == EraKnowledge::kOwnView);
    CHECK(floor.IsMet(At(4700)));
  }
  SECTION("it was cut off, and others had a newer configuration") {
    floor.OnEra(2, At(9000));
    floor.OnStored(5, kRevision);
    CHECK_FALSE(floor.IsMet(At(9000)));
    // Requests without a key are served on.
    CHECK(floor.Allows(5, At(9000)));
    floor.OnPeer({1, 4, true});
    floor.OnPeersRead();
    CHECK_FALSE(floor.IsMet(At(9100)));
    floor.OnPeer({2, 7, true});
    CHECK_FALSE(floor.IsMet(At(20000)));
    CHECK_FALSE(floor.Allows(5, At(20000)));
    floor.OnStored(7, kRevision);
    CHECK(floor.IsMet(At(9200)));
  }
  SECTION("it was cut off, and nobody else is left") {
    floor.OnEra(2, At(9000));
    floor.OnStored(5, kRevision);
    floor.OnTick(At(13999));
    CHECK_FALSE(floor.IsMet(At(13999)));
    floor.OnTick(At(14000));
    CHECK(floor.IsMet(At(14000)));
    CHECK(floor.knowledge() == EraKnowledge::kTimeout);
  }
}

// Guards against hosts that refuse all keys after a second restore although
// they have read the store all the time.
TEST_CASE("what was in force is known over several restores") {
  ConfigFloor floor(kOptions);
  floor.OnEra(1, At(0));
  floor.OnPeersRead();
  floor.OnStored(7, kRevision);
  floor.OnInForce(7);
  floor.OnAnswer(At(1000), At(1010));
  // The copy is older. It confirms nothing, but it shows that nothing newer has
  // been written since.
  floor.OnEra(2, At(3000));
  floor.OnStored(5, kRevision);
  floor.OnAnswer(At(4500), At(4510));
  CHECK_FALSE(floor.IsMet(At(4510)));
  floor.OnEra(3, At(6500));
  CHECK(floor.knowledge() == EraKnowledge::kOwnView);
  floor.OnStored(7, kRevision);
  CHECK(floor.IsMet(At(6510)));
}

// Guards against a host that counts a wait as time in which it has read the
// store: what it read then may have been the copy.
TEST_CASE("a host that waits does not know more after a second restore") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnPeer({1, 4, true});
  floor.OnPeersRead();
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  floor.OnAnswer(At(1000), At(1010));
  floor.OnEra(3, At(1500));
  floor.OnStored(5, kRevision);
  CHECK(floor.knowledge() == EraKnowledge::kNone);
  CHECK_FALSE(floor.IsMet(At(1510)));
  // It has never served.
  CHECK_FALSE(floor.Allows(5, At(1510)));
}

// Guards against hosts that free each other: all were killed around a restore,
// each starts on the copy, and the first object of the new era lets the others
// accept a withdrawn key (review/12).
TEST_CASE("a host that does not know what was in force frees no other") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  SECTION("it began to wait before this host started") {
    floor.OnPeer({2, 5, false});
    floor.OnPeersRead();
    CHECK_FALSE(floor.IsMet(At(100)));
    CHECK(floor.ForPeers().is_known == false);
  }
  SECTION("its object of the former era is a part of the copy") {
    floor.OnPeer({1, 5, true});
    CHECK_FALSE(floor.ForPeers().is_known.has_value());
    floor.OnPeersRead();
    CHECK(floor.ForPeers().is_known == false);
    floor.OnPeer({2, 5, false});
    CHECK_FALSE(floor.IsMet(At(100)));
    CHECK_FALSE(floor.Allows(5, At(100)));
    // Nor does an earlier version of the program, which does not say so.
    floor.OnPeer({2, 5, std::nullopt});
    CHECK_FALSE(floor.IsMet(At(200)));
    SECTION("one knows") {
      floor.OnPeer({2, 5, true});
      CHECK(floor.IsMet(At(300)));
      CHECK(floor.ForPeers().is_known == true);
    }
    SECTION("nobody knows") {
      floor.OnTick(At(5000));
      CHECK(floor.IsMet(At(5000)));
      CHECK(floor.ForPeers().is_known == true);
    }
  }
}

// Guards against hosts that refuse all keys although the operator has written
// the configuration again.
TEST_CASE("a configuration that is written in this era ends the wait") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnPeer({1, 4, true});
  floor.OnPeersRead();
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  // It is read once more.
  floor.OnStored(5, kRevision);
  CHECK_FALSE(floor.IsMet(At(100)));
  floor.OnStored(7, kRevision + 3);
  CHECK(floor.knowledge() == EraKnowledge::kRewrite);
  CHECK(floor.IsMet(At(100)));
}

// Guards against an upgrade in which the first new host waits for others that
// can't say what they know, although the store has not gone back.
TEST_CASE("a host does not wait beside hosts of an earlier version") {
  ConfigFloor floor(kOptions);
  floor.OnEra(1, At(0));
  floor.OnPeer({1, 5, std::nullopt});
  floor.OnPeersRead();
  floor.OnStored(5, kRevision);
  CHECK(floor.IsMet(At(1)));
}

// Guards against a host that publishes an older configuration as all there was,
// because it has been told of the newer one but can't read it yet.
TEST_CASE("what a host was told of is in what it publishes") {
  ConfigFloor floor(kOptions);
  floor.OnEra(2, At(0));
  floor.OnPeer({1, 4, true});
  floor.OnPeersRead();
  floor.OnStored(5, kRevision);
  floor.OnInForce(5);
  floor.OnPeer({2, 7, true});
  CHECK(floor.ForPeers().version == 7);
}

}  // namespace
}  // namespace jujuberock::catalog
