#include "bench/fakes.h"

#include <map>
#include <utility>

#include <nlohmann/json.hpp>

#include "core/runtime/sleep.h"

namespace jujuberock::bench {

using nlohmann::json;
using runtime::HttpRequest;
using runtime::HttpResponse;
using runtime::ResponseWriter;

namespace {

constexpr common::Duration kHoldPollPeriod = std::chrono::milliseconds(100);
constexpr common::Duration kKeepAlivePeriod = std::chrono::seconds(1);
constexpr int kMaxRunning = 1'000'000;

std::string TokenEvent(int64_t offset) {
  return "data: {\"offset\":" + std::to_string(offset) +
         ",\"text\":\"abcdefg \",\"version\":\"v1\",\"cached_tokens\":0,"
         "\"restored_tokens\":0}\n\n";
}

std::string EndEvent(int64_t tokens) {
  return "data: {\"done\":true,\"reason\":\"length\",\"tokens\":" +
         std::to_string(tokens) + "}\n\n";
}

void SendJson(ResponseWriter& writer, const json& body) {
  HttpResponse response;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  writer.Send(std::move(response));
}

json MakeBands(json fields) {
  fields["from"] = "00:00";
  fields["to"] = "24:00";
  return json::array({std::move(fields)});
}

json MakeObject(const char* kind, const char* name, json body) {
  return {{"kind", kind},
          {"name", name},
          {"version", 1},
          {"body", std::move(body)}};
}

json MakeService(const char* kind, json models, const char* version) {
  return {
      {"kind", kind},
      {"models", std::move(models)},
      {"version", version},
      {"non_idempotent", json::array()},
      {"loads_at_once", 3},
      {"retry_budget", 0.1},
      {"zone_shares", json::object()},
      {"bands", MakeBands({{"patience_ms", 30'000}, {"max_queue", 10'000}})}};
}

json MakeEndpoint(const char* service, const std::string& address) {
  return {{"service", service},
          {"zone", "sauce"},
          {"address", address},
          {"state", "live"}};
}

// Sends keep-alive lines until the caller disconnects; write errors end it.
void StreamKeepAlives(ResponseWriter& writer) {
  writer.StartStream(200, {});
  while (true) {
    writer.Write("\n");
    runtime::SleepFor(kKeepAlivePeriod);
  }
}

}  // namespace

FakeEngine::FakeEngine()
    : server(std::make_unique<FakeServer>(
          [this](const HttpRequest& request, ResponseWriter& writer) {
            this->Handle(request, writer);
          })) {}

void FakeEngine::Handle(const HttpRequest& request, ResponseWriter& writer) {
  if (request.target == "/v1/generate")
    return this->Generate(request.body, writer);
  if (request.target == "/load") {
    return SendJson(writer, {{"slots", 100'000},
                             {"prefill_tokens_per_s", 1e9},
                             {"decode_ms", 0.01},
                             {"version", "v1"}});
  }
  if (request.target == "/orders")
    return SendJson(writer, {{"fence", 1}, {"version", "v1"}});
  SendJson(writer, {{"first", 0}, {"next", 0}, {"events", json::array()}});
}

void FakeEngine::Generate(const std::string& body, ResponseWriter& writer) {
  const json request = json::parse(body);
  const int64_t tokens = request["max_tokens"];
  writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
  if (request["prompt"] == "hold") {
    writer.Write(TokenEvent(0));
    while (!this->released)
      runtime::SleepFor(kHoldPollPeriod);
    writer.Write(EndEvent(1));
    return writer.FinishStream();
  }
  std::string events;
  for (int64_t i = 0; i < tokens; ++i)
    events += TokenEvent(i);
  writer.Write(events + EndEvent(tokens));
  writer.FinishStream();
}

runtime::HttpHandler MakeFakePlatform(const std::string& engine,
                                      const std::string& plain,
                                      const std::string& key_digest) {
  std::map<std::string, json> objects_by_kind;
  objects_by_kind["team"] = json::array(
      {MakeObject("team", "alfa",
                  {{"keys", {key_digest}},
                   {"bands", MakeBands({{"weight", 1},
                                        {"max_running", kMaxRunning},
                                        {"patience_ms", 30'000}})}})});
  objects_by_kind["service"] = json::array(
      {MakeObject("service", "asistente",
                  MakeService("engine", {"model-a"}, "v1")),
       MakeObject("service", "echo", MakeService("plain", json::array(), ""))});
  objects_by_kind["endpoint"] = json::array(
      {MakeObject("endpoint", "w0", MakeEndpoint("asistente", engine)),
       MakeObject("endpoint", "p0", MakeEndpoint("echo", plain))});
  objects_by_kind["host"] = json::array();
  objects_by_kind["store"] = json::array();
  return [objects_by_kind](const HttpRequest& request, ResponseWriter& writer) {
    constexpr std::string_view kObjectsPath = "/objects/";
    if (request.method != "GET")
      throw common::Error(common::ResultCode::kPlatformUnavailable,
                          "the fake platform is read-only");
    if (request.target.rfind("/watch/", 0) == 0)
      return StreamKeepAlives(writer);
    const auto found =
        objects_by_kind.find(request.target.substr(kObjectsPath.size()));
    if (found == objects_by_kind.end())
      throw common::Error(common::ResultCode::kUnknownPath, "no such object");
    SendJson(writer, {{"version", 1}, {"objects", found->second}});
  };
}

}  // namespace jujuberock::bench
