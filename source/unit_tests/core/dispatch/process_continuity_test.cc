#include "core/dispatch/process_continuity.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {

namespace {

using common::Duration;
using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kLag = seconds(3);

TimePoint At(int64_t ms) {
  return TimePoint() + seconds(100) + milliseconds(ms);
}

ProcessContinuity ConnectedAt(int64_t ms) {
  ProcessContinuity process;
  process.OnConnected(At(ms));
  return process;
}

}  // namespace

// Guards against a registration that is trusted after its process has ended.
TEST_CASE("an endpoint that refuses a connection is uncertain") {
  ProcessContinuity process = ConnectedAt(0);
  CHECK(process.IsCertain());
  process.OnClosed(At(1000), At(1000));
  process.OnConnectFailed(At(1001));
  CHECK_FALSE(process.IsCertain());
  CHECK(process.generation() == 1);
  process.OnConnectFailed(At(1200));
  process.OnConnected(At(1400));
  CHECK_FALSE(process.IsCertain());
  CHECK(process.generation() == 1);
}

// Guards against endpoints that get no streams because they close connections
// that are idle.
TEST_CASE("an endpoint that accepts the next connection at once is certain") {
  ProcessContinuity process = ConnectedAt(0);
  for (int64_t at = 1000; at < 9000; at += 1000) {
    process.OnClosed(At(at), At(at));
    process.OnConnected(At(at + 5));
  }
  CHECK(process.IsCertain());
  CHECK(process.generation() == 0);
}

// Guards against a process that is replaced while another one holds its port.
TEST_CASE("connections that close together make uncertain") {
  ProcessContinuity process = ConnectedAt(0);
  SECTION("the watched one first") {
    process.OnClosed(At(1000), At(1000));
    process.OnConnected(At(1001));
    process.OnResponseBroken(At(1005), At(1005));
    process.OnResponseBroken(At(1006), At(1006));
  }
  SECTION("the watched one first, and the response is judged later") {
    process.OnClosed(At(1000), At(1000));
    process.OnConnected(At(1001));
    process.OnResponseBroken(At(1005), At(1300));
  }
  SECTION("that of a response first") {
    process.OnResponseBroken(At(995), At(995));
    process.OnClosed(At(1000), At(1000));
    process.OnConnected(At(1001));
  }
  CHECK_FALSE(process.IsCertain());
  process.OnRegistrationRead(At(4310), At(0), kLag);
  CHECK(process.IsCertain());
}

// Guards against endpoints that get no streams because they break responses.
TEST_CASE("a broken response alone makes not uncertain") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnResponseBroken(At(1000), At(1000));
  process.OnClosed(At(1500), At(1500));
  process.OnConnected(At(1501));
  process.OnResponseBroken(At(2000), At(2000));
  CHECK(process.IsCertain());
}

// Guards against a process that is replaced while this host is suspended.
TEST_CASE("a connection whose end is noticed late makes uncertain") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnClosed(At(1000), At(3000));
  process.OnConnected(At(3001));
  CHECK_FALSE(process.IsCertain());
}

// Guards against a process that is replaced behind a cut of the network.
TEST_CASE("a silent connection makes uncertain") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnSilent(At(20'000));
  process.OnConnected(At(20'001));
  CHECK_FALSE(process.IsCertain());
}

// Guards against endpoints that get no streams any more after they were
// uncertain once, and against a registration that may be of a former process.
TEST_CASE("a registration that stays the same becomes certain") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnClosed(At(1000), At(1000));
  process.OnConnectFailed(At(1001));
  process.OnRegistrationRead(At(9000), At(0), kLag);
  CHECK_FALSE(process.IsCertain());
  process.OnConnected(At(10'000));
  process.OnRegistrationRead(At(12'999), At(0), kLag);
  CHECK_FALSE(process.IsCertain());
  SECTION("while one connection stays open") {
    process.OnRegistrationRead(At(13'000), At(0), kLag);
    CHECK(process.IsCertain());
  }
  SECTION("while connections follow each other without a gap") {
    process.OnClosed(At(12'000), At(12'000));
    process.OnConnected(At(12'010));
    process.OnRegistrationRead(At(13'000), At(0), kLag);
    CHECK(process.IsCertain());
  }
  SECTION("but not if the process has ended once more") {
    process.OnClosed(At(12'000), At(12'000));
    process.OnConnectFailed(At(12'001));
    process.OnConnected(At(12'500));
    process.OnRegistrationRead(At(13'000), At(0), kLag);
    CHECK_FALSE(process.IsCertain());
    CHECK(process.generation() == 2);
    process.OnRegistrationRead(At(15'500), At(0), kLag);
    CHECK(process.IsCertain());
  }
}

// Guards against a registration that is taken for current although no process
// could register while the store was away.
TEST_CASE("the time in which the store does not answer proves nothing") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnClosed(At(1000), At(1000));
  process.OnConnectFailed(At(1001));
  process.OnConnected(At(2000));
  process.OnRegistrationRead(At(20'000), At(19'000), kLag);
  CHECK_FALSE(process.IsCertain());
  process.OnRegistrationRead(At(22'000), At(19'000), kLag);
  CHECK(process.IsCertain());
}

// Guards against sound endpoints that are left out, and whole streams that are
// cut, because the endpoint resets new connections while it is full.
TEST_CASE("a connection that is closed at once says nothing") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnClosed(At(1000), At(1000));
  process.OnConnected(At(1001));
  process.OnClosed(At(1050), At(1050));
  process.OnConnected(At(1051));
  process.OnResponseBroken(At(1055), At(1055));
  CHECK(process.IsCertain());
  CHECK(process.RunsAfter(At(1060)) == true);
}

// Guards against endpoints that get no streams because they have too many
// connections to keep an idle one open.
TEST_CASE("an endpoint that can't be watched stays certain") {
  ProcessContinuity process = ConnectedAt(0);
  process.OnClosed(At(1000), At(1000));
  process.OnUnwatched();
  process.OnConnected(At(3000));
  CHECK(process.IsCertain());
}

// Guards against streams that are passed on as complete when their process has
// ended, and sound ones that are cut.
TEST_CASE("a process that closed a connection runs on or has ended") {
  const TimePoint closed_at = At(5000);
  ProcessContinuity process = ConnectedAt(0);
  SECTION("another connection stays open") {
    CHECK(process.RunsAfter(closed_at) == true);
  }
  SECTION("all connections are closed, and the port is still open") {
    process.OnClosed(At(4995), At(4995));
    process.OnConnected(At(4996));
    CHECK(process.RunsAfter(closed_at) == false);
  }
  SECTION("all connections are closed a little later") {
    process.OnClosed(At(5010), At(5010));
    process.OnConnected(At(5011));
    process.OnClosed(At(5200), At(5200));
    process.OnConnected(At(5201));
    CHECK(process.RunsAfter(closed_at) == false);
  }
  SECTION("the process ends some time later") {
    process.OnClosed(At(5200), At(5200));
    process.OnConnectFailed(At(5201));
    CHECK(process.RunsAfter(closed_at) == false);
  }
  SECTION("an idle connection is closed before and another one after it") {
    process.OnClosed(At(4000), At(4000));
    process.OnConnected(At(4001));
    process.OnClosed(At(5100), At(5100));
    process.OnConnected(At(5101));
    CHECK(process.RunsAfter(closed_at) == true);
  }
  SECTION("no connection was open before") {
    CHECK_FALSE(ProcessContinuity().RunsAfter(closed_at));
    CHECK_FALSE(ConnectedAt(4990).RunsAfter(closed_at));
  }
}

}  // namespace jujuberock::dispatch
