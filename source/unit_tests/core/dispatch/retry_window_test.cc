#include "core/dispatch/retry_window.h"

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;
using std::chrono::seconds;

TimePoint At(int ms) {
  return TimePoint(seconds(1000) + milliseconds(ms));
}

int TakeAll(RetryWindow& window, TimePoint now) {
  int taken = 0;
  while (taken < 1000 && window.TryRetry("s", now))
    ++taken;
  return taken;
}

// Guards against retries that multiply the load of a failing service: over all
// hosts together they must stay below ratio times requests plus slack.
TEST_CASE("retries of all hosts stay within the limit") {
  constexpr int kHosts = 4;
  constexpr int kRequests = 400;
  int retries = 0;
  for (int host = 0; host < kHosts; ++host) {
    RetryWindow window({0.2, 54, seconds(10)});
    window.SetHostCount(kHosts);
    for (int i = 0; i < kRequests; ++i)
      window.OnRequest("s", At(i * 20));
    retries += TakeAll(window, At(8000));
  }
  CHECK(retries <= 0.2 * kHosts * kRequests + 54);
  CHECK(retries > 200);
}

// Guards against counting a request twice for the budget: at the host that has
// received it and at the one that serves it.
TEST_CASE("a request that another host serves allows no retries here") {
  RetryWindow window({0.2, 0, seconds(10)});
  window.SetHostCount(1);
  for (int i = 0; i < 100; ++i) {
    window.OnRequest("s", At(i));
    window.OnPassedOn("s", At(i));
  }
  CHECK(TakeAll(window, At(200)) == 0);
  window.OnPassedOn("s", At(300));
  CHECK(TakeAll(window, At(400)) == 0);
}

TEST_CASE("the budget is restored when the window has advanced") {
  RetryWindow window({0, 40, seconds(10)});
  window.SetHostCount(1);
  const int first = TakeAll(window, At(0));
  CHECK(first > 0);
  CHECK(TakeAll(window, At(9000)) == 0);
  CHECK(TakeAll(window, At(10600)) == first);
}

TEST_CASE("each service has its own budget") {
  RetryWindow window({0, 8, seconds(10)});
  window.SetHostCount(1);
  TakeAll(window, At(0));
  CHECK(window.TryRetry("other", At(0)));
}

}  // namespace
}  // namespace jujuberock::dispatch
