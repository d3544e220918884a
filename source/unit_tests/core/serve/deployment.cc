#include "unit_tests/core/serve/deployment.h"

#include <catch2/catch.hpp>

#include <ctime>
#include <thread>

#include <nlohmann/json.hpp>

#include "core/platform/client.h"
#include "core/runtime/sleep.h"
#include "standin/completion_text.h"

namespace jujuberock::serve {

using nlohmann::json;
using runtime::HttpRequest;
using runtime::HttpResponse;

namespace {

const runtime::Address kAnyPort{"127.0.0.1", 0};

json AllDayBand() {
  return {{"from", "00:00"}, {"to", "24:00"}};
}

void Put(runtime::HttpClient& client,
         const std::string& platform,
         const std::string& kind,
         const std::string& name,
         const json& body) {
  const HttpRequest request{"PUT",
                            "/objects/" + kind + "/" + name,
                            {{"If-Version", "0"}},
                            json{{"token", "t"}, {"body", body}}.dump()};
  const HttpResponse response =
      client.Fetch(*runtime::Address::Parse(platform), request);
  REQUIRE(response.status == 200);
}

standin::EngineOptions MakeEngineOptions() {
  standin::EngineOptions options;
  options.crash_marker = "";
  options.batch.decode_ms = 4;
  return options;
}

// Returns an address with a free port. The table must contain the host's
// address before the host listens on it.
std::string FreeAddress() {
  runtime::WorkerPool pool(1);
  runtime::HttpServer probe(
      pool, kAnyPort, {}, [](const HttpRequest&, runtime::ResponseWriter&) {},
      runtime::RenderPlainError);
  return probe.address().ToString();
}

}  // namespace

StandinServer::StandinServer(const Factory& factory)
    : factory(factory), standin(factory(this->client)) {
  this->pool.Run([this] { this->standin->Start(); });
  this->Listen(kAnyPort);
}

void StandinServer::RestartAnew() {
  this->pool.Run([this] {
    this->standin = this->factory(this->client);
    this->standin->Start();
  });
  this->Listen(this->bound);
}

void StandinServer::Listen(const runtime::Address& address) {
  this->server = std::make_unique<runtime::HttpServer>(
      this->pool, address, runtime::HttpServerOptions(),
      [this](const HttpRequest& request, runtime::ResponseWriter& writer) {
        this->standin->Handle(request, writer);
      },
      runtime::RenderPlainError);
  this->bound = this->server->address();
}

StandinServer::~StandinServer() {
  this->Kill();
  this->pool.Run([this] { this->standin.reset(); });
}

void StandinServer::Kill() {
  this->server.reset();
}

void StandinServer::Freeze(std::chrono::milliseconds length) {
  // The server has one worker.
  this->pool.Spawn(0, [length] { std::this_thread::sleep_for(length); });
}

void StandinServer::SetFaults(const std::string& json_text) {
  this->pool.Run([&] {
    const HttpResponse response = this->client.Fetch(
        this->bound, {"POST", "/control/faults", {}, json_text});
    REQUIRE(response.status == 200);
  });
}

Deployment::Deployment(size_t hosts,
                       const std::string& patience_ms,
                       common::Duration stop_limit) {
  this->platform = std::make_unique<StandinServer>([](runtime::HttpClient&) {
    return std::make_unique<standin::PlatformStandin>(
        standin::PlatformOptions());
  });
  for (int i = 0; i < 2; ++i) {
    this->engines.push_back(
        std::make_unique<StandinServer>([](runtime::HttpClient& client) {
          return std::make_unique<standin::EngineStandin>(MakeEngineOptions(),
                                                          client);
        }));
  }
  this->plain = std::make_unique<StandinServer>([](runtime::HttpClient&) {
    return std::make_unique<standin::PlainServiceStandin>(
        standin::PlainServiceOptions());
  });
  json team_band = AllDayBand();
  team_band.update({{"weight", 1}, {"max_running", 100}});
  team_band["patience_ms"] = std::stoi(patience_ms);
  json service_band = AllDayBand();
  service_band.update({{"patience_ms", 60'000}, {"max_queue", 100}});
  const json engine = {{"kind", "engine"},
                       {"models", {"model-a"}},
                       {"version", "v1"},
                       {"non_idempotent", json::array()},
                       {"loads_at_once", 3},
                       {"retry_budget", 0.5},
                       {"zone_shares", json::object()},
                       {"bands", {service_band}}};
  json plain_service = engine;
  plain_service["kind"] = "plain";
  plain_service["models"] = json::array();
  plain_service["version"] = "";
  plain_service["non_idempotent"] = {
      {{"method", "POST"}, {"path_prefix", "/pay"}}};
  std::vector<std::string> peer_addresses;
  for (size_t i = 0; i < hosts; ++i)
    peer_addresses.push_back(FreeAddress());
  this->pool.Run([&] {
    const std::string at = this->platform->address();
    Put(this->client, at, "team", "alfa",
        {{"keys", {standin::Sha256Hex(kTeamKey)}}, {"bands", {team_band}}});
    Put(this->client, at, "team", "beta",
        {{"keys", {standin::Sha256Hex("key-of-beta")}},
         {"bands", {team_band}}});
    Put(this->client, at, "service", "asistente", engine);
    Put(this->client, at, "service", "cajas-app", plain_service);
    for (size_t i = 0; i < this->engines.size(); ++i) {
      Put(this->client, at, "endpoint", "w" + std::to_string(i),
          {{"service", "asistente"},
           {"zone", "sauce"},
           {"address", this->engines[i]->address()},
           {"state", "live"}});
    }
    Put(this->client, at, "endpoint", "p0",
        {{"service", "cajas-app"},
         {"zone", "sauce"},
         {"address", this->plain->address()},
         {"state", "live"}});
    for (size_t i = 0; i < hosts; ++i) {
      Put(this->client, at, "host", "h" + std::to_string(i),
          {{"zone", "sauce"},
           {"address", peer_addresses[i]},
           {"state", "live"}});
    }
  });
  for (size_t i = 0; i < hosts; ++i) {
    Settings settings;
    settings.host_name = "h" + std::to_string(i);
    settings.zone = "sauce";
    settings.caller_address = "127.0.0.1:0";
    settings.operator_address = "127.0.0.1:0";
    settings.host_address = peer_addresses[i];
    settings.platform_address = this->platform->address();
    settings.deployment_key = "0123456789abcdef";
    settings.token_idle_limit = std::chrono::milliseconds(300);
    settings.resume_grace = std::chrono::milliseconds(300);
    settings.stop_limit = stop_limit;
    this->hosts.push_back(std::make_unique<Host>(settings, [] {}));
  }
  this->WaitReady();
}

void Deployment::WaitReady() {
  this->pool.Run([this] {
    for (const auto& host : this->hosts) {
      int status = 0;
      for (int i = 0; i < 1000 && status != 200; ++i) {
        runtime::SleepFor(std::chrono::milliseconds(10));
        status =
            this->client
                .Fetch(host->operator_address(), {"GET", "/readyz", {}, ""})
                .status;
      }
      REQUIRE(status == 200);
    }
  });
}

HttpResponse Deployment::Post(size_t host,
                              const std::string& path,
                              const std::string& body,
                              const runtime::HttpHeaders& headers) {
  HttpRequest request{"POST", path, headers, body};
  if (!headers.Find("Authorization"))
    request.headers.Add("Authorization", std::string("Bearer ") + kTeamKey);
  HttpResponse response;
  this->pool.Run([&] {
    response = this->client.Fetch(this->hosts[host]->caller_address(), request,
                                  {.fresh_connection = true});
  });
  return response;
}

HttpResponse Deployment::Get(const runtime::Address& address,
                             const std::string& path) {
  HttpResponse response;
  this->pool.Run([&] {
    response = this->client.Fetch(address, {"GET", path, {}, ""});
  });
  return response;
}

std::string Deployment::Now() {
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  char text[32];
  std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &utc);
  return text;
}

std::string Deployment::CompletionBody(const std::string& prompt,
                                       int tokens,
                                       bool stream) {
  return json{{"model", "model-a"},
              {"prompt", prompt},
              {"max_tokens", tokens},
              {"stream", stream}}
      .dump();
}

std::string Deployment::ExpectedAnswer(const std::string& prompt, int tokens) {
  const std::string seed = standin::CompletionSeed("v1", {}, prompt);
  std::string text;
  for (int i = 0; i < tokens; ++i)
    text += standin::CompletionToken(seed, static_cast<uint64_t>(i));
  return text;
}

Deployment::Events Deployment::ParseEvents(const std::string& body) {
  Events events;
  size_t begin = 0;
  size_t end;
  while ((end = body.find('\n', begin)) != std::string::npos) {
    const std::string line = body.substr(begin, end - begin);
    begin = end + 1;
    if (line.rfind("id: ", 0) == 0)
      events.ids.push_back(line.substr(4));
    if (line == "data: [DONE]")
      events.done = true;
    else if (line.rfind("data: {\"choices\"", 0) == 0)
      events.text += json::parse(line.substr(6))["choices"][0]["text"];
  }
  return events;
}

void Deployment::PutObject(const std::string& kind,
                           const std::string& name,
                           const std::string& body) {
  this->pool.Run([&] {
    common::MetricRegistry counters;
    platform::Client store(this->client,
                           *runtime::Address::Parse(this->platform->address()),
                           counters);
    const auto current = store.Read(kind, name);
    const auto written =
        store.Write(kind, name, current ? current->version : 0, body, "t");
    REQUIRE(written.state == platform::WriteState::kWritten);
  });
}

}  // namespace jujuberock::serve
