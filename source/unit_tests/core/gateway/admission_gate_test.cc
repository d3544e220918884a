#include "core/gateway/admission_gate.h"

#include <string>
#include <vector>

#include <boost/fiber/operations.hpp>
#include <catch2/catch.hpp>

#include "core/runtime/worker_pool.h"

namespace jujuberock::gateway {
namespace {

using common::TimePoint;
using std::chrono::seconds;

constexpr common::Duration kLong = seconds(60);

// Requests that wait for free places. One that may use a place takes it, the
// others go on waiting.
struct Waiters {
  runtime::WorkerPool pool{1};
  AdmissionGate gate{[] { return TimePoint(seconds(100)); }};
  std::vector<std::string> sent;
  int tries = 0;
  int free = 0;
  bool stopped = false;

  void Start(const std::string& name, int urgency, bool may_use_place = true) {
    runtime::SpawnLocal([this, name, urgency, may_use_place] {
      dispatch::WaitingRequest request;
      request.urgency = urgency;
      AdmissionGate::Waiter waiter(this->gate, request);
      while (!this->stopped) {
        waiter.Wait(true, kLong);
        ++this->tries;
        if (!may_use_place || this->free == 0)
          continue;
        --this->free;
        this->sent.push_back(name);
        return;
      }
    });
  }
  // Lets all fibers run until they wait.
  static void Settle() {
    for (int i = 0; i < 50; ++i)
      boost::this_fiber::yield();
  }
  void Free(int places) {
    this->free = places;
    this->tries = 0;
    this->gate.OnRoomFreed();
    Settle();
  }
  void Stop() {
    this->stopped = true;
    while (this->gate.waiting() > 0) {
      this->gate.OnRoomFreed();
      Settle();
    }
  }
};

// Load pattern: a crowd waits for room, and a send ends. Guards against waking
// all requests for one place, and against giving it to who waits longest.
TEST_CASE("a place that is freed goes to the first in order, without a herd") {
  Waiters w;
  w.pool.Run([&w] {
    for (int i = 0; i < 40; ++i)
      w.Start("other", 5);
    w.Start("urgent", 0);
    Waiters::Settle();
    w.Free(1);
    CHECK(w.sent == std::vector<std::string>{"urgent"});
    // The one that was sent, and the next few, which found no place.
    CHECK(w.tries <= 6);
    w.Free(2);
    CHECK(w.sent == std::vector<std::string>{"urgent", "other", "other"});
    w.Stop();
  });
}

// Guards against places that stay free because the first request needs an
// endpoint of another kind.
TEST_CASE("a request that can't use the place passes it on") {
  Waiters w;
  w.pool.Run([&w] {
    w.Start("bound", 0, false);
    w.Start("next", 3);
    w.Start("last", 5);
    Waiters::Settle();
    w.Free(1);
    CHECK(w.sent == std::vector<std::string>{"next"});
    w.Free(1);
    CHECK(w.sent == std::vector<std::string>{"next", "last"});
    w.Stop();
  });
}

}  // namespace
}  // namespace jujuberock::gateway
