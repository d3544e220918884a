#include "core/dispatch/resend_policy.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

namespace jujuberock::dispatch {
namespace {

using common::TimePoint;
using std::chrono::milliseconds;

constexpr uint64_t kSeed = 5;

TimePoint At(int ms) {
  return TimePoint(milliseconds(100000 + ms));
}

// A resumable stream that was sent once and whose endpoint works on it.
ResendRequest Stream() {
  ResendRequest request;
  request.service = "app";
  request.is_repeatable = true;
  request.has_started = true;
  request.has_event_id = true;
  request.sends = 1;
  request.runs = 1;
  request.max_attempts = 2;
  request.admission.target_latency = milliseconds(400);
  request.admission.elapsed = milliseconds(900);
  request.admission.remaining = milliseconds(4000);
  return request;
}

// Endpoints "e0", "e1" and so on of a plain service; the request was sent to
// "e0".
struct Endpoints {
  ServicePool pool{"z", 1, kSeed};
  RetryWindow retries;
  std::set<std::string> tried{"e0"};

  explicit Endpoints(int count, double allowed_retries = 10)
      : retries({.ratio = 0, .slack = allowed_retries / 0.85}) {
    this->retries.SetHostCount(1);
    std::vector<catalog::Endpoint> endpoints;
    for (int i = 0; i < count; ++i) {
      catalog::Endpoint endpoint;
      endpoint.id = "e" + std::to_string(i);
      endpoint.service = "app";
      endpoint.zone = "z";
      endpoint.slots = 4;
      endpoints.push_back(endpoint);
    }
    catalog::Service service;
    service.name = "app";
    this->pool.Update(service, endpoints);
  }

  EndpointRecord& Record(const std::string& id) { return *this->pool.Find(id); }

  // Returns the id of the reserved endpoint; empty if there is none.
  std::string Reserve(const ResendRequest& request, int ms = 0) {
    SendRequirements requirements;
    requirements.tried = &this->tried;
    const auto choice =
        ReserveResend(request, requirements, this->pool, this->retries, At(ms));
    return choice ? choice->endpoint->endpoint().id : "";
  }
};

// Guards against a dead endpoint that keeps its requests.
TEST_CASE("a request is moved to an endpoint that is ready") {
  Endpoints endpoints(2);
  CHECK(endpoints.Reserve(Stream()) == "e1");
}

// Guards against streams that are cut because the endpoint was silent for a
// moment and the request can't be sent again.
TEST_CASE("no endpoint is reserved for a request that may not be sent again") {
  Endpoints endpoints(2);
  ResendRequest request = Stream();
  SECTION("its events have no id") {
    request.has_event_id = false;
  }
  SECTION("it runs at most once") {
    request.is_repeatable = false;
  }
  SECTION("it has run as often as allowed") {
    request.runs = 2;
  }
  SECTION("its deadline is near") {
    request.admission.remaining = milliseconds(15);
  }
  CHECK(endpoints.Reserve(request).empty());
}

// Load pattern: many streams at an endpoint that falls silent, with a budget
// for few of them. Guards against cutting the others.
TEST_CASE("no more endpoints are reserved than the retry budget allows") {
  Endpoints endpoints(2, 3);
  int reserved = 0;
  for (int i = 0; i < 10; ++i)
    reserved += endpoints.Reserve(Stream()).empty() ? 0 : 1;
  CHECK(reserved == 3);
}

// Guards against a budget that is used up by requests that are not moved.
TEST_CASE("no retry is taken if no endpoint is ready") {
  Endpoints endpoints(2, 1);
  endpoints.Record("e1").MarkLeaving();
  CHECK(endpoints.Reserve(Stream()).empty());
  CHECK(endpoints.retries.TryRetry("app", At(0)));
}

// Guards against moving requests to endpoints that can't take them. All
// endpoints may be silent for the same reason.
TEST_CASE("only a ready endpoint is reserved") {
  Endpoints endpoints(2);
  EndpointRecord& other = endpoints.Record("e1");
  SECTION("it is ejected") {
    other.health().Eject(At(-100));
  }
  SECTION("it has refused its last request") {
    other.OnRefused(At(-500));
  }
  SECTION("it is full") {
    other.paused_until = At(10);
  }
  SECTION("it has asked for a pause") {
    other.backoff_until = At(10);
  }
  SECTION("it is leaving") {
    other.MarkLeaving();
  }
  CHECK(endpoints.Reserve(Stream()).empty());
}

TEST_CASE("an endpoint is ready again once it accepts requests") {
  Endpoints endpoints(2);
  EndpointRecord& other = endpoints.Record("e1");
  other.OnRefused(At(-500));
  CHECK(endpoints.Reserve(Stream()).empty());
  SECTION("it accepts one") {
    other.OnAccepted();
    CHECK(endpoints.Reserve(Stream()) == "e1");
  }
  SECTION("nothing is sent to it for a while") {
    CHECK(endpoints.Reserve(Stream(), 600) == "e1");
  }
}

// Guards against a request that this host has moved to an endpoint that then
// refused it, and that is cut although others could run it.
TEST_CASE("refusals count as attempts only while nothing may have run") {
  ResendRequest request = Stream();
  request.sends = 2;
  request.runs = 1;
  CHECK_FALSE(CheckResend(request));
  request.runs = 0;
  CHECK(CheckResend(request) == GiveUpReason::kAttempts);
}

// Load pattern: a third of the engines crash and come back under other ids, and
// their addresses answer for the new ones. Guards against refusing a request
// whose route allows one run, while most endpoints could take it.
TEST_CASE("a send that another process turned away is no attempt") {
  ResendRequest request = Stream();
  request.is_repeatable = false;
  request.has_started = false;
  request.max_attempts = 1;
  request.runs = 0;
  request.sends = 1;
  CHECK(CheckResend(request) == GiveUpReason::kAttempts);
  request.misdirected_sends = 1;
  CHECK_FALSE(CheckResend(request));
  // It still takes a retry from the budget.
  RetryWindow empty({.ratio = 0, .slack = 0});
  CHECK_FALSE(TakeRetry(request, empty, At(0)));
}

// Guards against refusals after three connections that were refused within a
// few milliseconds, and against a request that spends its time on timeouts.
TEST_CASE("quick failures are limited less than connect timeouts") {
  ResendRequest request = Stream();
  request.quick_failures = 3;
  CHECK_FALSE(CheckResend(request));
  request.slow_connects = 3;
  CHECK(CheckResend(request) == GiveUpReason::kConnects);
  request.slow_connects = 0;
  request.quick_failures = 12;
  CHECK(CheckResend(request) == GiveUpReason::kConnects);
}

// Guards against two retries for one send, when a connection has failed before
// anything was sent.
TEST_CASE("a retry that was not used is kept for the next send") {
  RetryWindow retries({.ratio = 0, .slack = 1 / 0.85});
  retries.SetHostCount(1);
  ResendRequest request = Stream();
  CHECK(TakeRetry(request, retries, At(0)));
  CHECK_FALSE(TakeRetry(request, retries, At(0)));
  request.holds_retry = true;
  CHECK(TakeRetry(request, retries, At(0)));
}

}  // namespace
}  // namespace jujuberock::dispatch
