#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/common/hash.h"
#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/sleep.h"
#include "standin/cache_store_standin.h"
#include "standin/completion_text.h"
#include "standin/engine_standin.h"

namespace jujuberock::standin {
namespace {

using nlohmann::json;
using runtime::HttpClient;
using runtime::HttpResponse;
using std::chrono::milliseconds;

const runtime::Address kAnyPort{"127.0.0.1", 0};

// An engine and a cache store with their HTTP servers.
struct Fixture {
  explicit Fixture(EngineOptions options = DefaultOptions())
      : client(this->pool, {}),
        engine(std::move(options), this->client),
        store({}),
        store_server(
            this->pool,
            kAnyPort,
            {},
            [this](const auto& request, auto& writer) {
              this->store.Handle(request, writer);
            },
            runtime::RenderPlainError),
        engine_server(
            this->pool,
            kAnyPort,
            {},
            [this](const auto& request, auto& writer) {
              this->engine.Handle(request, writer);
            },
            runtime::RenderPlainError) {
    this->pool.Run([this] { this->engine.Start(); });
  }

  static EngineOptions DefaultOptions() {
    EngineOptions options;
    options.batch.decode_ms = 0.1;
    options.batch.prefill_tokens_per_s = 1e7;
    options.capacity_blocks = 2;
    options.kv_bytes_per_block = 200;
    return options;
  }

  HttpResponse Post(const std::string& target, const json& body) {
    return this->client.Fetch(this->engine_server.address(),
                              {"POST", target, {}, body.dump()});
  }

  HttpResponse Get(const std::string& target) {
    return this->client.Fetch(this->engine_server.address(),
                              {"GET", target, {}, ""});
  }

  HttpResponse SetStoreFault(const json& fault) {
    return this->client.Fetch(this->store_server.address(),
                              {"POST", "/control/faults", {}, fault.dump()});
  }

  HttpResponse Generate(const std::string& id,
                        const std::string& prompt,
                        const std::vector<std::string>& keys,
                        bool restore = false,
                        const std::string& team = "a") {
    json body = {{"request_id", id},  {"team", team},     {"model", "model-a"},
                 {"version", "v1"},   {"prompt", prompt}, {"max_tokens", 4},
                 {"block_keys", keys}};
    for (const std::string& key : keys) {
      if (restore)
        body["restore"].push_back(
            {{"key", key}, {"store", this->store_server.address().ToString()}});
    }
    return this->Post("/v1/generate", body);
  }

  uint64_t Count(const char* name) {
    return json::parse(this->Get("/control/counts").body)[name];
  }

