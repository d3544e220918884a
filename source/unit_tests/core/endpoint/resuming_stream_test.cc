#include "core/endpoint/resuming_stream.h"

#include <atomic>
#include <optional>
#include <string>

#include <catch2/catch.hpp>

#include "core/runtime/http_client.h"
#include "core/runtime/http_server.h"
#include "core/runtime/wall_timer_service.h"
#include "core/runtime/worker_pool.h"

namespace jujuberock::endpoint {
namespace {

// An engine that answers every request with the same event stream.
struct RepeatingEngine {
  explicit RepeatingEngine(std::string events) : events(std::move(events)) {}

  void Handle(runtime::ResponseWriter& writer) {
    ++this->requests;
    writer.StartStream(200, {{"Content-Type", "text/event-stream"}});
    writer.Write(this->events);
    writer.FinishStream();
  }

  std::string events;
  std::atomic<int> requests{0};
  runtime::WorkerPool pool{2};
  runtime::HttpServer server{
      pool,
      {"127.0.0.1", 0},
      {},
      [this](const auto&, auto& writer) { this->Handle(writer); },
      runtime::RenderPlainError};
};

struct StreamResult {
  int tokens = 0;
  bool ended = false;
  std::optional<StreamLossReason> loss;
};

StreamResult ReadAll(RepeatingEngine& engine) {
  runtime::WorkerPool workers(1);
  const runtime::WallTimerService timers(workers, 0);
  StreamResult result;
  workers.Run([&] {
    runtime::HttpClient http(workers, {});
    EngineClient client(http);
    ResumingStream stream(client, timers, engine.server.address(), "id", 0, {});
    const auto until = timers.Now() + std::chrono::seconds(2);
    try {
      stream.Start({}, until);
      while (!result.ended) {
        const EngineEvent event = stream.Next(until);
        result.ended = std::holds_alternative<StreamEnd>(event);
        result.tokens += result.ended ? 0 : 1;
      }
    } catch (const StreamLostError& error) {
      result.loss = error.kind();
    } catch (const common::Error& error) {
      CHECK(error.code() == common::ResultCode::kDeadlineExceeded);
    }
  });
  return result;
}

// Guards against reconnecting in a tight loop until the deadline, to an engine
// whose events do not continue where they should.
TEST_CASE("an engine that keeps skipping tokens is given up") {
  for (const char* events :
       {"data: {\"offset\":7,\"text\":\"a\"}\n\n",
        "data: {\"offset\":18446744073709551615,\"text\":\"a\"}\n\n",
        "data: {\"done\":true,\"tokens\":5}\n\n",
        "data: {\"done\":true,\"tokens\":-1}\n\n"}) {
    INFO(events);
    RepeatingEngine engine(events);
    const StreamResult result = ReadAll(engine);
    CHECK(result.loss == StreamLossReason::kSilent);
    CHECK(result.tokens == 0);
    CHECK(engine.requests <= 5);
  }
}

// Guards against an engine that repeats old tokens for ever.
TEST_CASE("an engine that makes no progress is given up") {
  RepeatingEngine engine("data: {\"offset\":0,\"text\":\"a\"}\n\n");
  const StreamResult result = ReadAll(engine);
  CHECK(result.loss == StreamLossReason::kSilent);
  CHECK(result.tokens == 1);
  CHECK(engine.requests <= 6);
}

TEST_CASE("a whole stream is read on one connection") {
  RepeatingEngine engine(
      "data: {\"offset\":0,\"text\":\"a\"}\n\n"
      "data: {\"offset\":1,\"text\":\"b\"}\n\n"
      "data: {\"done\":true,\"tokens\":2}\n\n");
  const StreamResult result = ReadAll(engine);
  CHECK(result.ended);
  CHECK(result.tokens == 2);
  CHECK(engine.requests == 1);
}

}  // namespace
}  // namespace jujuberock::endpoint
