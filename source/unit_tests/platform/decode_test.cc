#include "platform/decode.h"

#include <catch2/catch.hpp>

#include "core/common/error.h"
#include "unit_tests/core/fuzz/mutation.h"

namespace jujuberock::platform_adapter {
namespace {

constexpr const char* kEndpoint =
    R"({"service":"s","address":"10.0.0.1:80","zone":"z","version":"v1",)"
    R"("slots":48,"state":"ready","coldLeftMs":0,"born":1700000000123,)"
    R"("models":[{"name":"m","version":1,"adapters":[]}],"sequence":4})";

constexpr const char* kConfig =
    R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/a/",)"
    R"("kind":"stream","timeoutMs":5000,"targetLatencyMs":600,"priority":1,)"
    R"("backends":[{"service":"s","weight":90},{"service":"t","weight":10}],)"
    R"("maxAttempts":2,"canResume":true,"gapAimMs":300}],"services":[)"
    R"({"name":"c","kvStoreAddr":"10.0.0.9:1","zone":"z","kvCapacity":9,)"
    R"("maxInflight":12,"managed":true},{"name":"s","healthPath":"/health",)"
    R"("maxConns":300,"engine":{"slots":48,"kvCapacity":100,)"
    R"("kvTokenBytes":8,"linkMbps":5.5,"models":[{"name":"m"}]}}],)"
    R"("limits":{"maxHeaderBytes":100,"maxBodyBytes":200,)"
    R"("headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
    R"("tenants":[{"name":"t","apiKeys":["k"],"priority":1,)"
    R"("isolated":true}]})";

catalog::StoredObject MakeObject(const std::string& content) {
  return {"i-1", 5, content};
}

std::string Replace(std::string text,
                    const std::string& from,
                    const std::string& to) {
  const size_t at = text.find(from);
  REQUIRE(at != std::string::npos);
  return text.replace(at, from.size(), to);
}

TEST_CASE("a configuration is decoded into typed fields") {
  const catalog::Config config = DecodeConfig(MakeObject(kConfig));
  CHECK(config.version == 7);
  REQUIRE(config.routes.size() == 1);
  const catalog::Route& route = config.routes[0];
  CHECK(route.kind == catalog::RouteKind::kStream);
  CHECK(route.timeout == std::chrono::seconds(5));
  CHECK(route.services.size() == 2);
  CHECK(route.max_attempts == 2);
  CHECK(route.can_resume);
  REQUIRE(config.services.size() == 2);
  CHECK(config.services[0].cache_store->max_event_calls == 12);
  CHECK(config.services[1].engine->kv_token_bytes == 8);
  CHECK(config.limits.body_bytes == 200);
  CHECK(config.teams[0].isolated);
  CHECK(config.teams[0].priority == 1);
}

TEST_CASE("cold times, cold rates and homes are decoded") {
  std::string text = Replace(kConfig, R"("healthPath":"/health",)",
                             R"("coldStartS":3.0,"coldPerS":7.9,)");
  text = Replace(text, R"("canResume":true,)",
                 R"("canResume":true,"allowedRegions":["a","b"],)");
  text = Replace(text, R"("isolated":true)",
                 R"("isolated":true,"allowedRegions":["b"])");
  const catalog::Config config = DecodeConfig(MakeObject(text));
  CHECK(config.services[1].cold_rate == 7.9);
  CHECK(config.services[1].cold_time == std::chrono::seconds(3));
  CHECK(config.services[0].cold_rate == 0);
  CHECK(config.routes[0].homes == std::vector<std::string>{"a", "b"});
  CHECK(config.teams[0].homes == std::vector<std::string>{"b"});
  const auto warm = DecodeEndpoint(MakeObject(kEndpoint));
  REQUIRE(warm);
  CHECK(warm->cold_left == common::Duration(0));
}

// Guards against an endpoint that a forged entry keeps cold for good, or whose
// time overflows.
TEST_CASE("odd cold times are cut, or cost only their entry") {
  const auto cold_left = [](const std::string& value) {
    return DecodeEndpoint(MakeObject(
        Replace(kEndpoint, R"("coldLeftMs":0)", R"("coldLeftMs":)" + value)));
  };
  CHECK(cold_left("-5")->cold_left == common::Duration(0));
  CHECK(cold_left("1e300")->cold_left == std::chrono::minutes(10));
  CHECK(cold_left("2500.5")->cold_left == std::chrono::microseconds(2500500));
  for (const char* value : {"null", "\"3000\"", "[]", "true"})
    CHECK_FALSE(cold_left(value));
  const auto absent =
      DecodeEndpoint(MakeObject(Replace(kEndpoint, R"("coldLeftMs":0,)", "")));
  REQUIRE(absent);
  CHECK_FALSE(absent->cold_left);
}

// Guards against a configuration that is lost for a cold rate that can't be
// read, and against requests that leave homes that can't be read.
TEST_CASE("an odd cold rate is no limit, odd homes reject the configuration") {
  for (const char* value : {"-3", "\"7\"", "null", "[]"}) {
    const auto config = DecodeConfig(
        MakeObject(Replace(kConfig, R"("healthPath":"/health",)",
                           R"("coldPerS":)" + std::string(value) + ",")));
    CHECK(config.services[1].cold_rate == 0);
  }
  for (const char* value : {"\"a\"", "[1]", "{}"})
    CHECK_THROWS_AS(DecodeConfig(MakeObject(Replace(
                        kConfig, R"("canResume":true,)",
                        R"("allowedRegions":)" + std::string(value) + ","))),
                    common::Error);
}

// Guards against retrying requests of a route kind that this version does not
// know.
TEST_CASE("an unknown route kind is treated as non-idempotent") {
  const auto config =
      DecodeConfig(MakeObject(Replace(kConfig, "\"stream\"", "\"new\"")));
  CHECK(config.routes[0].kind == catalog::RouteKind::kNonIdempotent);
}

TEST_CASE("an endpoint's entry is decoded") {
  const auto endpoint = DecodeEndpoint(MakeObject(kEndpoint));
  REQUIRE(endpoint);
  CHECK(endpoint->id == "i-1");
  CHECK(endpoint->started_at_ms == 1700000000123);
  CHECK(endpoint->slots == 48);
  CHECK_FALSE(endpoint->leaving);
  CHECK(endpoint->models[0].version == 1);
  const auto leaving = DecodeEndpoint(
      MakeObject(Replace(kEndpoint, "\"ready\"", "\"draining\"")));
  CHECK(leaving->leaving);
}

// Guards against sending requests to an address from a forged or truncated
// entry.
TEST_CASE("a forged or truncated endpoint entry is rejected") {
  struct Case {
    const char* from;
    const char* to;
  };
  const Case cases[] = {
      {"\"service\":\"s\",", ""},
      {"\"address\":\"10.0.0.1:80\",", ""},
      {"\"zone\":\"z\",", ""},
      {"\"10.0.0.1:80\"", "7"},
      {"48", "\"48\""},
      {"48", "-48"},
      {"48", "48.5"},
      {"48", "9223372036854775808"},
      {"48", "9223372036854775807"},
      {"48", "1e400"},
      {"1700000000123", "9223372036854775808"},
      {"1700000000123", "1e30"},
      {"\"version\":1,", "\"version\":-1,"},
      {"\"version\":1,", "\"version\":1.5,"},
      {"\"version\":1,", "\"version\":1e30,"},
      {"\"version\":1,", "\"version\":\"1\","},
      {"\"z\"", "\"\xff\""},
      {"\"z\"", "\"\\ud800\""},
      {"\"ready\"", "\"unknown\""},
      {"\"ready\"", "true"},
      {"1700000000123", "1700000000123.5"},
      {"1700000000123", "\"1700000000123\""},
      {"[{\"name\":\"m\"", "[{\"name\":5"},
      {"\"sequence\":4}", "\"sequence\":4"},
  };
  for (const Case& c : cases) {
    INFO(c.from << " -> " << c.to);
    CHECK_FALSE(DecodeEndpoint(MakeObject(Replace(kEndpoint, c.from, c.to))));
  }
  for (const char* content : {"", "null", "[]", "7", "\xff\xfe", "{"}) {
    INFO(content);
    CHECK_FALSE(DecodeEndpoint(MakeObject(content)));
  }
}

// Guards against requests that are lost on an address that nobody can be at,
// and against header fields and lines with bytes that were chosen by a writer.
TEST_CASE("an endpoint entry with an odd address or long text is rejected") {
  const std::string long_text(2000, 'x');
  for (const std::string& address :
       {std::string("127.0.0.1"), std::string("127.0.0.1:99999"),
        std::string("127.0.0.1:-1"), std::string("127.0.0.1:0"),
        std::string("127.0.0.1:"), std::string("127.0.0.1:80 "),
        std::string("host:80"), std::string("\\u0000:80"),
        std::string("127.0.0.1\\r\\nA: b:80"), long_text + ":80"}) {
    INFO(address);
    CHECK_FALSE(
        DecodeEndpoint(MakeObject(Replace(kEndpoint, "10.0.0.1:80", address))));
  }
  CHECK_FALSE(DecodeEndpoint(
      MakeObject(Replace(kEndpoint, "\"s\"", "\"" + long_text + "\""))));
  CHECK_FALSE(DecodeEndpoint(
      MakeObject(Replace(kEndpoint, "\"z\"", "\"" + long_text + "\""))));
  CHECK(DecodeEndpoint(MakeObject(Replace(kEndpoint, "10.0.0.1", "[::1]"))));
}

// Guards against a deep value, which copies of a parsed value follow on the
// stack, and against numbers whose conversion is undefined.
TEST_CASE("configurations with odd values are rejected") {
  const std::string deep = std::string(100000, '[') + std::string(100000, ']');
  const auto reject = [](const std::string& from, const std::string& to) {
    INFO(from << " -> " << to.substr(0, 40));
    CHECK_THROWS_AS(DecodeConfig(MakeObject(Replace(kConfig, from, to))),
                    common::Error);
  };
  reject("\"version\":7", "\"x\":" + deep + ",\"version\":7");
  for (const char* odd : {"-7", "7.5", "1e30", "1e400", "\"7\""})
    reject("\"version\":7", std::string("\"version\":") + odd);
  for (const char* odd : {"1e300", "-1e300", "1e400", "\"48\""}) {
    reject("\"slots\":48", std::string("\"slots\":") + odd);
    reject("\"maxConns\":300", std::string("\"maxConns\":") + odd);
    reject("\"maxBodyBytes\":200", std::string("\"maxBodyBytes\":") + odd);
  }
  reject("\"maxBodyBytes\":200", "\"maxBodyBytes\":-200");
  const auto config = DecodeConfig(MakeObject(
      Replace(kConfig, "\"timeoutMs\":5000", "\"timeoutMs\":1e300")));
  CHECK(config.routes[0].timeout > std::chrono::hours(24));
  CHECK_THROWS_AS(
      DecodeModelVersion(MakeObject(R"({"model":"m","version":1e30})")),
      common::Error);
}

TEST_CASE("mutated objects are decoded or rejected with common::Error") {
  common::Random random(20261204);
  for (int i = 0; i < 3000; ++i) {
    const auto endpoint = fuzz::Mutate(kEndpoint, random);
    CHECK_NOTHROW(DecodeEndpoint(MakeObject(endpoint)));
    try {
      DecodeConfig(MakeObject(fuzz::Mutate(kConfig, random)));
    } catch (const common::Error&) {
      // Rejecting a malformed object is correct.
    }
    try {
      DecodeModelVersion(
          MakeObject(fuzz::Mutate(R"({"model":"m","version":2})", random)));
    } catch (const common::Error&) {
      // Rejecting a malformed object is correct.
    }
  }
}

}  // namespace
}  // namespace jujuberock::platform_adapter
