#include "platform/codec.h"

#include <catch2/catch.hpp>
#include <set>

namespace jujuberock::platform_adapter {
namespace {

runtime::HttpRequest CallerRequest(runtime::HttpHeaders headers) {
  runtime::HttpRequest request;
  request.method = "POST";
  request.target = "/a/b?c=d";
  request.headers = std::move(headers);
  request.body = "body";
  return request;
}

std::multiset<std::string> FieldNames(const runtime::HttpHeaders& headers) {
  std::multiset<std::string> names;
  for (const auto& field : headers.all())
    names.insert(field.name);
  return names;
}

TEST_CASE("a request is decoded into typed fields") {
  const PlatformCodec codec;
  const auto request = codec.DecodeRequest(
      CallerRequest({{"Host", "h.example"},
                     {"X-Attempt-Id", "id1"},
                     {"X-Key", "secret"},
                     {"X-Deadline-Remaining", "1500"},
                     {"X-Model", "m"},
                     {"X-Token-Count", "1460,80"},
                     {"X-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                     {"Last-Event-Id", "12"}}));
  CHECK(request.host == "h.example");
  CHECK(request.attempt_id == "id1");
  CHECK(request.key == "secret");
  CHECK(*request.remaining == std::chrono::milliseconds(1500));
  CHECK(*request.last_event_id == "12");
  REQUIRE(request.prompt);
  CHECK(request.prompt->prompt_tokens == 1460);
  CHECK(request.prompt->max_output_tokens == 80);
  REQUIRE(request.prompt->parts.size() == 3);
  CHECK(request.prompt->parts[1].id == "91");
  CHECK(request.prompt->parts[1].tokens == 410);
}

// Guards against callers that forge header fields reserved to the system, and
// against forwarding a caller's API key to an endpoint.
TEST_CASE("reserved and hop-by-hop fields of a caller are not forwarded") {
  const PlatformCodec codec;
  const char* names[] = {"X-Key",
                         "X-Tenant",
                         "x-tenant",
                         "X-Hold",
                         "X-Pin-Duration",
                         "X-Kv-Backup",
                         "Kv-From",
                         "X-Kv-Source",
                         "X-Kv-Target",
                         "X-Kv-Until",
                         "X-Cache-Salt",
                         "X-Request-Urgency",
                         "X-Expect-Version",
                         "X-Expect-Instance",
                         "X-Not-Executed",
                         "X-Server-Stamp",
                         "Transfer-Encoding",
                         "Content-Length",
                         "Keep-Alive",
                         "Upgrade"};
  for (const char* name : names) {
    INFO(name);
    const auto request =
        codec.DecodeRequest(CallerRequest({{"Host", "h"}, {name, "forged"}}));
    CHECK(FieldNames(request.forwarded_headers) ==
          std::multiset<std::string>{"Host"});
  }
}

// Guards against a Connection field that strips fields which endpoints must
// receive unchanged.
TEST_CASE("fields listed in Connection are stripped, except protected ones") {
  const PlatformCodec codec;
  const auto request = codec.DecodeRequest(
      CallerRequest({{"Host", "h"},
                     {"Connection", "X-Own, X-Attempt-Id, X-Model, Host"},
                     {"X-Own", "1"},
                     {"X-Attempt-Id", "id"},
                     {"X-Model", "m"}}));
  CHECK(FieldNames(request.forwarded_headers) ==
        std::multiset<std::string>{"Host", "X-Attempt-Id", "X-Model"});
}

TEST_CASE("a send carries the header fields that the system sets") {
  const PlatformCodec codec;
  const auto request = codec.DecodeRequest(
      CallerRequest({{"Host", "h"}, {"X-Key", "k"}, {"Last-Event-Id", "3"}}));
  forward::SendParameters parameters;
  parameters.endpoint_id = "i-1";
  parameters.remaining = std::chrono::milliseconds(1234);
  parameters.team = "t";
  parameters.urgency = 2;
  parameters.cache_salt = "v1/shared";
  parameters.expected_version = 1;
  parameters.last_event_id = "9";
  parameters.cache_sources = {"10.0.0.1:1", ""};
  parameters.cache_targets = {"", ""};
  parameters.cache_until_ms = 77;
  const auto headers = codec.EncodeRequestHeaders(request, parameters);
  CHECK(headers.Find("X-Expect-Instance") == "i-1");
  CHECK(headers.Find("X-Deadline-Remaining") == "1234");
  CHECK(headers.Find("X-Tenant") == "t");
  CHECK(headers.Find("X-Request-Urgency") == "2");
  CHECK(headers.Find("X-Cache-Salt") == "v1/shared");
  CHECK(headers.Find("X-Expect-Version") == "1");
  CHECK(headers.Find("Last-Event-Id") == "9");
  CHECK(headers.Find("X-Kv-Source") == "10.0.0.1:1,-");
  CHECK_FALSE(headers.Find("X-Kv-Target"));
  CHECK_FALSE(headers.Find("X-Key"));
}

TEST_CASE("the header fields of a response are decoded") {
  const PlatformCodec codec;
  const auto head =
      codec.DecodeResponseHead(200, {{"X-Attempt-Id", "id"},
                                     {"X-Server-Stamp", "s"},
                                     {"X-Server-Load", "3, 1,8"},
                                     {"X-Weight-Versions", "4"},
                                     {"Keep-Alive", "timeout=10, max=3"},
                                     {"Connection", "close"}});
  CHECK(*head.attempt_id == "id");
  CHECK(head.is_signed);
  CHECK(head.load->running == 3);
  CHECK(head.load->waiting == 1);
  CHECK(*head.weight_version == 4);
  CHECK(*head.keep_alive == std::chrono::seconds(7));
  CHECK(head.closes_connection);
  CHECK_FALSE(head.not_run);
  CHECK(codec.DecodeResponseHead(503, {{"X-Not-Executed", "1"}}).not_run);
  CHECK(codec.DecodeResponseHead(421, {}).not_run);
  CHECK_FALSE(codec.DecodeResponseHead(503, {}).not_run);
}

// Guards against taking a response for a signed one whose signature is not
// passed on.
TEST_CASE("a response is signed if its signature is passed on") {
  const PlatformCodec codec;
  CHECK_FALSE(codec.DecodeResponseHead(200, {}).is_signed);
  CHECK_FALSE(
      codec.DecodeResponseHead(200, {{"X-Server-Stamp", ""}}).is_signed);
  CHECK_FALSE(
      codec.DecodeResponseHead(200, {{"X-Servex-Stamp", "s"}}).is_signed);
  CHECK_FALSE(codec
                  .DecodeResponseHead(200, {{"X-Server-Stamp", "s"},
                                            {"Connection", "X-Server-Stamp"}})
                  .is_signed);
}

TEST_CASE("encoded bodies and promising statuses are noticed") {
  const PlatformCodec codec;
  CHECK(
      codec.DecodeResponseHead(200, {{"Content-Encoding", "gzip"}}).is_encoded);
  CHECK_FALSE(codec.DecodeResponseHead(200, {{"Content-Encoding", " Identity"}})
                  .is_encoded);
  CHECK_FALSE(codec.DecodeResponseHead(200, {}).is_encoded);
  for (const int status : {408, 421, 429, 503})
    CHECK(codec.DecodeResponseHead(status, {}).promises_not_run);
  for (const int status : {200, 400, 404, 500, 502, 504})
    CHECK_FALSE(codec.DecodeResponseHead(status, {}).promises_not_run);
}

// Load: endpoints that share their machines and report how long work takes.
// Guards against losing the whole report because of a figure that is new or
// malformed.
TEST_CASE("the load header may tell how long work takes") {
  const PlatformCodec codec;
  const auto load = [&](const char* value) {
    return codec.DecodeResponseHead(200, {{"X-Server-Load", value}}).load;
  };
  CHECK_FALSE(load("3,1,8")->work_factor);
  CHECK(load("3,1,8,250")->work_factor == 2.5);
  CHECK(load("3,1,8,100")->work_factor == 1.0);
  CHECK(load("3,1,8,250,7")->work_factor == 2.5);
  for (const char* value : {"3,1,8,", "3,1,8,x", "3,1,8,-1", "3,1,8,0",
                            "3,1,8,1e9", "3,1,8,99999999999999999999"}) {
    INFO(value);
    REQUIRE(load(value));
    CHECK(load(value)->running == 3);
    CHECK_FALSE(load(value)->work_factor);
  }
}

TEST_CASE("malformed header values are ignored") {
  const PlatformCodec codec;
  struct Case {
    const char* name;
    const char* value;
  };
  const Case cases[] = {
      {"X-Deadline-Remaining", ""},   {"X-Deadline-Remaining", "abc"},
      {"X-Deadline-Remaining", "-5"}, {"X-Deadline-Remaining", "5x"},
      {"X-Server-Load", "1,2"},       {"X-Server-Load", "1,,3"},
      {"X-Server-Load", "-1,2,3"},    {"X-Weight-Versions", "v1"},
      {"Keep-Alive", "timeout=x"},    {"Keep-Alive", "timeout=0"},
      {"X-Token-Count", "x,y"},       {"X-Prompt-Prefix", ":::,,"},
  };
  for (const Case& c : cases) {
    INFO(c.name << ": " << c.value);
    const auto request = codec.DecodeRequest(
        CallerRequest({{"X-Model", "m"}, {c.name, c.value}}));
    CHECK_FALSE(request.remaining);
    const auto head = codec.DecodeResponseHead(200, {{c.name, c.value}});
    CHECK_FALSE(head.load);
    CHECK_FALSE(head.weight_version);
    CHECK_FALSE(head.keep_alive);
  }
}

// Guards against overflows that turn a long time into a negative one: such a
// request would be refused as late.
TEST_CASE("very long times are cut to a day") {
  const PlatformCodec codec;
  const auto request = codec.DecodeRequest(
      CallerRequest({{"X-Deadline-Remaining", "9223372036854775807"}}));
  CHECK(*request.remaining == std::chrono::hours(24));
  const auto head = codec.DecodeResponseHead(
      200, {{"Keep-Alive", "timeout=9223372036854775807"}});
  CHECK(*head.keep_alive > std::chrono::hours(16));
  CHECK(*head.keep_alive <= std::chrono::hours(24));
}

// Guards against sending on a connection that the endpoint is about to close.
TEST_CASE("an endpoint that closes its connection may name other options too") {
  const PlatformCodec codec;
  for (const char* value : {"close", "Close", "keep-alive, close", "x,close"}) {
    INFO(value);
    CHECK(codec.DecodeResponseHead(200, {{"Connection", value}})
              .closes_connection);
  }
  CHECK_FALSE(codec.DecodeResponseHead(200, {{"Connection", "keep-alive"}})
                  .closes_connection);
}

}  // namespace
}  // namespace jujuberock::platform_adapter
