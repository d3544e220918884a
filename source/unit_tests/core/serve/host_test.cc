#include <catch2/catch.hpp>

#include <thread>

#include <nlohmann/json.hpp>

#include "core/routing/block_key.h"
#include "standin/completion_text.h"
#include "unit_tests/core/caller/raw_client.h"
#include "unit_tests/core/serve/deployment.h"

namespace jujuberock::serve {
namespace {

using nlohmann::json;

constexpr const char* kCompletionsPath = "/v1/completions";
// Longer than a host waits for a token before it probes the engine.
constexpr std::chrono::milliseconds kSilence{1200};

std::string RawRequest(const std::string& body,
                       const std::string& fields = "") {
  return std::string("POST ") + kCompletionsPath + " HTTP/1.1\r\nHost: x\r\n" +
         "Authorization: Bearer " + kTeamKey + "\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Value of a metric of the host, summed over its labels.
double Metric(Deployment& deployment, size_t host, const std::string& name) {
  const std::string text =
      deployment.Get(deployment.host(host).operator_address(), "/metrics").body;
  double sum = 0;
  size_t at = 0;
  while ((at = text.find("\n" + name, at)) != std::string::npos) {
    ++at;
    sum += std::stod(text.substr(text.find(' ', at)));
  }
  return sum;
}

// A band of a team's row that covers the day.
std::string AllDayTeamBand() {
  return R"({"from": "00:00", "to": "24:00", "weight": 1,
             "max_running": 100, "patience_ms": 5000})";
}

// Waits up to 3 s for a condition to become true.
template <typename Condition>
bool Eventually(Condition condition) {
  for (int i = 0; i < 300; ++i) {
    if (condition())
      return true;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  return false;
}

TEST_CASE("each caller gets the complete answer to its own prompt") {
  Deployment deployment(1);
  for (const std::string prompt : {"one", "two"}) {
    const auto whole = deployment.Post(0, kCompletionsPath,
                                       Deployment::CompletionBody(prompt, 6));
    REQUIRE(whole.status == 200);
    REQUIRE(json::parse(whole.body)["choices"][0]["text"] ==
            Deployment::ExpectedAnswer(prompt, 6));
    const auto streamed = deployment.Post(
        0, kCompletionsPath, Deployment::CompletionBody(prompt, 6, true));
    const auto events = Deployment::ParseEvents(streamed.body);
    REQUIRE(events.text == Deployment::ExpectedAnswer(prompt, 6));
    REQUIRE(events.ids.size() == 6);
    REQUIRE(events.done);
  }
  REQUIRE(
      deployment.Post(0, kCompletionsPath, R"({"model":"other","prompt":"p"})")
          .status == 404);
  REQUIRE(deployment.Post(0, "/services/cajas-app/price", "").status == 200);
  REQUIRE(deployment.Post(0, "/services/none/price", "").status == 404);
}

TEST_CASE("requests are answered even if their engine crashes") {
  Deployment deployment(1);
  std::thread killer([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    deployment.engines[0]->Kill();
  });
  // Several requests at once, so that some of them run at the killed engine.
  std::vector<std::thread> callers;
  std::atomic<int> correct{0};
  for (int i = 0; i < 6; ++i) {
    callers.emplace_back([&, i] {
      RawClient client(deployment.host(0).caller_address());
      const std::string prompt = "p" + std::to_string(i);
      client.Send(RawRequest(Deployment::CompletionBody(prompt, 60)));
      const std::string answer = client.ReadUntil("usage");
      if (answer.find(Deployment::ExpectedAnswer(prompt, 60)) !=
          std::string::npos)
        ++correct;
    });
  }
  for (std::thread& caller : callers)
    caller.join();
  killer.join();
  REQUIRE(correct == 6);
  REQUIRE(Metric(deployment, 0, "retries_total") >= 1);
  REQUIRE(Metric(deployment, 0, "endpoint_crashes_total") == 1);
}

// Guards against a caller that is told that its request has not run although
// its first attempt has.
TEST_CASE("a refused retry does not say that the request has not run") {
  Deployment deployment(1);
  deployment.engines[1]->Kill();
  // The host finds out that it is gone.
  for (int i = 0; i < 5; ++i)
    deployment.Post(0, kCompletionsPath, Deployment::CompletionBody("q", 1));
  std::thread killer([&] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    deployment.engines[0]->Kill();
  });
  const auto answer =
      deployment.Post(0, kCompletionsPath, Deployment::CompletionBody("p", 200),
                      {{"Jujuberock-Deadline-Ms", "1500"}});
  killer.join();
  INFO(answer.body);
  CHECK(answer.status != 200);
  CHECK(json::parse(answer.body)["outcome"] == "unknown");
}

// Guards against crashing one engine after the other because no two requests
// with the part that crashes them are alike, and against refusing requests that
// share only other parts with them.
TEST_CASE("prompts with a part that crashed engines are refused at each host") {
  Deployment deployment(2);
  const std::string shared(routing::kBlockBytes, 'a');
  const std::string deadly(routing::kBlockBytes, 'x');
  const auto send_sound = [&](size_t host, const std::string& tail) {
    return deployment
        .Post(host, kCompletionsPath,
              Deployment::CompletionBody(shared + tail, 2))
        .status;
  };
  for (size_t round = 0; round < 3; ++round) {
    const std::string tail = "request " + std::to_string(round);
    RawClient client(deployment.host(round % 2).caller_address());
    client.Send(RawRequest(
        Deployment::CompletionBody(shared + deadly + tail, 1000, true),
        "Connection: close\r\n"));
    client.ReadUntil("\nid: ");
    for (const auto& engine : deployment.engines)
      engine->Kill();
    REQUIRE_FALSE(Deployment::ParseEvents(client.ReadAll()).done);
    // No endpoint is back at once; hosts tell its crashes apart by the time.
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    for (const auto& engine : deployment.engines)
      engine->Restart();
    for (size_t host = 0; host < 2; ++host)
      REQUIRE(Eventually([&] { return send_sound(host, tail) == 200; }));
  }
  for (size_t host = 0; host < 2; ++host) {
    // With the part at another position. Its next part has been answered since
    // the crashes, so the prompt can't serve as a trial of the verdict, which a
    // slow host would send after a second.
    // An answer before the verdict would show that the part is sound.
    REQUIRE(Eventually(
        [&] { return Metric(deployment, host, "prompt_parts_blocked") == 1; }));
    CHECK(deployment
              .Post(host, kCompletionsPath,
                    Deployment::CompletionBody(deadly + shared + "another", 2))
              .status == 422);
    CHECK(send_sound(host, "after the verdict") == 200);
  }
}

TEST_CASE("a stream goes on when the engine's connections fall silent") {
  Deployment deployment(1);
  RawClient client(deployment.host(0).caller_address());
  client.Send(RawRequest(Deployment::CompletionBody("p", 100, true),
                         "Connection: close\r\n"));
  client.ReadUntil("\nid: ");
  for (const auto& engine : deployment.engines)
    engine->SetFaults(R"({"silent": true})");
  const auto events = Deployment::ParseEvents(client.ReadAll());
  for (const auto& engine : deployment.engines)
    engine->SetFaults(R"({"release": true})");
  REQUIRE(events.done);
  REQUIRE(events.text == Deployment::ExpectedAnswer("p", 100));
}

// Guards against an answer that is cut, or an error in place of one, because
// all endpoints are silent for a moment and then go on.
TEST_CASE("a silence of all endpoints ends no request") {
  Deployment deployment(1);
  const auto caller_address = deployment.host(0).caller_address();
  RawClient stream(caller_address);
  stream.Send(RawRequest(Deployment::CompletionBody("p", 100, true),
                         "Connection: close\r\n"));
  stream.ReadUntil("\nid: ");
  for (const auto& engine : deployment.engines)
    engine->Freeze(kSilence);
  deployment.plain->Freeze(kSilence);
  RawClient completion(caller_address);
  completion.Send(
      RawRequest(Deployment::CompletionBody("q", 4), "Connection: close\r\n"));
  RawClient call(caller_address);
  call.Send(std::string("POST /services/cajas-app/price HTTP/1.1\r\n") +
            "Host: x\r\nConnection: close\r\nAuthorization: Bearer " +
            kTeamKey + "\r\nContent-Length: 0\r\n\r\n");
  const auto events = Deployment::ParseEvents(stream.ReadAll());
  CHECK(events.done);
  CHECK(events.text == Deployment::ExpectedAnswer("p", 100));
  CHECK_THAT(completion.ReadAll(),
             Catch::StartsWith("HTTP/1.1 200") &&
                 Catch::Contains(Deployment::ExpectedAnswer("q", 4)));
  CHECK_THAT(call.ReadAll(), Catch::StartsWith("HTTP/1.1 200"));
}

TEST_CASE("a caller resumes a stream at another host after its last event") {
  Deployment deployment(2);
  std::string first;
  {
    RawClient client(deployment.host(0).caller_address());
    client.Send(RawRequest(Deployment::CompletionBody("p", 200, true)));
    client.ReadUntil("\nid: ");
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    first = client.ReadUntil("\nid: ");
  }
  // Drops a partial last event, which is lost with the connection.
  first = first.substr(0, first.rfind("\n\n") + 2);
  const auto before = Deployment::ParseEvents(first);
  REQUIRE(!before.ids.empty());
  const auto response = deployment.Post(1, kCompletionsPath, "",
                                        {{"Last-Event-ID", before.ids.back()}});
  REQUIRE(response.status == 200);
  const auto after = Deployment::ParseEvents(response.body);
  REQUIRE(after.done);
  // The stream outlasts the grace period, after which the first host would have
  // canceled the engine request if it had not been notified.
  REQUIRE(before.text + after.text == Deployment::ExpectedAnswer("p", 200));
  REQUIRE(Metric(deployment, 0, "engine_cancels_total") == 0);

  const auto foreign =
      deployment.Post(1, kCompletionsPath, "",
                      {{"Last-Event-ID", before.ids.back()},
                       {"Authorization", "Bearer key-of-beta"}});
  REQUIRE(foreign.status == 400);
}

// Guards against a stream whose rest is written by another program than its
// beginning: a newer version may have replaced the engine at its address.
TEST_CASE("a stream does not go on at an engine that was replaced") {
  Deployment deployment(2);
  std::string first;
  {
    RawClient client(deployment.host(0).caller_address());
    client.Send(RawRequest(Deployment::CompletionBody("p", 200, true)));
    client.ReadUntil("\nid: ");
    std::this_thread::sleep_for(std::chrono::milliseconds(60));
    first = client.ReadUntil("\nid: ");
  }
  first = first.substr(0, first.rfind("\n\n") + 2);
  const auto before = Deployment::ParseEvents(first);
  REQUIRE(!before.ids.empty());
  for (const auto& engine : deployment.engines) {
    engine->Kill();
    engine->RestartAnew();
  }
  const auto response = deployment.Post(1, kCompletionsPath, "",
                                        {{"Last-Event-ID", before.ids.back()}});
  CHECK(response.status == 410);
  CHECK(Deployment::ParseEvents(response.body).text.empty());
}

TEST_CASE("the engine request is canceled when the caller disconnects") {
  Deployment deployment(1);
  for (const bool stream : {false, true}) {
    const double before = Metric(deployment, 0, "engine_cancels_total");
    const double answered = Metric(deployment, 0, "requests_total");
    {
      RawClient client(deployment.host(0).caller_address());
      client.Send(RawRequest(Deployment::CompletionBody("p", 5000, stream)));
      std::this_thread::sleep_for(std::chrono::milliseconds(150));
    }
    REQUIRE(Eventually([&] {
      return Metric(deployment, 0, "engine_cancels_total") > before;
    }));
    REQUIRE(Eventually([&] {
      return Metric(deployment, 0, "requests_total") == answered + 1;
    }));
    REQUIRE(Metric(deployment, 0, "engine_cancels_total") == before + 1);
  }
}

// Guards against a request without an answer: the end of a caller's input was
// taken for a caller that has left.
TEST_CASE("a caller that shuts only its sending side gets a problem document") {
  Deployment deployment(1);
  for (const bool stream : {false, true}) {
    INFO("stream " << stream);
    RawClient client(deployment.host(0).caller_address());
    client.Send(RawRequest(Deployment::CompletionBody("p", 5000, stream)));
    client.ShutdownSend();
    const std::string response = client.ReadAll();
    REQUIRE(StatusOf(response) == 502);
    CHECK(response.find("\"outcome\":\"unknown\"") != std::string::npos);
  }
}

TEST_CASE(
    "a non-idempotent call runs once even if it is resent to another host") {
  Deployment deployment(2);
  const runtime::HttpHeaders identity = {
      {"Idempotency-Key", "k1"}, {"Jujuberock-Issued-At", Deployment::Now()}};
  const std::string path = "/services/cajas-app/pay/1";
  const auto first = deployment.Post(0, path, "a", identity);
  REQUIRE(first.status == 200);
  REQUIRE(json::parse(first.body)["execution"] == 1);
  // The record of the answer reaches the owner of the shard with a delay. Until
  // then the call is reported as in progress or unknown and does not run again.
  runtime::HttpResponse again;
  REQUIRE(Eventually([&] {
    again = deployment.Post(1, path, "a", identity);
    return again.status == 200;
  }));
  REQUIRE(again.body == first.body);
  REQUIRE(deployment.Post(1, path, "other", identity).status == 422);
  const auto without_key = deployment.Post(0, path, "a");
  REQUIRE(without_key.status == 400);
  REQUIRE(json::parse(without_key.body)["outcome"] == "not_run");
}

// Guards against running a call a second time because the store came back from
// a copy without its record, and the owner of the shard is gone.
TEST_CASE("a call whose record the store has lost does not run again") {
  Deployment deployment(2);
  deployment.platform->SetFaults(R"({"copy": true})");
  const std::string path = "/services/cajas-app/pay/1";
  const runtime::HttpHeaders identity = {
      {"Idempotency-Key", "k1"}, {"Jujuberock-Issued-At", Deployment::Now()}};
  REQUIRE(deployment.Post(0, path, "a", identity).status == 200);
  deployment.StopHost(0);
  deployment.platform->SetFaults(R"({"restore": true})");
  const auto again = deployment.Post(1, path, "a", identity);
  REQUIRE(again.status != 200);
  REQUIRE(json::parse(again.body)["outcome"] == "unknown");
  // A call that was issued since runs.
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const runtime::HttpHeaders later = {
      {"Idempotency-Key", "k2"}, {"Jujuberock-Issued-At", Deployment::Now()}};
  const auto next = deployment.Post(1, path, "a", later);
  REQUIRE(next.status == 200);
}

// Guards against keys and rows that a store which came back from a copy gives
// out again below the known version, and against dropping those that it lost.
TEST_CASE("a key that is withdrawn after a restore of the store is refused") {
  Deployment deployment(2);
  const std::string band = AllDayTeamBand();
  const auto team = [&](const std::string& key) {
    return R"({"keys": [")" + standin::Sha256Hex(key) + R"("], "bands": [)" +
           band + "]}";
  };
  const auto statuses = [&](const std::string& key) {
    std::vector<int> found;
    for (const size_t host : {0, 1})
      found.push_back(deployment
                          .Post(host, "/services/cajas-app/price", "",
                                {{"Authorization", "Bearer " + key}})
                          .status);
    return found;
  };
  const std::vector<int> accepted(2, 200);
  const std::vector<int> refused(2, 401);
  deployment.platform->SetFaults(R"({"copy": true})");
  for (int i = 0; i < 10; ++i)
    deployment.PutObject("team", "gamma", team("key-of-gamma"));
  REQUIRE(Eventually([&] { return statuses("key-of-gamma") == accepted; }));
  deployment.platform->SetFaults(R"({"restore": true})");
  deployment.PutObject("team", "alfa", team("new-key"));
  CHECK(Eventually([&] { return statuses(kTeamKey) == refused; }));
  CHECK(statuses("new-key") == accepted);
  CHECK(statuses("key-of-gamma") == accepted);
}

// Two teams may use the same key. Guards against returning one team's answer to
// the other, and against refusing a call because of another team's key.
TEST_CASE("Idempotency-Keys are scoped to their team") {
  Deployment deployment(1);
  const std::string path = "/services/cajas-app/pay/1";
  const std::string now = Deployment::Now();
  const auto alfa = deployment.Post(
      0, path, "a",
      {{"Idempotency-Key", "shared"}, {"Jujuberock-Issued-At", now}});
  const auto beta = deployment.Post(0, path, "b",
                                    {{"Idempotency-Key", "shared"},
                                     {"Jujuberock-Issued-At", now},
                                     {"Authorization", "Bearer key-of-beta"}});
  REQUIRE(alfa.status == 200);
  REQUIRE(beta.status == 200);
  REQUIRE(json::parse(beta.body)["execution"] == 1);
}

std::string EndpointBody(const std::string& address, const char* state) {
  return json{{"service", "asistente"},
              {"zone", "sauce"},
              {"address", address},
              {"state", state}}
      .dump();
}

// An engine that reports weight version v1 but answers with tokens of v0, as
// happens when its weights change between the load report and the request.
void ServeStaleVersion(const runtime::HttpRequest& request,
                       runtime::ResponseWriter& writer) {
  if (request.target == "/load") {
    const json load = {{"as_of_ms", 1},       {"running", 0},
                       {"queued_tokens", 0},  {"slots", 8},
                       {"decode_ms", 1},      {"prefill_tokens_per_s", 1e6},
                       {"kv_used_blocks", 0}, {"kv_capacity_blocks", 64},
                       {"version", "v1"},     {"leaving", false}};
    return writer.Send({200, {}, load.dump()});
  }
  if (request.target.rfind("/kv/events", 0) == 0)
    return writer.Send({200, {}, R"({"first":1,"next":1,"events":[]})"});
  if (request.target != "/v1/generate")
    return writer.Send({404, {}, "{}"});
  writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
  const json token = {{"offset", 0},
                      {"text", "stale"},
                      {"version", "v0"},
                      {"cached_tokens", 0},
                      {"restored_tokens", 0}};
  writer.Write("data: " + token.dump() + "\n\n");
  writer.Write("data: {\"done\":true,\"reason\":\"length\",\"tokens\":1}\n\n");
  writer.FinishStream();
}

// Guards against sending tokens of an outdated weight version to a caller while
// weights are being swapped.
TEST_CASE("an answer from another weight version reaches no caller") {
  Deployment deployment(1);
  runtime::WorkerPool pool(1);
  runtime::HttpServer stale(pool, {"127.0.0.1", 0}, {}, ServeStaleVersion,
                            runtime::RenderPlainError);
  const std::string address = stale.address().ToString();
  deployment.PutObject("endpoint", "w0", EndpointBody(address, "live"));
  deployment.PutObject("endpoint", "w1", EndpointBody(address, "live"));
  REQUIRE(Eventually([&] {
    const auto answer = deployment.Post(
        0, kCompletionsPath, Deployment::CompletionBody("one", 1, true));
    REQUIRE(answer.body.find("stale") == std::string::npos);
    return answer.body.find("\"code\":402") != std::string::npos;
  }));
}

// Guards against routing to an endpoint that an operator is taking out of
// service.
TEST_CASE("a leaving endpoint gets no new requests after 3 s") {
  Deployment deployment(2);
  const std::string address = deployment.engines[0]->address();
  deployment.PutObject("endpoint", "w0", EndpointBody(address, "leaving"));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  const auto engine_requests = [&] {
    const auto counts =
        deployment.Get(*runtime::Address::Parse(address), "/control/counts");
    return json::parse(counts.body).at("requests").get<int>();
  };
  const int before = engine_requests();
  for (int i = 0; i < 20; ++i) {
    const auto answer =
        deployment.Post(i % 2, kCompletionsPath,
                        Deployment::CompletionBody("p" + std::to_string(i), 2));
    REQUIRE(answer.status == 200);
  }
  REQUIRE(engine_requests() == before);
}

// A call issued before the retention period may have run although its record is
// gone. If its refusal said not_run, the caller could pay a second time.
TEST_CASE(
    "a refusal without a journal record says not_run for a first send only") {
  Deployment deployment(1);
  const std::string path = "/services/cajas-app/pay/1";
  const auto old =
      deployment.Post(0, path, "a",
                      {{"Idempotency-Key", "k1"},
                       {"Jujuberock-Issued-At", "2026-01-01T00:00:00Z"}});
  REQUIRE(old.status == 422);
  REQUIRE(json::parse(old.body)["outcome"] == "unknown");
  const auto first =
      deployment.Post(0, path, "a",
                      {{"Idempotency-Key", "k2"},
                       {"Jujuberock-Issued-At", Deployment::Now()},
                       {"Jujuberock-Deadline-Ms", "1"}});
  REQUIRE(first.status != 200);
  REQUIRE(json::parse(first.body)["outcome"] == "not_run");
}

TEST_CASE("a request whose deadline can not be met is refused as not run") {
  Deployment deployment(1);
  // The prediction needs a load report of each engine.
  REQUIRE(Eventually(
      [&] { return Metric(deployment, 0, "endpoint_polls_total") >= 4; }));
  // 100,000 prompt tokens take 2.5 s to compute.
  const auto response =
      deployment.Post(0, kCompletionsPath,
                      Deployment::CompletionBody(std::string(400'000, 'a'), 1),
                      {{"Jujuberock-Deadline-Ms", "200"}});
  INFO(response.body);
  REQUIRE(response.status == 503);
  REQUIRE(json::parse(response.body)["outcome"] == "not_run");
  REQUIRE(response.headers.Find("Retry-After"));
}

TEST_CASE("a planned stop finishes running requests and refuses new ones") {
  Deployment deployment(1);
  RawClient running(deployment.host(0).caller_address());
  running.Send(RawRequest(Deployment::CompletionBody("p", 300, true)));
  running.ReadUntil("\nid: ");
  StopReport report;
  std::thread stopper([&] { report = deployment.host(0).Stop(); });
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const auto refused =
      deployment.Post(0, kCompletionsPath, Deployment::CompletionBody("q", 1));
  REQUIRE(refused.status == 503);
  REQUIRE(json::parse(refused.body)["code"] == 204);
  const auto events = Deployment::ParseEvents(running.ReadAll());
  stopper.join();
  REQUIRE(events.done);
  REQUIRE(events.text == Deployment::ExpectedAnswer("p", 300));
  REQUIRE(report.cut_off == 0);
}

// Guards against requests whose connection ends without a word when they run
// longer than the stop may take.
TEST_CASE("a request that the stop limit cuts off gets an answer") {
  Deployment deployment(1, "5000", std::chrono::milliseconds(300));
  RawClient waiting(deployment.host(0).caller_address());
  RawClient streaming(deployment.host(0).caller_address());
  waiting.Send(RawRequest(Deployment::CompletionBody("p", 5000, false)));
  streaming.Send(RawRequest(Deployment::CompletionBody("q", 5000, true)));
  streaming.ReadUntil("\nid: ");
  const StopReport report = deployment.host(0).Stop();
  deployment.StopHost(0);
  CHECK(report.cut_off == 2);
  const std::string answer = waiting.ReadAll();
  CHECK(StatusOf(answer) == 504);
  CHECK(answer.find("\"outcome\":\"unknown\"") != std::string::npos);
  CHECK_FALSE(Deployment::ParseEvents(streaming.ReadAll()).done);
}

}  // namespace
}  // namespace jujuberock::serve
