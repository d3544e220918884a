#include "platform/store_client.h"

#include <catch2/catch.hpp>
#include <functional>

#include "core/common/error.h"
#include "core/runtime/http_server.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::platform_adapter {
namespace {

using catalog::ObjectKind;
using catalog::WriteState;

// An HTTP store whose responses are produced by a callback of the test.
class FakeStore {
 public:
  using Responder =
      std::function<runtime::HttpResponse(const runtime::HttpRequest&)>;

  explicit FakeStore(Responder respond)
      : respond(std::move(respond)),
        server(
            pool,
            {"127.0.0.1", 0},
            {},
            [this](const auto& request, auto& writer) {
              this->targets.push_back(request.method + " " + request.target);
              writer.Send(this->respond(request));
            },
            runtime::RenderPlainError),
        http(pool, {}),
        client(http, server.address(), counters) {}

  void Run(std::function<void(StoreClient&)> body) {
    this->pool.Run([&] { body(this->client); });
  }

  std::vector<std::string> targets;
  common::MetricRegistry counters;

 private:
  Responder respond;
  runtime::WorkerPool pool{1};
  runtime::HttpServer server;
  runtime::HttpClient http;
  StoreClient client;
};

runtime::HttpResponse MakeResponse(int status, std::string body) {
  runtime::HttpResponse response;
  response.status = status;
  response.body = std::move(body);
  return response;
}

TEST_CASE("a paginated list returns the revision of its first page") {
  FakeStore store([](const auto& request) {
    if (request.target.find("after=") == std::string::npos)
      return MakeResponse(200,
                          R"({"items":[{"metadata":{"name":"a","rev":3},)"
                          R"("spec":{"x":1}}],"more":true,"storeRevision":9})");
    return MakeResponse(200,
                        R"({"items":[{"metadata":{"name":"b","rev":4},)"
                        R"("spec":null}],"more":false,"storeRevision":12})");
  });
  store.Run([](StoreClient& client) {
    const auto snapshot = client.List(ObjectKind::kEndpoints);
    REQUIRE(snapshot.objects.size() == 2);
    CHECK(snapshot.objects[0].content == "{\"x\":1}");
    CHECK(snapshot.objects[1].name == "b");
    CHECK(snapshot.revision == 9);
  });
  CHECK(store.targets[1] == "GET /objects/servers?after=a");
}

TEST_CASE("a watch returns changes, or reports that the history is gone") {
  int status = 200;
  FakeStore store([&](const auto&) {
    return MakeResponse(status,
                        R"({"events":[{"deleted":true,"object":{"metadata":)"
                        R"({"name":"a","rev":3},"spec":{}}}],)"
                        R"("storeRevision":14})");
  });
  store.Run([&](StoreClient& client) {
    const auto changes =
        client.Watch(ObjectKind::kConfig, 9, std::chrono::milliseconds(100));
    CHECK(changes.changes.at(0).deleted);
    CHECK(changes.revision == 14);
    status = 410;
    CHECK(client.Watch(ObjectKind::kConfig, 9, std::chrono::milliseconds(100))
              .history_gone);
  });
}

TEST_CASE("failed and malformed responses are reported as platform errors") {
  struct Case {
    int status;
    const char* body;
    common::ResultCode code;
  };
  const Case cases[] = {
      {429, "", common::ResultCode::kPlatformRateLimited},
      {503, "", common::ResultCode::kPlatformUnavailable},
      {200, "", common::ResultCode::kProtocolError},
      {200, "[]", common::ResultCode::kProtocolError},
      {200, "{\"items\":[{}],\"storeRevision\":-1}",
       common::ResultCode::kProtocolError},
      {200, "{\"items\":[{}]", common::ResultCode::kProtocolError},
      {200, "{\"items\":[]}", common::ResultCode::kProtocolError},
  };
  for (const Case& c : cases) {
    INFO(c.status << c.body);
    FakeStore store(
        [&](const auto&) { return MakeResponse(c.status, c.body); });
    store.Run([&](StoreClient& client) {
      try {
        client.List(ObjectKind::kConfig);
        FAIL("no error");
      } catch (const common::Error& error) {
        CHECK(error.code() == c.code);
      }
    });
  }
}

// Guards against one writer's object that makes a list unreadable: objects that
// can't be read are counted and returned as such.
TEST_CASE("an unreadable object does not fail a list or a watch") {
  const std::string odd = R"({"metadata":{"name":"o","rev":4},"spec":NaN})";
  const std::string sound = R"({"metadata":{"name":"s","rev":5},"spec":{}})";
  FakeStore store([&](const auto& request) {
    if (request.target.find("watch=") == std::string::npos)
      return MakeResponse(200, "{\"items\":[{}," + odd + "," + sound +
                                   "],\"storeRevision\":6}");
    return MakeResponse(200, "{\"events\":[{\"object\":" + odd +
                                 "},{\"object\":" + sound +
                                 "}],\"storeRevision\":7}");
  });
  store.Run([](StoreClient& client) {
    const auto snapshot = client.List(ObjectKind::kEndpoints);
    REQUIRE(snapshot.objects.size() == 3);
    CHECK(snapshot.objects[0].fault == catalog::ObjectFault::kNoName);
    CHECK(snapshot.objects[1].fault == catalog::ObjectFault::kMalformed);
    CHECK(snapshot.objects[1].name == "o");
    CHECK(snapshot.objects[2].fault == catalog::ObjectFault::kNone);
    const auto changes =
        client.Watch(ObjectKind::kEndpoints, 6, std::chrono::milliseconds(100));
    REQUIRE(changes.changes.size() == 2);
    CHECK(changes.changes[0].object.fault == catalog::ObjectFault::kMalformed);
    CHECK(changes.revision == 7);
  });
  CHECK(
      store.counters
          .GetCounter("store_entries_unreadable_total", {{"kind", "endpoints"}})
          .value() == 3);
}

// Guards against a list that ends at a page whose last object has a name that
// can't be read, or that must be escaped.
TEST_CASE("a list goes on behind odd names") {
  FakeStore store([](const auto& request) {
    if (request.target == "/objects/servers")
      return MakeResponse(200, R"({"items":[{"metadata":{"name":"a b&c/é"}},)"
                               R"({"metadata":{"name":5}}],"more":true,)"
                               R"("storeRevision":9})");
    return MakeResponse(200, R"({"items":[{"metadata":{"name":5}},)"
                             R"({"metadata":{"name":"z"}}],"more":false,)"
                             R"("storeRevision":9})");
  });
  store.Run([](StoreClient& client) {
    CHECK(client.List(ObjectKind::kEndpoints).objects.back().name == "z");
  });
  CHECK(store.targets[1] == "GET /objects/servers?after=a%20b%26c%2F%C3%A9");
}

// Guards against a host that can't write its object any more after another
// writer has replaced it: the conflict must tell the revision.
TEST_CASE("a conflict with an unreadable object tells its revision") {
  FakeStore store([](const auto&) {
    return MakeResponse(409, R"({"metadata":{"name":"h","rev":6},"spec":NaN})");
  });
  store.Run([](StoreClient& client) {
    const auto reply = client.Replace(ObjectKind::kHosts, "h", 5, "{}");
    CHECK(reply.state == WriteState::kConflict);
    REQUIRE(reply.current);
    CHECK(reply.current->revision == 6);
    CHECK(reply.current->content.empty());
  });
}

// Guards against a host that assumes it holds a lease although its write failed
// or has an unknown outcome.
TEST_CASE("a write reports whether it took effect") {
  struct Case {
    int status;
    WriteState state;
  };
  const Case cases[] = {
      {200, WriteState::kWritten},  {201, WriteState::kWritten},
      {409, WriteState::kConflict}, {429, WriteState::kRefused},
      {503, WriteState::kRefused},  {404, WriteState::kMissing},
      {500, WriteState::kUnknown}};
  for (const Case& c : cases) {
    INFO(c.status);
    FakeStore store([&](const auto&) {
      return MakeResponse(
          c.status, R"({"metadata":{"name":"l","rev":6},"spec":{"h":"a"}})");
    });
    store.Run([&](StoreClient& client) {
      const auto reply =
          client.Replace(ObjectKind::kHosts, "l", 5, "{\"h\":\"a\"}");
      CHECK(reply.state == c.state);
      if (c.state == WriteState::kConflict)
        CHECK(reply.current->revision == 6);
    });
    CHECK(store.targets[0] == "PUT /objects/jujuberock/l");
  }
}

// Guards against calling the store without end when it says that a list
// continues, but sends nothing new.
TEST_CASE("a list that does not advance is an error") {
  const char* pages[] = {
      R"({"items":[],"more":true,"storeRevision":9})",
      R"({"items":[{"metadata":{"name":"a","rev":3},"spec":{}}],)"
      R"("more":true,"storeRevision":9})"};
  for (const char* page : pages) {
    INFO(page);
    FakeStore store([&](const auto&) { return MakeResponse(200, page); });
    store.Run([](StoreClient& client) {
      CHECK_THROWS_AS(client.List(ObjectKind::kEndpoints), common::Error);
    });
    CHECK(store.targets.size() <= 2);
  }
}

// Guards against mixing answers of two eras: the revisions of a store that came
// back from a copy are given out again with other contents.
TEST_CASE("an answer of a former era of the store is an error") {
  const char* era = "4";
  FakeStore store([&](const auto&) {
    auto response = MakeResponse(200, R"({"items":[],"storeRevision":9})");
    response.headers.Add("Store-Era", era);
    return response;
  });
  store.Run([&](StoreClient& client) {
    CHECK(client.era() == 0);
    client.List(ObjectKind::kConfig);
    CHECK(client.era() == 4);
    era = "5";
    client.List(ObjectKind::kConfig);
    CHECK(client.era() == 5);
    era = "4";
    CHECK_THROWS_AS(client.List(ObjectKind::kConfig), common::Error);
    CHECK(client.Create(ObjectKind::kHosts, "h", "{}").state ==
          WriteState::kUnknown);
    CHECK(client.era() == 5);
    for (const char* unreadable : {"", "x", "5x", "-1"}) {
      era = unreadable;
      CHECK_NOTHROW(client.List(ObjectKind::kConfig));
      CHECK(client.era() == 5);
    }
  });
}

}  // namespace
}  // namespace jujuberock::platform_adapter
