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

}  // namespace
}  // namespace jujuberock::rollout
