#include "core/table_cli/commands.h"

#include <catch2/catch.hpp>
#include <map>
#include <sstream>
#include <string>

#include "core/common/metrics.h"
#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/table_cli/bands.h"
#include "standin/platform_standin.h"

namespace jujuberock::table_cli {
namespace {

using common::ResultCode;
using std::chrono::hours;

std::string TeamBody(int weight) {
  return R"({"keys":[],"bands":[{"from":"00:00","to":"24:00","weight":)" +
         std::to_string(weight) + R"(,"max_running":8,"patience_ms":500}]})";
}

struct Fixture {
  ResultCode Run(const std::string& writer,
                 std::vector<std::string> arguments) {
    this->out.str("");
    ResultCode code = ResultCode::kOk;
    this->pool.Run([&] {
      Commands commands(
          this->client, {writer, common::UnixTime(hours(1)), ++this->random},
          [this](const std::string& path) { return this->files.at(path); },
          this->out);
      code = commands.Run(arguments);
    });
    return code;
  }
  bool Printed(const std::string& text) const {
    return this->out.str().find(text) != std::string::npos;
  }

  runtime::WorkerPool pool{1};
  standin::PlatformStandin standin{{}};
  runtime::HttpServer server{pool,
                             {"127.0.0.1", 0},
                             {},
                             [this](const auto& request, auto& writer) {
                               this->standin.Handle(request, writer);
                             },
                             runtime::RenderPlainError};
  runtime::HttpClient http{pool, {}};
  common::MetricRegistry counters;
  platform::Client client{http, server.address(), counters};
  std::map<std::string, std::string> files;
  std::ostringstream out;
  uint64_t random = 0;
};

TEST_CASE("a conflicting edit prints both values") {
  Fixture f;
  f.files = {
      {"one", TeamBody(1)}, {"two", TeamBody(2)}, {"three", TeamBody(3)}};
  CHECK(f.Run("ana", {"set", "team", "a", "one"}) == ResultCode::kOk);
  CHECK(f.Run("ana", {"set", "team", "a", "--version", "1", "two"}) ==
        ResultCode::kOk);
  CHECK(f.Run("bo", {"set", "team", "a", "--version", "1", "three"}) ==
        ResultCode::kPlatformConflict);
  CHECK(f.Printed("version 2 by 1970-01-01T01:00:00Z ana came first"));
  CHECK(f.Printed("/bands/0/weight: yours 3, in force 2"));
  f.Run("bo", {"get", "team", "a"});
  CHECK(f.Printed("version 2"));
  CHECK(f.Printed("\"weight\": 2"));
}

// After a lost response the writer must not report its own change as a
// conflict.
TEST_CASE("a lost response is resolved by reading back") {
  Fixture f;
  f.files = {{"one", TeamBody(1)}};
  f.pool.Run([&] {
    f.http.Fetch(f.server.address(),
                 {"POST", "/control/faults", {}, R"({"lose_answers": 1})"});
  });
  CHECK(f.Run("ana", {"set", "team", "a", "one"}) == ResultCode::kOk);
  CHECK(f.Printed("accepted as version 1"));
}

TEST_CASE("invalid input is rejected before the write") {
  Fixture f;
  f.files = {{"bad", R"({"keys":[],"bands":[]})"}, {"text", "{"}};
  CHECK_THROWS_WITH(f.Run("ana", {"set", "team", "a", "bad"}),
                    Catch::Contains("no band covers"));
  CHECK_THROWS(f.Run("ana", {"set", "team", "a", "text"}));
  CHECK_THROWS(f.Run("ana", {"set", "paper", "a", "bad"}));
  CHECK_THROWS(f.Run("ana", {"set", "team", "a", "--version", "x", "bad"}));
  CHECK_THROWS(f.Run("ana", {"paint"}));
  CHECK_THROWS(f.Run("ana", {}));
  CHECK_THROWS_WITH(f.Run("ana", {"get", "team", "a"}),
                    Catch::Contains("does not exist"));
}

// Guards against an odd object that keeps operators from seeing the others, or
// from replacing it.
TEST_CASE("an object that can not be parsed does not hide others") {
  Fixture f;
  f.files = {{"one", TeamBody(1)}};
  f.Run("ana", {"set", "team", "z", "one"});
  const std::string deep =
      std::string(100'000, '[') + std::string(100'000, ']');
  for (const std::string& body :
       {deep, R"({"bands":[{"from":"00:00","to":"24:00","x":)" + deep + "}]}",
        std::string("1e400"), std::string("\"\xff\"")}) {
    INFO(body.substr(0, 60));
    f.pool.Run([&] {
      f.http.Fetch(f.server.address(),
                   {"PUT", "/control/objects/team/odd", {}, body});
    });
    CHECK(f.Run("ana", {"get", "team"}) == ResultCode::kOk);
    CHECK(f.Printed("team/odd"));
    CHECK(f.Printed("\"weight\": 1"));
    CHECK(f.Run("ana", {"diff", "team", "odd", "one"}) == ResultCode::kOk);
    CHECK(f.Run("ana", {"history"}) == ResultCode::kOk);
    CHECK_THROWS(
        f.Run("ana", {"set", "team", "odd", "06:00-09:00", "weight=4"}));
    CHECK(f.Run("ana", {"set", "team", "odd", "--version", "1", "one"}) ==
          ResultCode::kPlatformConflict);
    CHECK(f.Run("ana", {"set", "team", "odd", "one"}) == ResultCode::kOk);
  }
}

TEST_CASE("editing a time range keeps the whole day covered") {
  Fixture f;
  f.files = {{"one", TeamBody(1)}};
  f.Run("ana", {"set", "team", "a", "one"});
  CHECK(f.Run("ana", {"set", "team", "a", "06:00-09:00", "weight=4"}) ==
        ResultCode::kOk);
  f.Run("ana", {"diff", "team", "a", "one"});
  CHECK(f.Printed("/bands/1/weight: 4 -> (absent)"));
  CHECK_THROWS(f.Run("ana", {"set", "team", "a", "06:00-09:00", "weight=-1"}));
  CHECK_THROWS(f.Run("ana", {"set", "team", "a", "09:00-06:00", "weight=1"}));
  CHECK_THROWS(f.Run("ana", {"set", "team", "a", "06:00-09:00", "weight=a"}));
  f.Run("ana", {"set", "team", "a", "06:00-09:00", "weight=1"});
  f.Run("ana", {"diff", "team", "a", "one"});
  CHECK(f.Printed("no difference"));
}

TEST_CASE(
    "history shows the last writer of each object, and delete removes it") {
  Fixture f;
  f.files = {{"one", TeamBody(1)}};
  f.Run("ana", {"set", "team", "a", "one"});
  f.Run("bo", {"set", "team", "b", "one"});
  f.Run("ana", {"history", "team"});
  CHECK(f.out.str() ==
        "2 team/b 1970-01-01T01:00:00Z bo\n"
        "1 team/a 1970-01-01T01:00:00Z ana\n");
  CHECK(f.Run("ana", {"set", "team", "a", "--delete"}) == ResultCode::kOk);
  CHECK_THROWS(f.Run("ana", {"get", "team", "a"}));
}

}  // namespace
}  // namespace jujuberock::table_cli
