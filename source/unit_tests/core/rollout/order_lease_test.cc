#include "core/rollout/order_lease.h"

#include <catch2/catch.hpp>

namespace jujuberock::rollout {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

const OrderLeaseOptions kOptions{milliseconds(3000)};

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

LeaseRecord HeldBy(const char* host, uint64_t token) {
  LeaseRecord record;
  record.holder = host;
  record.token = token;
  record.ordered = true;
  return record;
}

TEST_CASE("a host takes a lease that has no holder") {
  OrderLease lease("a", kOptions);
  lease.OnNoRecord(At(0));
  REQUIRE(lease.MayAcquire(At(0)));
  const LeaseRecord record = lease.RecordToAcquire();
  lease.OnWritten(record, 5, At(0), At(4));
  CHECK(lease.Holds(At(10)));
  CHECK(lease.token() == 1);
}

// Guards against orders from a holder that was suspended while another host
// took over.
TEST_CASE("the holder stops well before another host may take the lease") {
  OrderLease holder("a", kOptions);
  OrderLease other("b", kOptions);
  const LeaseRecord record = HeldBy("a", 1);
  holder.OnWritten(record, 5, At(0), At(4));
  other.OnRecord(record, 5, At(2));
  int stops = 0;
  while (holder.Holds(At(stops)))
    ++stops;
  int acquires = 0;
  while (!other.MayAcquire(At(acquires)))
    ++acquires;
  CHECK(acquires - stops > 500);
  CHECK(acquires < 2500);
}

TEST_CASE("renewals by the holder prevent a takeover") {
  OrderLease other("b", kOptions);
  LeaseRecord record = HeldBy("a", 1);
  for (int i = 0; i < 20; ++i) {
    ++record.renewals;
    other.OnRecord(record, static_cast<uint64_t>(10 + i), At(i * 400));
    CHECK_FALSE(other.MayAcquire(At(i * 400 + 399)));
  }
}

TEST_CASE("the token increases with each change of holder") {
  OrderLease lease("b", kOptions);
  lease.OnRecord(HeldBy("a", 41), 9, At(0));
  CHECK(lease.RecordToAcquire().token == 42);
}

TEST_CASE(
    "a newer record of another host ends the lease, an old one does not") {
  OrderLease lease("a", kOptions);
  lease.OnWritten(HeldBy("a", 1), 5, At(0), At(1));
  lease.OnRecord(HeldBy("b", 0), 4, At(2));
  CHECK(lease.Holds(At(3)));
  lease.OnRecord(HeldBy("b", 2), 6, At(4));
  CHECK_FALSE(lease.Holds(At(5)));
}

TEST_CASE(
    "a rendered record parses to the same record, other text is refused") {
  LeaseRecord record = HeldBy("a", 3);
  record.reserved = {"e1"};
  record.updated = {"e3"};
  CHECK(ParseLeaseRecord(RenderLeaseRecord(record)) == record);
  for (const char* text : {"", "{}", "[]", "{\"holder\":1}", "\xff"}) {
    INFO(text);
    CHECK_FALSE(ParseLeaseRecord(text));
  }
}

// Time in which no holder of a former era can still send orders, and its last
// ones are a lease time old.
constexpr int kSettledMs = 4080;

// Guards against a fencing token that is given out twice: the store has lost
// the record that held it, and the host that creates it anew never saw it.
TEST_CASE("tokens of a later era are above all tokens of an earlier one") {
  OrderLease before("a", kOptions);
  before.OnEra(1, At(0));
  uint64_t highest = 0;
  for (int i = 0; i < 3; ++i) {
    const LeaseRecord record = before.RecordToAcquire();
    CHECK(record.token > highest);
    highest = record.token;
    before.OnWritten(record, 5, At(0), At(1));
  }
  OrderLease after("b", kOptions);
  after.OnEra(2, At(0));
  after.OnNoRecord(At(1));
  CHECK(after.RecordToAcquire().token > highest);
  // The copy has an older record.
  after.OnRecord(HeldBy("a", 1), 3, At(2));
  CHECK(after.RecordToAcquire().token > highest);
}

// Guards against two hosts that send orders within one lease time: the record
// of the holder is lost, or the copy has an older one.
TEST_CASE("after a restore other hosts wait until the holder has stopped") {
  OrderLease other("b", kOptions);
  other.OnEra(1, At(0));
  other.OnRecord(HeldBy("a", (uint64_t{1} << 32) + 1), 50, At(0));
  other.OnEra(2, At(10000));
  SECTION("no record") {
    other.OnNoRecord(At(10001));
  }
  SECTION("an older record that was released") {
    LeaseRecord released = HeldBy("", (uint64_t{1} << 32) + 1);
    released.ordered = false;
    other.OnRecord(released, 40, At(10001));
  }
  SECTION("an older record of this host") {
    other.OnRecord(HeldBy("b", (uint64_t{1} << 32) + 1), 40, At(10001));
  }
  CHECK_FALSE(other.MayAcquire(At(10000 + kSettledMs - 1)));
  CHECK(other.MayAcquire(At(10000 + kSettledMs)));
}

// Guards against seconds without a rollout: nobody that held the lease before
// sends orders any more.
TEST_CASE("after a restore hosts wait only for the last order of the others") {
  OrderLease lease("b", kOptions);
  lease.OnEra(2, At(10000));
  lease.OnNoRecord(At(10001));
  CHECK_FALSE(lease.MayAcquire(At(10500)));
  lease.OnFormerHoldersStopped(At(8000), At(10500));
  CHECK_FALSE(lease.MayAcquire(At(10999)));
  CHECK(lease.MayAcquire(At(11000)));
  // What is learnt later takes nothing back.
  lease.OnFormerHoldersStopped(At(9000), At(11000));
  CHECK(lease.MayAcquire(At(11000)));
  // A host whose clock has just started.
  OrderLease started("b", kOptions);
  started.OnEra(2, TimePoint(milliseconds(5)));
  started.OnNoRecord(TimePoint(milliseconds(6)));
  started.OnFormerHoldersStopped(std::nullopt, TimePoint(milliseconds(7)));
  CHECK(started.MayAcquire(TimePoint(milliseconds(8))));
}

// Guards against seconds without a rollout: nobody else can have the lease.
TEST_CASE("the holder stops in a new era and may take the lease again") {
  OrderLease holder("a", kOptions);
  holder.OnEra(1, At(0));
  holder.OnWritten(holder.RecordToAcquire(), 50, At(5000), At(5001));
  REQUIRE(holder.Holds(At(5100)));
  holder.OnEra(2, At(5100));
  CHECK_FALSE(holder.Holds(At(5100)));
  CHECK_FALSE(holder.expected_revision());
  holder.OnNoRecord(At(5101));
  CHECK(holder.MayAcquire(At(5101)));
  // Another host may have taken the lease over from one that had lost it.
  OrderLease former("a", kOptions);
  former.OnEra(1, At(0));
  former.OnWritten(former.RecordToAcquire(), 50, At(0), At(1));
  former.OnEra(2, At(5000));
  former.OnNoRecord(At(5001));
  CHECK_FALSE(former.MayAcquire(At(5002)));
}

// Guards against a lease of another host that stays unseen, because its
// revision was given out before.
TEST_CASE("a record of a new era is taken whatever its revision") {
  OrderLease lease("a", kOptions);
  lease.OnEra(1, At(0));
  lease.OnRecord(HeldBy("b", (uint64_t{1} << 32) + 1), 50, At(0));
  lease.OnEra(2, At(1000));
  lease.OnRecord(HeldBy("c", (uint64_t{2} << 32) + 1), 40, At(1001));
  CHECK(lease.record().holder == "c");
  CHECK(lease.expected_revision() == 40);
  CHECK_FALSE(lease.MayAcquire(At(1002)));
}

}  // namespace
}  // namespace jujuberock::rollout