  runtime::WorkerPool pool{1};
  HttpClient client;
  EngineStandin engine;
  CacheStoreStandin store;
  runtime::HttpServer store_server;
  runtime::HttpServer engine_server;
};

std::string TextOf(const HttpResponse& response) {
  std::string text;
  size_t at = 0;
  while ((at = response.body.find("data: ", at)) != std::string::npos) {
    at += 6;
    const size_t end = response.body.find('\n', at);
    const json event = json::parse(response.body.substr(at, end - at));
    text += event.value("text", "");
  }
  return text;
}

std::string ExpectedText(const std::string& prompt,
                         const std::string& version) {
  const std::vector<std::string> digests = BlockDigests(prompt);
  const std::string rest = prompt.substr(digests.size() * kBlockBytes);
  const std::string seed = CompletionSeed(version, digests, rest);
  std::string text;
  for (uint64_t i = 0; i < 4; ++i)
    text += CompletionToken(seed, i);
  return text;
}

const std::string kPrompt = std::string(2 * kBlockBytes, 'p') + "rest";
const std::string kOtherPrompt = std::string(2 * kBlockBytes, 'o') + "rest";

// Guards against an engine stand-in whose completions do not depend on restored
// blocks: the share of restored context that the demo reports would then prove
// nothing.
TEST_CASE("evicted blocks restored from a store give the same completion") {
  Fixture f;
  f.pool.Run([&] {
    REQUIRE(TextOf(f.Generate("r1", kPrompt, {"k1", "k2"})) ==
            ExpectedText(kPrompt, "v1"));
    const json exported = json::parse(
        f.Post("/kv/export", {{"keys", {"k1", "k2", "none"}},
                              {"team", "a"},
                              {"store", f.store_server.address().ToString()}})
            .body);
    REQUIRE(exported["exported"].size() == 2);
    REQUIRE(exported["failed"].size() == 1);
    f.Generate("r2", kOtherPrompt, {"k3", "k4"});
    REQUIRE(TextOf(f.Generate("r3", kPrompt, {"k1", "k2"}, true)) ==
            ExpectedText(kPrompt, "v1"));
    REQUIRE(f.Count("restored_tokens") == 2 * kBlockTokens);
    REQUIRE(f.Count("bad_blocks") == 0);
  });
}

// Guards against the use of corrupt blocks, of blocks under a wrong key, and
// of blocks that belong to another team.
TEST_CASE("a block that fails validation is recomputed and counted") {
  Fixture f;
  f.pool.Run([&] {
    const std::string store = f.store_server.address().ToString();
    f.Generate("r1", kPrompt, {"k1", "k2"});
    f.Post("/kv/export",
           {{"keys", {"k1", "k2"}}, {"team", "a"}, {"store", store}});
    f.Generate("r2", kOtherPrompt, {"k3", "k4"});
    f.SetStoreFault({{"corrupt", "k1"}});
    REQUIRE(TextOf(f.Generate("r3", kPrompt, {"k1", "k2"}, true)) ==
            ExpectedText(kPrompt, "v1"));
    REQUIRE(f.Count("bad_blocks") == 1);
    REQUIRE(TextOf(f.Generate("r4", kPrompt, {"k1", "k2"}, false, "b")) ==
            ExpectedText(kPrompt, "v1"));
    REQUIRE(f.Count("foreign_blocks") == 2);
  });
}

// A block that was truncated or corrupted during its upload must not become
// visible: its length alone does not show an engine that it is damaged.
TEST_CASE("a store seals a block only when length and checksum match") {
  Fixture f;
  f.pool.Run([&] {
    const std::string body = "block";
    const auto put = [&](const std::string& length,
                         const std::string& checksum) {
      return f.client
          .Fetch(f.store_server.address(), {"PUT",
                                            "/blocks/k1",
                                            {{"Block-Team", "a"},
                                             {"Block-Version", "v1"},
                                             {"Block-Length", length},
                                             {"Block-Checksum", checksum}},
                                            body})
          .status;
    };
    const auto get = [&] {
      return f.client
          .Fetch(f.store_server.address(), {"GET", "/blocks/k1", {}, ""})
          .status;
    };
    const std::string checksum = common::Hash128Hex(body);
    REQUIRE(put("9", checksum) == 400);
    REQUIRE(put("5", common::Hash128Hex("other")) == 400);
    REQUIRE(get() == 404);
    REQUIRE(put("5", checksum) == 200);
    REQUIRE(get() == 200);
  });
}

// Guards against a test oracle that can not detect the use of a wrong block: a
// cached block of another prompt must change the completion.
TEST_CASE("a block under a wrong key changes the completion") {
  Fixture f;
  f.pool.Run([&] {
    f.Generate("r1", kPrompt, {"k1", "k2"});
    REQUIRE(TextOf(f.Generate("r2", kOtherPrompt, {"k1", "k2"})) !=
            ExpectedText(kOtherPrompt, "v1"));
  });
}

TEST_CASE("a finished stream can be resumed from an offset") {
  Fixture f;
  f.pool.Run([&] {
    f.Generate("r1", kPrompt, {});
    REQUIRE(TextOf(f.Get("/v1/requests/r1?from=1")) ==
            ExpectedText(kPrompt, "v1").substr(8));
    REQUIRE(f.Get("/v1/requests/none?from=0").status == 404);
  });
}

TEST_CASE("outdated orders and requests for another version are refused") {
  Fixture f;
  f.pool.Run([&] {
    const auto order = [&](int fence, const char* version,
                           int expires_ms = 1000) {
      return f
          .Post("/orders", {{"fence", fence},
                            {"action", "load"},
                            {"model", "model-a"},
                            {"version", version},
                            {"expires_ms", expires_ms}})
          .status;
    };
    REQUIRE(order(5, "v2") == 200);
    REQUIRE(order(4, "v3") == 412);
    REQUIRE(order(6, "v3", 0) == 410);
    runtime::SleepFor(milliseconds(5));
    REQUIRE(f.Generate("r1", "short", {}).status == 409);
    REQUIRE(json::parse(f.Get("/orders").body)["version"] == "v2");
  });
}

// Guards against a fault that also stalls new connections, which would hide
// whether a probe on a fresh connection works.
TEST_CASE("stalled connections stay stalled while new ones work") {
  Fixture f;
  f.pool.Run([&] {
    REQUIRE(f.Get("/load").status == 200);
    f.Post("/control/faults", {{"silent", true}});
    const runtime::HttpRequest get{"GET", "/load", {}, ""};
    REQUIRE_THROWS_AS(f.client.Fetch(f.engine_server.address(), get,
                                     {.header_timeout = milliseconds(50)}),
                      runtime::HttpError);
    REQUIRE(f.client
                .Fetch(f.engine_server.address(), get,
                       {.header_timeout = milliseconds(500),
                        .fresh_connection = true})
                .status == 200);
    f.Post("/control/faults", {{"release", true}});
  });
}

}  // namespace
}  // namespace jujuberock::standin
