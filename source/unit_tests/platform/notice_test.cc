#include "platform/notice.h"

#include <catch2/catch.hpp>

namespace jujuberock::platform_adapter {
namespace {

using std::chrono::milliseconds;

TEST_CASE("any response can say that its endpoint is leaving") {
  for (const int status : {200, 404, 500, 503}) {
    INFO(status);
    CHECK(DecodeNotice(status, {{"Server-Leaving", "1"}}).is_leaving);
    CHECK_FALSE(DecodeNotice(status, {{"Server-Leaving", "0"}}).is_leaving);
    CHECK(DecodeNotice(status, {}).IsEmpty());
  }
}

// Guards against giving up an endpoint whose address another one has taken
// over.
TEST_CASE("a response of another endpoint says nothing") {
  CHECK(DecodeNotice(421, {{"Server-Leaving", "1"}, {"Retry-After", "2"}})
            .IsEmpty());
}

TEST_CASE("a pause is read from a 503 only, and only from seconds") {
  CHECK(*DecodeNotice(503, {{"Retry-After", "2"}}).retry_after ==
        milliseconds(2000));
  CHECK(*DecodeNotice(503, {{"Retry-After", "0.25"}}).retry_after ==
        milliseconds(250));
  CHECK(*DecodeNotice(503, {{"Retry-After", "1e300"}}).retry_after ==
        std::chrono::hours(24));
  CHECK_FALSE(DecodeNotice(200, {{"Retry-After", "2"}}).retry_after);
  for (const char* text : {"", "-1", "nan", "inf", "2s", "soon",
                           "Fri, 04 Dec 2026 10:00:00 GMT"}) {
    INFO(text);
    CHECK_FALSE(DecodeNotice(503, {{"Retry-After", text}}).retry_after);
  }
}

TEST_CASE("any response can say that its endpoint is brittle") {
  for (const int status : {200, 404, 500, 503}) {
    INFO(status);
    CHECK(DecodeNotice(status, {{"Server-Brittle", "12"}}).brittle_limit == 12);
    CHECK_FALSE(DecodeNotice(status, {}).brittle_limit);
  }
  const auto other = DecodeNotice(421, {{"Server-Brittle", "12"}});
  CHECK_FALSE(other.brittle_limit);
  CHECK(other.is_of_other);
}

// Guards against sending more to an endpoint that says that it is brittle in a
// form that can't be read.
TEST_CASE("an unreadable limit counts as the lowest one") {
  for (const char* text :
       {"", "-1", "-99999999999999999999", "soon", "3x", "2.5", " 4", "0"}) {
    INFO(text);
    CHECK(DecodeNotice(200, {{"Server-Brittle", text}}).brittle_limit == 0);
  }
  CHECK(DecodeNotice(200, {{"Server-Brittle", "99999999999999999999"}})
            .brittle_limit == 1'000'000);
}

}  // namespace
}  // namespace jujuberock::platform_adapter
