#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "core/common/metrics.h"
#include "core/platform/client.h"
#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "standin/plain_service_standin.h"
#include "standin/platform_standin.h"

namespace jujuberock::standin {
namespace {

using platform::WriteState;
using std::chrono::milliseconds;

const runtime::Address kAnyPort{"127.0.0.1", 0};

// The platform stand-in, accessed through the production platform client.
struct Fixture {
  Fixture()
      : standin(LimitedWrites()),
        server(
            this->pool,
            kAnyPort,
            {},
            [this](const auto& request, auto& writer) {
              this->standin.Handle(request, writer);
            },
            runtime::RenderPlainError),
        http(this->pool, {}),
        client(this->http, this->server.address(), this->counters) {}

  static PlatformOptions LimitedWrites() {
    PlatformOptions options;
    options.writes_per_s = 5;
    options.delay = milliseconds(0);
    return options;
  }

  void SetFault(const std::string& fault) {
    this->http.Fetch(this->server.address(),
                     {"POST", "/control/faults", {}, fault});
  }

  runtime::WorkerPool pool{1};
  PlatformStandin standin;
  runtime::HttpServer server;
  runtime::HttpClient http;
  common::MetricRegistry counters;
  platform::Client client;
};

TEST_CASE("a write whose response is lost can be identified by its token") {
  Fixture f;
  f.pool.Run([&] {
    f.SetFault(R"({"lose_answers": 1})");
    REQUIRE(f.client.Write("team", "a", 0, "{}", "mine").state ==
            WriteState::kUnknown);
    REQUIRE(f.client.Read("team", "a")->token == "mine");
    const auto again = f.client.Write("team", "a", 0, "{}", "other");
    REQUIRE(again.state == WriteState::kConflict);
    REQUIRE(again.current->token == "mine");
  });
}

TEST_CASE("writes above the rate limit or in an outage have no effect") {
  Fixture f;
  f.pool.Run([&] {
    int written = 0;
    for (int i = 0; i < 8; ++i) {
      const auto result =
          f.client.Write("team", "t" + std::to_string(i), 0, "{}", "x");
      written += result.state == WriteState::kWritten ? 1 : 0;
    }
    REQUIRE(written >= 5);
    REQUIRE(written < 8);
    REQUIRE(f.client.List("team").objects.size() ==
            static_cast<size_t>(written));
    f.SetFault(R"({"outage_ms": 60000})");
    REQUIRE(f.client.Write("team", "z", 0, "{}", "x").state ==
            WriteState::kRejected);
    REQUIRE_THROWS_AS(f.client.List("team"), common::Error);
  });
}

TEST_CASE("a watch delivers changes in order, with tombstones") {
  Fixture f;
  f.pool.Run([&] {
    f.client.Write("team", "a", 0, R"({"x": 1})", "t");
    runtime::SpawnLocal([&] {
      runtime::SleepFor(milliseconds(10));
      f.client.Delete("team", "a", 1);
    });
    std::string events;
    f.client.Watch("team", 0, std::chrono::seconds(5),
                   [&](const platform::Object& object) {
                     events += object.name + std::to_string(object.version) +
                               (object.deleted ? "- " : "+ ");
                     return !object.deleted;
                   });
    REQUIRE(events == "a1+ a2- ");
  });
}

// Guards against a writer whose token claims a later era: no later write of the
// object would count as newer.
TEST_CASE("a token can not claim an era that the store has not reached") {
  Fixture f;
  f.pool.Run([&] {
    for (const char* era : {"7", "18446744073709551615"}) {
      const auto old = f.client.Read("team", "a");
      const std::string body =
          R"({"token":"era-)" + std::string(era) + R"(:x","body":{}})";
      f.http.Fetch(
          f.server.address(),
          {"PUT",
           "/objects/team/a",
           {{"If-Version",
             std::to_string(old ? platform::RevisionOf(old->version) : 0)}},
           body});
      const auto forged = f.client.Read("team", "a");
      REQUIRE(forged);
      CHECK(platform::EraOf(forged->version) == 0);
      CHECK(f.client.List("team").objects.at(0).version == forged->version);
      const auto written =
          f.client.Write("team", "a", forged->version, "{}", "t");
      REQUIRE(written.state == WriteState::kWritten);
      CHECK(written.version > forged->version);
      CHECK(f.client.Read("team", "a")->version == written.version);
    }
  });
}

// Guards against a watch that ends at a line that is not JSON, so that no later
// change arrives.
TEST_CASE("a watch goes on behind a malformed line") {
  Fixture f;
  f.pool.Run([&] {
    platform::WriteResult written;
    for (const char* body : {"[", "1}", "\"x"}) {
      f.http.Fetch(f.server.address(),
                   {"PUT", "/control/objects/team/odd", {}, body});
      written = f.client.Write("team", "a", written.version, "{}", "t");
      REQUIRE(written.state == WriteState::kWritten);
      std::string last;
      f.client.Watch("team", 0, milliseconds(200),
                     [&](const platform::Object& object) {
                       last = object.name;
                       return object.version < written.version;
                     });
      REQUIRE(last == "a");
    }
  });
  CHECK(f.counters
            .GetCounter("platform_malformed_entries_total", {{"kind", "team"}})
            .value() == 3);
}

// Guards against taking an older object for a newer one, or a new one for an
// older one, after the store came back from a copy: its revisions go back and
// are given out again.
TEST_CASE("versions grow though the store comes back from a copy") {
  Fixture f;
  f.pool.Run([&] {
    f.client.Write("team", "a", 0, R"({"x": 1})", "t1");
    const platform::Object copied = *f.client.Read("team", "a");
    f.SetFault(R"({"copy": true})");
    const auto lost =
        f.client.Write("team", "a", copied.version, R"({"x": 2})", "t2");
    const auto lost_list = f.client.List("team");
    f.SetFault(R"({"restore": true})");

    CHECK(f.client.Read("team", "a")->version == copied.version);
    CHECK(f.client.List("team").version > lost_list.version);
    CHECK(f.client.era() == 1);
    const auto again =
        f.client.Write("team", "a", copied.version, R"({"x": 3})", "t3");
    REQUIRE(again.state == WriteState::kWritten);
    CHECK(again.version > lost.version);
    // The same revision.
    CHECK(platform::RevisionOf(again.version) ==
          platform::RevisionOf(lost.version));
    const platform::Object found = *f.client.Read("team", "a");
    CHECK(found.version == again.version);
    CHECK(found.token == "t3");
    CHECK(f.client.List("team").objects.at(0).version == again.version);

    const auto late = f.client.Write("team", "a", lost.version, "{}", "t4");
    CHECK(late.state == WriteState::kConflict);
    REQUIRE(late.current);
    CHECK(late.current->version == again.version);
    CHECK(f.client.Delete("team", "a", lost.version).state ==
          WriteState::kConflict);
  });
}

// Guards against a watch that goes on from a revision of the former era, which
// the store accepts once new changes have passed it.
TEST_CASE("a watch ends when the store comes back from a copy") {
  Fixture f;
  f.pool.Run([&] {
    f.client.Write("team", "a", 0, "{}", "t1");
    f.SetFault(R"({"copy": true})");
    f.client.Write("team", "b", 0, "{}", "t2");
    const auto version = f.client.List("team").version;
    std::vector<platform::WatchEnd> ends;
    const auto watch = [&] {
      ends.push_back(f.client.Watch(
          "team", version, std::chrono::seconds(5),
          [](const auto&) { return true; }, std::chrono::seconds(2)));
    };
    runtime::SpawnLocal([&] {
      runtime::SleepFor(milliseconds(10));
      f.SetFault(R"({"restore": true})");
    });
    watch();
    f.client.Write("team", "c", 0, "{}", "t3");
    f.client.Write("team", "d", 0, "{}", "t4");
    watch();
    CHECK(ends == std::vector{platform::WatchEnd::kEnded,
                              platform::WatchEnd::kRestored});
    std::string changes;
    f.client.Watch("team", f.client.List("team").version - 1,
                   std::chrono::seconds(5), [&](const auto& object) {
                     changes += object.name;
                     return platform::EraOf(object.version) != 1;
                   });
    CHECK(changes == "d");
  });
}

// Guards against a plain service that hides duplicate executions, so that tests
// could not detect them.
TEST_CASE("the plain service counts every execution of a key") {
  runtime::WorkerPool pool(1);
  PlainServiceStandin service({});
  runtime::HttpServer server(
      pool, kAnyPort, {},
      [&](const auto& request, auto& writer) {
        service.Handle(request, writer);
      },
      runtime::RenderPlainError);
  pool.Run([&] {
    runtime::HttpClient http(pool, {});
    runtime::HttpRequest call{"POST", "/pay", {}, "{}"};
    call.headers.Add("Idempotency-Key", "k");
    call.headers.Add("Jujuberock-Team", "a");
    REQUIRE(http.Fetch(server.address(), call).status == 200);
    http.Fetch(server.address(),
               {"POST", "/control/faults", {}, R"({"lose_answers": 1})"});
    REQUIRE_THROWS_AS(http.Fetch(server.address(), call), runtime::HttpError);
    const auto counts =
        http.Fetch(server.address(), {"GET", "/control/executions", {}, ""});
    REQUIRE(counts.body == R"({"a/k":2})");
    REQUIRE(http.Fetch(server.address(), {"GET", "/status/k", {}, ""}).status ==
            400);
  });
}

}  // namespace
}  // namespace jujuberock::standin
