#include <openssl/sha.h>
#include <catch2/catch.hpp>

#include <cstdio>
#include <string>

#include "core/caller/server.h"
#include "unit_tests/core/caller/raw_client.h"

namespace jujuberock::caller {
namespace {

constexpr const char* kKey = "key-of-alfa";

std::string HexHash(const std::string& key) {
  std::string hex;
  for (const uint8_t byte : HashKey(key)) {
    char digits[3];
    std::snprintf(digits, sizeof(digits), "%02x", byte);
    hex += digits;
  }
  return hex;
}

// Completes every request with a single token.
class OneTokenHandler : public Handler {
 public:
  void Complete(const CompletionCall&, CompletionWriter& writer) override {
    writer.WriteToken({"w1", "s1", "m", "h1", 1}, "token");
    writer.Finish("stop", {});
  }
  void Resume(const ResumeCall&, CompletionWriter& writer) override {
    writer.Finish("stop", {});
  }
  runtime::HttpResponse CallService(const ServiceCall& call) override {
    runtime::HttpResponse response;
    for (const auto& field : call.request.headers.all())
      response.body += field.name + "=" + field.value + ";";
    return response;
  }
};

ServerOptions ShortLimits() {
  ServerOptions options;
  options.http.header_limit_bytes = 2048;
  options.http.body_limit_bytes = 4096;
  options.http.header_timeout = std::chrono::milliseconds(150);
  options.http.body_timeout = std::chrono::milliseconds(150);
  return options;
}

struct TestServer {
  explicit TestServer(const ServerOptions& options = ShortLimits())
      : server(this->pool,
               {"127.0.0.1", 0},
               options,
               this->keys,
               this->sealer,
               this->handler,
               this->counters) {
    this->keys.SetTeam("alfa", {HexHash(kKey)});
    this->keys.SetTeam("gone", {HexHash("key-of-gone")});
    this->keys.RemoveTeam("gone");
  }

  runtime::WorkerPool pool{1};
  common::MetricRegistry counters;
  ApiKeyRegistry keys;
  EventIdSealer sealer{"0123456789abcdef"};
  OneTokenHandler handler;
  Server server;
};

constexpr const char* kTextPath = "/v1/completions";
constexpr const char* kChatPath = "/v1/chat/completions";
constexpr const char* kValidBody = R"({"model":"m","prompt":"p"})";

std::string Request(const std::string& method,
                    const std::string& path,
                    const std::string& body,
                    const std::string& fields = "",
                    const std::string& key = kKey) {
  return method + " " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" +
         (key.empty() ? "" : "Authorization: Bearer " + key + "\r\n") + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string Post(const std::string& body, const std::string& fields = "") {
  return Request("POST", kTextPath, body, fields);
}

struct Case {
  const char* name;
  std::string bytes;
  int status;
  // Expected result code in the problem details; 0: not checked.
  int code;
};

// Each case guards against a crash or a wrong response for one kind of input.
const std::vector<Case> kCases = {
    {"wrong method", Request("PUT", kTextPath, kValidBody), 405, 106},
    {"get without event id", Request("GET", kTextPath, ""), 405, 106},
    {"unknown path", Request("POST", "/v2/x", kValidBody), 404, 104},
    {"path with nul escape", Request("POST", "/%00", kValidBody), 404, 104},
    {"empty body", Post(""), 400, 100},
    {"not json", Post("{"), 400, 100},
    {"json array", Post("[]"), 400, 100},
    {"invalid utf-8", Post("{\"model\":\"\xff\xfe\",\"prompt\":\"p\"}"), 400,
     0},
    {"deep nesting", Post(std::string(3000, '[')), 400, 100},
    {"missing model", Post(R"({"prompt":"p"})"), 400, 100},
    {"missing prompt", Post(R"({"model":"m"})"), 400, 100},
    {"empty prompt", Post(R"({"model":"m","prompt":""})"), 400, 100},
    {"model not text", Post(R"({"model":1,"prompt":"p"})"), 400, 100},
    {"prompt not text", Post(R"({"model":"m","prompt":[1]})"), 400, 100},
    {"control character", Post(R"({"model":"m\n","prompt":"p"})"), 400, 100},
    {"zero tokens", Post(R"({"model":"m","prompt":"p","max_tokens":0})"), 400,
     100},
    {"negative tokens", Post(R"({"model":"m","prompt":"p","max_tokens":-5})"),
     400, 100},
    {"too many tokens",
     Post(R"({"model":"m","prompt":"p","max_tokens":18446744073709551615})"),
     400, 100},
    {"fractional tokens",
     Post(R"({"model":"m","prompt":"p","max_tokens":1.5})"), 400, 100},
    {"stream not bool", Post(R"({"model":"m","prompt":"p","stream":"yes"})"),
     400, 100},
    {"chat without messages", Request("POST", kChatPath, kValidBody), 400, 100},
    {"chat with no message",
     Request("POST", kChatPath, R"({"model":"m","messages":[]})"), 400, 100},
    {"chat message not object",
     Request("POST", kChatPath, R"({"model":"m","messages":["x"]})"), 400, 100},
    {"chat content not text",
     Request("POST",
             kChatPath,
             R"({"model":"m","messages":[{"role":"user","content":1}]})"),
     400, 100},
    {"no bearer", Request("POST", kTextPath, kValidBody, "", ""), 401, 101},
    {"bad bearer", Request("POST", kTextPath, kValidBody, "", "other"), 401,
     101},
    {"empty bearer", Request("POST", kTextPath, kValidBody, "", " "), 401, 101},
    {"basic scheme",
     Request("POST",
             kTextPath,
             kValidBody,
             "Authorization: Basic eA==\r\n",
             ""),
     401, 101},
    {"unknown team", Request("POST", kTextPath, kValidBody, "", "key-of-gone"),
     401, 102},
    {"negative deadline", Post(kValidBody, "Jujuberock-Deadline-Ms: -1\r\n"),
     400, 110},
    {"zero deadline", Post(kValidBody, "Jujuberock-Deadline-Ms: 0\r\n"), 400,
     110},
    {"deadline not a number",
     Post(kValidBody, "Jujuberock-Deadline-Ms: 1s\r\n"), 400, 110},
    {"huge deadline",
     Post(kValidBody, "Jujuberock-Deadline-Ms: 99999999999999999999\r\n"), 400,
     110},
    {"bad issue time", Post(kValidBody, "Jujuberock-Issued-At: yesterday\r\n"),
     400, 100},
    {"impossible date",
     Post(kValidBody, "Jujuberock-Issued-At: 2025-02-30T00:00:00Z\r\n"), 400,
     100},
    {"long idempotency key",
     Post(kValidBody, "Idempotency-Key: " + std::string(300, 'k') + "\r\n"),
     400, 100},
    {"bad event id", Post(kValidBody, "Last-Event-ID: abc\r\n"), 400, 112},
    {"event id not base64", Post(kValidBody, "Last-Event-ID: !!\r\n"), 400,
     112},
    {"huge header", Post(kValidBody, "X: " + std::string(4000, 'x') + "\r\n"),
     431, 109},
    {"huge body", Post(std::string(9000, 'x')), 413, 108},
    {"announced huge body",
     "POST /v1/completions HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n",
     413, 108},
    {"negative length",
     "POST /v1/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400, 100},
    {"not http", "\x16\x03\x01\x02garbage\r\n\r\n", 400, 100},
    {"wrong version", "GET / HTTP/9.9\r\n\r\n", 400, 100},
    {"header without colon", "GET / HTTP/1.1\r\nnonsense\r\n\r\n", 400, 100},
    {"bad chunk",
     "POST /v1/completions HTTP/1.1\r\nTransfer-Encoding: "
     "chunked\r\n\r\nzz\r\n",
     400, 100},
    {"slow header", "POST /v1/completions HTTP/1.1\r\nHost:", 408, 107},
    {"slow body",
     "POST /v1/completions HTTP/1.1\r\nContent-Length: 100\r\n\r\n{\"mo", 408,
     107},
};

TEST_CASE(
    "malformed requests get an error response and the server keeps serving") {
  TestServer test;
  for (const Case& input : kCases) {
    INFO(input.name);
    RawClient client(test.server.address());
    client.Send(input.bytes);
    const std::string response = client.ReadAll();
    INFO(response);
    REQUIRE(StatusOf(response) == input.status);
    if (input.code != 0) {
      REQUIRE(response.find("application/problem+json") != std::string::npos);
      REQUIRE(response.find("\"code\":" + std::to_string(input.code) + ",") !=
              std::string::npos);
      REQUIRE(response.find("\"outcome\":\"not_run\"") != std::string::npos);
    }
    RawClient next(test.server.address());
    next.Send(Post(kValidBody));
    REQUIRE(StatusOf(next.ReadAll()) == 200);
  }
}

std::string Arrays(size_t depth) {
  return std::string(depth, '[') + std::string(depth, ']');
}

std::string Objects(size_t depth) {
  std::string text;
  for (size_t level = 0; level < depth; ++level)
    text += R"({"a":)";
  return text + "0" + std::string(depth, '}');
}

// Sends the request and checks for a problem response with HTTP status 400.
void RequireMalformed(const TestServer& test, const std::string& request) {
  INFO(request.substr(0, 400));
  RawClient client(test.server.address());
  client.Send(request);
  const std::string response = client.ReadAll();
  INFO(response);
  REQUIRE(StatusOf(response) == 400);
  REQUIRE(response.find("\"code\":100,") != std::string::npos);
  REQUIRE(response.find("\"outcome\":\"not_run\"") != std::string::npos);
  RawClient next(test.server.address());
  next.Send(Post(kValidBody));
  REQUIRE(StatusOf(next.ReadAll()) == 200);
}

// Guards against a body whose nesting overflows the stack of the fiber that
// reads it, wherever in the body it is and whether or not it is complete.
TEST_CASE("a body of any nesting depth gets an error response") {
  ServerOptions options;
  options.http.body_limit_bytes = 4 * 1024 * 1024;
  const TestServer test(options);
  for (const size_t depth : {10'000U, 200'000U}) {
    for (const std::string& deep :
         {Arrays(depth), Objects(depth), std::string(depth, '[')}) {
      RequireMalformed(test, Post(deep));
      RequireMalformed(test,
                       Post(R"({"model":"m","prompt":"p","x":)" + deep + "}"));
      RequireMalformed(test, Post(R"({"model":"m","prompt":)" + deep + "}"));
      RequireMalformed(test, Post(R"({"prompt":"p","model":)" + deep + "}"));
      RequireMalformed(test,
                       Request("POST", kChatPath,
                               R"({"model":"m","messages":)" + deep + "}"));
      RequireMalformed(
          test,
          Request("POST", kChatPath,
                  R"({"model":"m","messages":[{"role":"user","content":)" +
                      deep + "}]}"));
    }
  }
}

// Guards against an internal error for a number that no double can hold.
TEST_CASE("a number out of range gets an error response") {
  const TestServer test;
  for (const char* number : {"1e400", "-1e400", "1e99999999999"}) {
    const std::string text(number);
    RequireMalformed(
        test, Post(R"({"model":"m","prompt":"p","max_tokens":)" + text + "}"));
    RequireMalformed(test,
                     Post(R"({"model":"m","prompt":"p","x":)" + text + "}"));
    RequireMalformed(test, Post(text));
  }
}

// Guards against an exception when such text is rendered into a response.
TEST_CASE("invalid UTF-8 anywhere in a body gets an error response") {
  const TestServer test;
  for (const char* bytes :
       {"\xff", "\xc3", "\xed\xa0\x80", "\xf5\x80\x80\x80", R"(\ud800)"}) {
    const std::string text(bytes);
    RequireMalformed(test,
                     Post(R"({"prompt":"p","model":"m)" + text + R"("})"));
    RequireMalformed(test,
                     Post(R"({"model":"m","prompt":"p)" + text + R"("})"));
    RequireMalformed(
        test, Post(R"({"model":"m","prompt":"p","x)" + text + R"(":1})"));
    RequireMalformed(
        test, Request("POST", kChatPath,
                      R"({"model":"m","messages":[{"role":"user","content":")" +
                          text + R"("}]})"));
  }
}

// Guards against a request that means one thing to this parser and another to
// the next one that reads it.
TEST_CASE("duplicate names in a body get an error response") {
  const TestServer test;
  for (const char* body :
       {R"({"model":"m","prompt":"p","model":"n"})",
        R"({"model":"m","prompt":"p","prompt":"q"})",
        R"({"model":"m","prompt":"p","\u006dodel":"n"})",
        R"({"model":"m","prompt":"p","x":[{"a":1,"b":{},"a":1}]})"})
    RequireMalformed(test, Post(body));
  RequireMalformed(
      test, Request("POST", kChatPath,
                    R"({"model":"m","messages":[{"role":"user","content":"c",)"
                    R"("content":"d"}]})"));
  RawClient client(test.server.address());
  client.Send(
      Post(R"({"model":"m","prompt":"p","x":[{"a":1},{"a":{"a":1}}]})"));
  REQUIRE(StatusOf(client.ReadAll()) == 200);
}

TEST_CASE("a caller may disconnect in the middle of its request") {
  TestServer test;
  for (const std::string& part :
       {std::string("POST /v1/comp"), Post(kValidBody).substr(0, 60),
        Post(kValidBody).substr(0, Post(kValidBody).size() - 3)}) {
    { RawClient(test.server.address()).Send(part); }
    RawClient half_closed(test.server.address());
    half_closed.Send(part);
    half_closed.ShutdownSend();
    const int status = StatusOf(half_closed.ReadAll());
    REQUIRE((status == 400 || status == 0));
  }
  RawClient next(test.server.address());
  next.Send(Post(kValidBody));
  REQUIRE(StatusOf(next.ReadAll()) == 200);
}

TEST_CASE("reserved and hop-by-hop headers of a caller are not forwarded") {
  TestServer test;
  RawClient client(test.server.address());
  client.Send(Request("POST", "/services/app/x", "",
                      "Jujuberock-Team: beta\r\nJujuberock-Request-Id: 1\r\n"
                      "X-Own: kept\r\nX-Hop: 1\r\nConnection: X-Hop\r\n"));
  const std::string response = client.ReadAll();
  INFO(response);
  REQUIRE(StatusOf(response) == 200);
  REQUIRE(response.find("X-Own=kept") != std::string::npos);
  REQUIRE(response.find("beta") == std::string::npos);
  REQUIRE(response.find("Request-Id") == std::string::npos);
  REQUIRE(response.find(kKey) == std::string::npos);
}

}  // namespace
}  // namespace jujuberock::caller
